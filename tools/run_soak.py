"""Run the platform soak test with several seeds in parallel.

    python tools/run_soak.py FIRST COUNT [SECONDS] [--crashing | --stops]

With ``--crashing``, callers also send gathers that crash their servers. With ``--stops``, hosts are
only told to stop, in series and overlapping, beside changes of the configuration.

Each seed runs in its own process. The output of each seed is printed. For a seed that violates a
guarantee it lists the violations, and the logs of the nodes are kept.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_WORKERS = 4
DEFAULT_DURATION_S = 12
RUN_SEED_CODE = """
import sys
from functools import partial
from features.support.crash_soak import CrashSoak
from features.support.platform_soak import PlatformSoak, run_seed
from features.support.stop_soak import StopSoak
seed, seconds, kind, busy, sources = sys.argv[1:]
kinds = {
    "faults": PlatformSoak,
    "crashing": CrashSoak,
    "stops": partial(StopSoak, busy=int(busy), sources=sources or None),
}
sys.exit(run_seed(int(seed), float(seconds), kinds[kind]))
"""


def parse_args() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description="Run the platform soak test with several seeds.")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("seconds", type=float, nargs="?", default=DEFAULT_DURATION_S)
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument("--crashing", dest="kind", action="store_const", const="crashing")
    kinds.add_argument("--stops", dest="kind", action="store_const", const="stops")
    parser.set_defaults(kind="faults")
    parser.add_argument("--workers", type=int, default=MAX_WORKERS, help="seeds at a time")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside each stop seed")
    parser.add_argument("--sources", type=Path, help="another copy of the package, for --stops")
    return parser.parse_args()


def run_seed_process(seed: int, args: argparse.Namespace) -> tuple[int, int, str]:
    """Run one seed and return the seed, its exit code and its output."""
    sources = str(args.sources.resolve()) if args.sources else ""
    options = [str(seed), str(args.seconds), args.kind, str(args.busy), sources]
    command = [sys.executable, "-c", RUN_SEED_CODE, *options]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return seed, process.returncode, process.stdout + process.stderr


def main() -> int:
    """Run all seeds and return 1 if any of them violated a guarantee."""
    args = parse_args()
    failed = 0
    with ThreadPoolExecutor(args.workers) as pool:
        seeds = range(args.first, args.first + args.count)
        for seed, exit_code, output in pool.map(lambda one: run_seed_process(one, args), seeds):
            failed += exit_code != 0
            print(f"seed {seed}: {output.strip()}", flush=True)
    print(f"{args.count - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
