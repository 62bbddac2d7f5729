"""Writes the stamp of a build, which ``build_info`` reads.

python3 -m alderhatch.build_stamp PACKAGE          print the stamp of a package's sources
python3 -m alderhatch.build_stamp PACKAGE COPY     write it into a copy of the package
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from .build_info import STAMP_NAME, UNKNOWN_COMMIT, BuildInfo, sources_checksum

USAGE_ERROR = 2


def source_commit(package: Path) -> str:
    """Return the commit of a checkout in which the files of a package are unchanged."""
    try:
        if _git(package, "status", "--porcelain", "--", "."):
            return UNKNOWN_COMMIT
        return _git(package, "rev-parse", "HEAD")
    except (OSError, subprocess.CalledProcessError):
        return UNKNOWN_COMMIT


def _git(folder: Path, *args: str) -> str:
    command = ["git", "-C", str(folder), *args]
    return subprocess.run(command, capture_output=True, check=True, text=True).stdout.strip()


def main(args: list[str]) -> int:
    """Print or write the stamp of a package, and return the exit code."""
    if not 1 <= len(args) <= 2:
        print(__doc__, file=sys.stderr)
        return USAGE_ERROR
    package = Path(args[0])
    stamp = BuildInfo(sources_checksum(package), source_commit(package))
    text = json.dumps(stamp._asdict()) + "\n"
    if len(args) == 1:
        print(text, end="")
    else:
        (Path(args[1]) / STAMP_NAME).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
