"""Runs seeds of the platform soak, a few at a time.

    python tools/run_soak.py FIRST COUNT [SECONDS]

Each seed is a process of its own. A seed that broke a promise is printed with what was found, and
the logs of its nodes are kept.
"""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
DEFAULT_SECONDS = 12
ONE_SEED = """
import sys
from features.support.platform_soak import run_seed
sys.exit(run_seed(int(sys.argv[1]), float(sys.argv[2])))
"""


def run_one(seed: int, seconds: float) -> tuple[int, int, str]:
    """Run one seed; return it with its exit code and what it printed."""
    command = [sys.executable, "-c", ONE_SEED, str(seed), str(seconds)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return seed, done.returncode, done.stdout + done.stderr


def main() -> int:
    """Run all seeds; return 1 if any broke a promise."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_SECONDS
    failed = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        for seed, code, output in pool.map(
            lambda seed: run_one(seed, seconds), range(first, first + count)
        ):
            failed += code != 0
            print(f"seed {seed}: {output.strip()}", flush=True)
    print(f"{count - failed} seeds kept every promise, {failed} did not")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
