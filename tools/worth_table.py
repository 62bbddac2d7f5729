"""Print which parts of the score each day of a run lost, from entries of ``journal/``.

    python tools/worth_table.py journal/20261203T052245-efa4c7e6.json [...]

The output is a Markdown table for the pages in ``docs/`` with one row for each day. A row shows the
score, the weighted loss of each part of the credit (its weight times its shortfall from 1), the
largest penalties and the rules that were violated.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

MAX_PENALTIES_SHOWN = 4


class DayLosses(NamedTuple):
    """The losses of one day of a run, as fractions of the maximum score."""

    name: str
    score: float
    parts: dict[str, float]
    """The weighted loss by part of the credit."""
    penalties: list[tuple[str, float]]
    """The largest penalties, in descending order."""
    violations: dict[str, int]
    """The number of violations by rule."""

    def row(self) -> str:
        """Return the row of the day in the Markdown table."""
        parts = ", ".join(f"{name} {loss:.3f}" for name, loss in self.parts.items())
        penalties = ", ".join(f"{name} {penalty:.3f}" for name, penalty in self.penalties)
        violations = ", ".join(self.violations) or "none"
        return f"| {self.name} | {self.score:.3f} | {parts} | {penalties} | {violations} |"


def losses(entry: dict[str, Any]) -> Iterator[DayLosses]:
    """Yield the losses of each day of a journal entry, except days without a score."""
    for day in entry.get("days") or []:
        if day.get("G") is None:
            continue
        parts = {name: weight * (1.0 - share) for name, weight, share in day["parts"]}
        penalties = sorted(((name, penalty) for name, _, penalty in day["prices"]), key=_descending)
        yield DayLosses(day["name"], day["G"], parts, penalties[:MAX_PENALTIES_SHOWN], day["rules"])


def _descending(penalty: tuple[str, float]) -> float:
    return -penalty[1]


def main(paths: list[str]) -> int:
    """Print a table for each entry and return the exit code."""
    if not paths:
        print(__doc__)
        return 2
    for path in paths:
        entry = json.loads(Path(path).read_text())
        print(f"{entry['site']}: {entry['why']}\n")
        print("| day | score | credit lost | largest penalties | rules violated |")
        print("| --- | --- | --- | --- | --- |")
        for day in losses(entry):
            print(day.row())
        print()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
