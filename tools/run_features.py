"""Run every behave feature, a few at a time, and close with the real counts.

Each feature file runs in a behave process of its own, so that no feature depends on what another
left behind. The scenarios listed in ``KNOWN-RED.txt`` are run and printed, but do not decide the
exit code; one that passes again is reported as a fault, so that the list stays true.

The last line printed is ``N passed, N failed``, with ``, N skipped`` for the known red ones.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 4
FEATURE_TIMEOUT_S = 900


class FeatureResult(NamedTuple):
    """What one feature file gave."""

    path: Path
    passed: list[str]
    failed: list[str]
    output: str
    exit_code: int


def scenario_outcomes(report: list[dict[str, Any]]) -> tuple[list[str], list[str]]:
    """Split the scenarios of a behave JSON report into passed and failed names.

    Args:
        report: The parsed report: a list of features with their elements.

    Returns:
        The names that passed and the names that did not, whatever the reason.
    """
    passed: list[str] = []
    failed: list[str] = []
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            wanted = passed if element.get("status") == "passed" else failed
            wanted.append(element["name"])
    return passed, failed


def run_feature(path: Path) -> FeatureResult:
    """Run one feature file in a behave process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-summary"]
        command += ["-f", "json", "-o", str(report_path), "-f", "plain", str(path)]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
                env=os.environ | {"PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"},
            )
        except subprocess.TimeoutExpired as exc:
            return FeatureResult(path, [], [f"{path.name}: timed out"], str(exc.output), 1)
        try:
            report = json.loads(report_path.read_text())
        except (OSError, ValueError):
            return FeatureResult(path, [], [f"{path.name}: no report"], done.stdout, 1)
    passed, failed = scenario_outcomes(report)
    if done.returncode and not failed:
        failed = [f"{path.name}: behave exited with {done.returncode}"]
    return FeatureResult(path, passed, failed, done.stdout, done.returncode)


def known_red() -> list[str]:
    """Read the scenario names of KNOWN-RED.txt: what stands before the first ``|`` of a line."""
    if not KNOWN_RED.exists():
        return []
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    return [line.split("|")[0].strip() for line in lines if line and not line.startswith("#")]


def main() -> int:
    """Run the features named on the command line, or all of them; return the exit code."""
    paths = [Path(name).resolve() for name in sys.argv[1:]]
    paths = paths or sorted((ROOT / "features").glob("**/*.feature"))
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run_feature, paths))
    red = known_red()
    passed = [name for result in results for name in result.passed]
    failed = [name for result in results for name in result.failed]
    for result in results:
        print(f"{result.path.name}: {len(result.passed)} passed, {len(result.failed)} failed")
        if result.failed:
            print(result.output)
    unknown = [name for name in failed if name not in red]
    for name in failed:
        print(f"{'known red' if name in red else 'FAILED'}: {name}")
    mended = [name for name in red if name in passed and name not in failed]
    for name in mended:
        print(f"FAILED: listed in KNOWN-RED.txt, but passes: {name}")
    bad = len(unknown) + len(mended)
    skipped = len(failed) - len(unknown)
    line = f"{len(passed) - len(mended)} passed, {bad} failed"
    print(line + (f", {skipped} skipped" if skipped else ""))
    return 1 if bad or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
