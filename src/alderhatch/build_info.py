"""Which build of the sources this process runs.

A build writes a stamp into the copy that it makes of the package. A process that runs an old copy
shows it in its first log line, in a metric and in ``--version``.
"""

from __future__ import annotations

import hashlib
import json
from functools import cache
from pathlib import Path
from typing import NamedTuple

STAMP_NAME = "build.json"
CHECKSUM_CHARACTERS = 16
UNKNOWN_COMMIT = "unknown"
"""The commit of sources that are no clean checkout."""
PACKAGE = Path(__file__).resolve().parent


class BuildInfo(NamedTuple):
    """The sources that a build was made from."""

    sources: str
    """A checksum of all modules; two builds with the same one run the same code."""
    commit: str
    """The commit of the sources, or ``UNKNOWN_COMMIT``."""


def sources_checksum(package: Path) -> str:
    """Return a checksum of the names and the bytes of all modules below a folder."""
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py"), key=lambda one: one.relative_to(package).parts):
        data = path.read_bytes()
        digest.update(f"{path.relative_to(package).as_posix()} {len(data)}\n".encode())
        digest.update(data)
    return digest.hexdigest()[:CHECKSUM_CHARACTERS]


@cache
def build_info(package: Path = PACKAGE) -> BuildInfo:
    """Return the stamp of a package, by default the running one; computed if it has none."""
    try:
        stamp = json.loads((package / STAMP_NAME).read_bytes())
        return BuildInfo(str(stamp["sources"]), str(stamp["commit"]))
    except (OSError, ValueError, KeyError, TypeError):
        return BuildInfo(sources_checksum(package), UNKNOWN_COMMIT)
