"""Slopes measured on this machine, and what they come to at the size to design for.

``make bench-capacity`` runs it; it takes some two minutes and at most six processes. What it
prints is Markdown, and docs/CAPACITY.md shows one such run.
"""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Iterable, Sequence

from .capacity_control import claim_cost, lease_points, lease_slopes
from .capacity_entry import core_query, rule_memory, running_memory, server_memory, tail_points
from .capacity_goals import goals
from .capacity_operators import page_bytes, page_cost
from .capacity_state import ledger_memory, log_bytes, view_memory, whole_view_bytes
from .capacity_sums import (
    Slopes,
    control_lines,
    entry_control_lines,
    front_lines,
    operator_lines,
    owner_lines,
)
from .capacity_wire import http_exchange, link_bytes, link_message
from .slope import Slope


def measure() -> Slopes:
    """Measure all slopes, one after the other."""
    wire = (http_exchange(), link_message(), link_bytes())
    entry = (core_query(), server_memory(), rule_memory(), running_memory())
    leases = lease_slopes(lease_points())
    return Slopes(
        *wire,
        *entry,
        leases["control_cpu"],
        leases["control_memory"],
        leases["change_ms"],
        leases["change_cpu_us"],
        leases["change_bytes"],
        leases["entry_cpu"],
        leases["entry_bytes"],
        claim_cost(),
        ledger_memory(),
        log_bytes(),
        whole_view_bytes(),
        view_memory(),
        page_cost(),
        page_bytes(),
    )


def _table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    print("| " + " | ".join(header) + " |")
    print("| " + " | ".join(["---"] * len(header)) + " |")
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print()


def _slope_row(slope: Slope) -> tuple[str, ...]:
    sizes = ", ".join(f"{one:g}" for one in slope.sizes)
    values = ", ".join(f"{one:.6g}" for one in slope.values)
    line = f"{slope.base:.6g} + {slope.slope:.6g} x"
    return slope.name, slope.per, sizes, f"{values} {slope.unit}", line, f"{slope.fit:.4f}"


def main() -> None:
    """Measure, sum up and print."""
    started = time.monotonic()
    found = measure()
    tail = list(tail_points())
    print(f"Measured on {platform.machine()}, {os.cpu_count()} cores, Python ", end="")
    print(f"{platform.python_version()}, {time.strftime('%Y-%m-%d %H:%M UTC', time.gmtime())}.\n")
    header = ("what", "per", "sizes", "measured", "line", "fit")
    _table(header, [_slope_row(slope) for slope in found])
    rows = [(str(shards), f"{p50:.1f}", f"{p99:.1f}") for shards, p50, p99 in tail]
    _table(("shards of a query", "p50 ms", "p99 ms"), rows)
    lines = front_lines(found) + owner_lines(found) + control_lines(found)
    lines += entry_control_lines(found) + operator_lines(found)
    _table(("role", "what", "sum", "figure"), lines)
    print(f"The run took {time.monotonic() - started:.0f} s.\n")
    for goal in goals(found, tail[-1][2]):
        print(goal)


if __name__ == "__main__":
    main()
