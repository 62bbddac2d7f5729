"""Runs the bench: ``python -m bench.policy [--json FILE]``."""

from __future__ import annotations

import argparse
import json
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from rich.console import Console
from rich.table import Table

from .core_cost import measure_core
from .goals import judge
from .results import Result
from .scenarios import Job, all_jobs

WORKERS = 4
COLUMNS = (
    "scenario",
    "upstream",
    "load",
    "entry",
    "p50",
    "p99",
    "p99.9",
    "coverage",
    "1st pct",
    "under wanted",
    "sent/needed",
    "refused",
    "thrown away",
)


def _run(job: Job) -> Result:
    return job.run()


def _row(result: Result) -> list[str]:
    return [
        result.scenario,
        result.upstream,
        f"{result.load:g}",
        result.entry,
        f"{result.p50:.1f}",
        f"{result.p99:.1f}",
        f"{result.p999:.1f}",
        f"{result.coverage:.4f}",
        f"{result.coverage_p1:.3f}",
        f"{result.under_wanted:.5f}",
        f"{result.sent_ratio:.4f}",
        f"{result.refused:.4f}",
        f"{result.wasted:.3f}",
    ]


def main() -> None:
    """Run everything, print the table and the goals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path, help="also write the figures to this file")
    parser.add_argument("--markdown", action="store_true", help="print the table as Markdown")
    args = parser.parse_args()
    start = time.monotonic()
    core_micros = measure_core()
    with ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(_run, all_jobs()))
    _show(results, args.markdown)
    for result in results:
        for name, value in result.extra.items():
            print(f"figure {result.scenario} / {result.entry} / {name}: {value:.4g}")
        for fault in result.faults[:5]:
            print(f"broken promise in {result.scenario} / {result.entry}: {fault}")
    if args.json is not None:
        args.json.write_text(json.dumps([result._asdict() for result in results]))
    print(f"core alone: {core_micros:.1f} us of processor time for each shard request")
    print(f"took {time.monotonic() - start:.0f} s with {WORKERS} processes")
    for goal in judge(results, core_micros):
        print(goal)


def _show(results: list[Result], markdown: bool) -> None:
    if markdown:
        print("| " + " | ".join(COLUMNS) + " |")
        print("|" + "---|" * len(COLUMNS))
        for result in results:
            print("| " + " | ".join(_row(result)) + " |")
        return
    table = Table(title="whole queries, times in ms")
    for column in COLUMNS:
        table.add_column(column)
    for result in results:
        table.add_row(*_row(result))
    Console(width=170).print(table)


if __name__ == "__main__":
    main()
