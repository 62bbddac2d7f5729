"""Draws the plots of docs/MEASUREMENTS.md: ``python -m bench.policy.plots JSON FOLDER``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt

ENTRIES = ("random", "round-robin", "hedge-p95", "alderhatch")
LOADS = (0.3, 0.5, 0.7)
BAR = 0.2
OVERLOAD = (5.0, 13.0)

matplotlib.rcParams["svg.hashsalt"] = "alderhatch"
matplotlib.rcParams["svg.fonttype"] = "none"


def _find(rows: list[dict[str, Any]], **wanted: Any) -> dict[str, Any]:
    return next(row for row in rows if all(row[key] == value for key, value in wanted.items()))


def draw_tails(rows: list[dict[str, Any]], folder: Path) -> None:
    """Draw the p99 and p99.9 of whole queries by load and entry."""
    figure, axes = plt.subplots(2, 2, figsize=(9, 6), sharey="row")
    for row, share in enumerate(("p99", "p999")):
        for column, upstream in enumerate(("navigator", "spotbook")):
            axis = axes[row][column]
            for number, entry in enumerate(ENTRIES):
                values = [
                    _find(rows, scenario="steady", upstream=upstream, entry=entry, load=load)[share]
                    for load in LOADS
                ]
                places = [index + (number - 1.5) * BAR for index in range(len(LOADS))]
                axis.bar(places, values, BAR, label=entry)
            axis.set_xticks(range(len(LOADS)), [f"load {load}" for load in LOADS])
            axis.set_title(f"{upstream}: {'p99' if share == 'p99' else 'p99.9'}")
            axis.set_ylabel("ms")
    axes[0][0].legend()
    _save(figure, folder / "policy-tails.svg")


def draw_overload(rows: list[dict[str, Any]], folder: Path) -> None:
    """Draw the p99 of each second through an overload of 1.5 times the capacity."""
    figure, axis = plt.subplots(figsize=(9, 3.5))
    for entry in ("round-robin", "alderhatch"):
        row = _find(rows, scenario="overload 1.5", entry=entry)
        times = [at / 1000 for at, _ in row["windows"]]
        axis.plot(times, [p99 for _, p99 in row["windows"]], marker="o", label=entry)
    axis.axvspan(*OVERLOAD, alpha=0.15)
    axis.set_xlabel("s")
    axis.set_ylabel("p99 of answered queries, ms")
    axis.legend()
    _save(figure, folder / "policy-overload.svg")


def draw_coverage(rows: list[dict[str, Any]], folder: Path) -> None:
    """Draw the share of answers under the wanted coverage after a loss."""
    figure, axis = plt.subplots(figsize=(6, 3.5))
    scenarios = ("server lost", "zone lost")
    for number, entry in enumerate(("random", "round-robin", "alderhatch")):
        values = [_find(rows, scenario=name, entry=entry)["under_wanted"] for name in scenarios]
        axis.bar([index + (number - 1) * BAR for index in range(2)], values, BAR, label=entry)
    axis.set_xticks(range(2), scenarios)
    axis.set_ylabel("answers under the coverage wanted")
    axis.legend()
    _save(figure, folder / "policy-coverage.svg")


def _save(figure: Any, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def main() -> None:
    """Draw all plots from the figures of one run."""
    rows = json.loads(Path(sys.argv[1]).read_text())
    folder = Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    draw_tails(rows, folder)
    draw_overload(rows, folder)
    draw_coverage(rows, folder)


if __name__ == "__main__":
    main()
