"""Run the platform soak test with several seeds in parallel.

    python tools/run_soak.py FIRST COUNT [SECONDS]

Each seed runs in its own process. The output of each seed is printed. For a seed that violates a
guarantee it lists the violations, and the logs of the nodes are kept.
"""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_WORKERS = 4
DEFAULT_DURATION_S = 12
RUN_SEED_CODE = """
import sys
from features.support.platform_soak import run_seed
sys.exit(run_seed(int(sys.argv[1]), float(sys.argv[2])))
"""


def run_seed_process(seed: int, duration_s: float) -> tuple[int, int, str]:
    """Run one seed and return the seed, its exit code and its output."""
    command = [sys.executable, "-c", RUN_SEED_CODE, str(seed), str(duration_s)]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return seed, process.returncode, process.stdout + process.stderr


def main() -> int:
    """Run all seeds and return 1 if any of them violated a guarantee."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    duration_s = float(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_DURATION_S
    failed = 0
    with ThreadPoolExecutor(MAX_WORKERS) as pool:
        for seed, exit_code, output in pool.map(
            lambda seed: run_seed_process(seed, duration_s), range(first, first + count)
        ):
            failed += exit_code != 0
            print(f"seed {seed}: {output.strip()}", flush=True)
    print(f"{count - failed} seeds passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
