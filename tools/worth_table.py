"""Show where the worth of played days is lost, from entries of ``journal/``.

    python tools/worth_table.py journal/20261203T052245-efa4c7e6.json [...]

Each row is a day: its worth, what each part of the credit falls short of 1 by its weight, and the
largest prices. The rows are Markdown, for the pages in ``docs/``.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

PRICES_SHOWN = 4


class DayLoss(NamedTuple):
    """What one played day lost, as shares of the worth that could be earned."""

    name: str
    worth: float
    parts: dict[str, float]
    """By part of the credit."""
    prices: list[tuple[str, float]]
    """The largest ones, first the largest."""
    broken: dict[str, int]
    """The rules that were broken, and how often."""

    def row(self) -> str:
        """Return the day as a row of a Markdown table."""
        parts = ", ".join(f"{name} {lost:.3f}" for name, lost in self.parts.items())
        prices = ", ".join(f"{name} {price:.3f}" for name, price in self.prices)
        broken = ", ".join(self.broken) or "none"
        return f"| {self.name} | {self.worth:.3f} | {parts} | {prices} | {broken} |"


def losses(entry: dict[str, Any]) -> Iterator[DayLoss]:
    """Return what each day of a journal entry lost; days that were given up are left out."""
    for day in entry.get("days") or []:
        if day.get("G") is None:
            continue
        parts = {name: weight * (1.0 - share) for name, weight, share in day["parts"]}
        prices = sorted(((name, price) for name, _, price in day["prices"]), key=_by_price)
        yield DayLoss(day["name"], day["G"], parts, prices[:PRICES_SHOWN], day["rules"])


def _by_price(price: tuple[str, float]) -> float:
    return -price[1]


def main(paths: list[str]) -> int:
    """Print a table for each entry; return the exit code."""
    if not paths:
        print(__doc__)
        return 2
    for path in paths:
        entry = json.loads(Path(path).read_text())
        print(f"{entry['site']}: {entry['why']}\n")
        print("| day | worth | lost of the credit | largest prices | rules broken |")
        print("| --- | --- | --- | --- | --- |")
        for day in losses(entry):
            print(day.row())
        print()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
