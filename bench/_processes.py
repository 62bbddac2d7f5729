"""Processes that a benchmark starts, with their processor time and memory."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TICKS = os.sysconf("SC_CLK_TCK")


@contextmanager
def started(module: str, *args: str) -> Iterator[subprocess.Popen[str]]:
    """Run a module as a process of its own, with pipes to its standard input and output.

    The process is ended with the block.
    """
    paths = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    process = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": paths},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def read_line(process: subprocess.Popen[str]) -> str:
    """Return the next line of a process's standard output.

    Raises:
        RuntimeError: If the process has ended.
    """
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"{process.args!r} ended early")
    return line


def send_line(process: subprocess.Popen[str], line: str) -> None:
    """Write one line to a process's standard input."""
    assert process.stdin is not None
    process.stdin.write(line + "\n")
    process.stdin.flush()


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process so far, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process, in units of 2**20 bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
