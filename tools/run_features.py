"""Run behave features in parallel and print the number of passed and failed scenarios.

Each feature file runs in its own behave process, so that no feature depends on the state of
another. Failures of the scenarios listed in ``KNOWN-RED.txt`` are printed but do not affect the
exit code. A listed scenario that passes counts as a failure, so that the list stays up to date,
unless it is listed as one that fails sometimes.

The last line printed is ``N passed, N failed``, followed by ``, N skipped`` if known failures
occurred.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MAX_WORKERS = 4
FEATURE_TIMEOUT_S = 900
EXCERPT_LINES = 16
"""Lines about a failed scenario that are printed again at the end, as records of a run in CI may
keep only its last lines."""
EXCERPT_WIDTH = 400
LOG_PREFIX = "LOG_"
SOMETIMES = "sometimes"
"""In place of the seed of a listed scenario, if it fails in some runs only."""
FAILED_STEP = re.compile(r" \.\.\. (failed|error|undefined|hook_error)")


class FeatureResult(NamedTuple):
    """The result of running one feature file."""

    path: Path
    passed: list[str]
    failed: list[str]
    output: str
    exit_code: int


def scenario_outcomes(report: list[dict[str, Any]]) -> tuple[list[str], list[str]]:
    """Return the names of the passed and of the failed scenarios of a behave JSON report.

    Args:
        report: The parsed report, a list of features with their elements.

    Returns:
        The names of the scenarios that passed, and the names of all others.
    """
    passed: list[str] = []
    failed: list[str] = []
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            outcome_names = passed if element.get("status") == "passed" else failed
            # The name of an example of an outline ends with a space.
            outcome_names.append(element["name"].strip())
    return passed, failed


def run_feature(path: Path) -> FeatureResult:
    """Run one feature file in its own behave process."""
    with tempfile.TemporaryDirectory() as temp_dir:
        report_path = Path(temp_dir) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-summary"]
        command += ["-f", "json", "-o", str(report_path), "-f", "plain", str(path)]
        try:
            process = subprocess.run(
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
            return FeatureResult(path, [], [f"{path.name}: no report"], process.stdout, 1)
    passed, failed = scenario_outcomes(report)
    if process.returncode and not failed:
        failed = [f"{path.name}: behave exited with {process.returncode}"]
    return FeatureResult(path, passed, failed, process.stdout, process.returncode)


def failure_excerpt(output: str, name: str) -> list[str]:
    """Return the lines about the failed step of a scenario, the first and last if there are many.

    Log lines of the test's own process are left out, as there may be thousands.

    Args:
        output: What behave printed in its plain format.
        name: The name of the scenario.

    Returns:
        At most ``EXCERPT_LINES`` lines of ``EXCERPT_WIDTH`` characters; none if it isn't found.
    """
    _, _, rest = output.partition(f": {name}")
    scenario = rest.split("\n  Scenario")[0].splitlines()
    begin = next((at for at, line in enumerate(scenario) if FAILED_STEP.search(line)), None)
    if begin is None:
        return []
    lines = [
        line[:EXCERPT_WIDTH]
        for line in scenario[begin:]
        if line.strip() and not line.startswith(LOG_PREFIX)
    ]
    if len(lines) <= EXCERPT_LINES:
        return lines
    half = EXCERPT_LINES // 2
    return [*lines[:half], *lines[-half:]]


class KnownFailure(NamedTuple):
    """A scenario that is listed in KNOWN-RED.txt."""

    name: str
    in_each_run: bool
    """Whether it fails in each run; if it passes nevertheless, its entry is out of date."""


def known_failures() -> list[KnownFailure]:
    """Return the scenarios of KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = (line.strip() for line in KNOWN_FAILURES_FILE.read_text().splitlines())
    entries = [line.split("|") for line in lines if line and not line.startswith("#")]
    return [KnownFailure(one[0].strip(), one[2].strip() != SOMETIMES) for one in entries]


def main() -> int:
    """Run the features named on the command line, or all features, and return the exit code."""
    paths = [Path(name).resolve() for name in sys.argv[1:]]
    paths = paths or sorted((ROOT / "features").glob("**/*.feature"))
    with ThreadPoolExecutor(MAX_WORKERS) as pool:
        results = list(pool.map(run_feature, paths))
    listed = known_failures()
    known = [one.name for one in listed]
    passed = [name for result in results for name in result.passed]
    failed = [name for result in results for name in result.failed]
    for result in results:
        print(f"{result.path.name}: {len(result.passed)} passed, {len(result.failed)} failed")
        if result.failed:
            print(result.output)
    unexpected = [name for name in failed if name not in known]
    for result in results:
        for name in result.failed:
            print(f"Again, {result.path.name}: {name}")
            print("\n".join(failure_excerpt(result.output, name)))
    for name in failed:
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    now_passing = [
        one.name
        for one in listed
        if one.in_each_run and one.name in passed and one.name not in failed
    ]
    for name in now_passing:
        print(f"FAILED: listed in KNOWN-RED.txt, but passes: {name}")
    failure_count = len(unexpected) + len(now_passing)
    known_count = len(failed) - len(unexpected)
    summary = f"{len(passed) - len(now_passing)} passed, {failure_count} failed"
    print(summary + (f", {known_count} skipped" if known_count else ""))
    return 1 if failure_count or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
