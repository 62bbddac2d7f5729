"""Stop the hosts of a tier one after the other under traffic, and count the requests that are lost.

    python -m features.support.stop_series KIND SEED [--stops N] [--sources DIR] [--gap S]

``KIND`` names how long requests take and how callers read. ``--sources`` names a folder with
another copy of the package. The logs of the hosts are kept if a request is lost.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace

from features.support.planned_stops import Callers, PlannedStops, StopPlan


def some_slow(rng):
    """Draw 50 ms, and 1 to 5 s for three requests of a hundred."""
    return rng.uniform(1.0, 5.0) if rng.random() < 0.03 else 0.05


def some_parts_slow(rng):
    """Draw 30 ms, and 1 to 5 s for three parts of two hundred."""
    return rng.uniform(1.0, 5.0) if rng.random() < 0.015 else 0.03


LARGE = 3_000_000
PLANS = {
    "short": StopPlan(),
    "orders": StopPlan(
        callers=(Callers(path="/orders/"),), service_time=lambda rng: rng.uniform(0.1, 0.6)
    ),
    "some-slow": StopPlan(callers=(Callers(8),), service_time=some_slow),
    "gathers": StopPlan(callers=(Callers(path="/paths/"),), service_time=some_parts_slow),
    "slow-readers": StopPlan(callers=(Callers(3, read_rate=750_000),), body_bytes=LARGE),
    "faster-readers": StopPlan(callers=(Callers(3, read_rate=2_400_000),), body_bytes=LARGE),
    "no-readers": StopPlan(callers=(Callers(3), Callers(20, read_rate=0)), body_bytes=LARGE),
    "half-closed": StopPlan(callers=(Callers(half_closes=True),)),
    "pipelined": StopPlan(callers=(Callers(pipelined=3),)),
}


def main():
    """Run one series and return 1 if a request was lost or a host was killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=PLANS)
    parser.add_argument("seed", type=int)
    parser.add_argument("--stops", type=int, default=10)
    parser.add_argument("--gap", type=float, default=3.5)
    parser.add_argument("--sources", type=Path)
    args = parser.parse_args()
    plan = PLANS[args.kind]._replace(stops=args.stops, gap_s=args.gap)
    with ExitStack() as stack:
        # The part of behave's context that the series uses.
        context = SimpleNamespace(add_cleanup=stack.callback)
        series = PlannedStops(context, plan, args.seed, args.sources)
        series.run()
        lost = series.lost()
        print(f"{args.kind} {args.seed}: {series.summary()}")
        for one in lost[:20]:
            print(f"  {series.describe(one)}")
        if lost:
            kept = f"{series.tier.folder}-{args.kind}-{args.seed}"
            print(f"logs kept in {shutil.copytree(series.tier.folder, kept)}")
    return 1 if lost or series.late_closes() or any(stop.exit_code for stop in series.stops) else 0


if __name__ == "__main__":
    sys.exit(main())
