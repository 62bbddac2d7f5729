"""A log stream that never waits for whoever reads it."""

from __future__ import annotations

import logging
import os
from collections import deque

MAX_WAITING_BYTES = 256 * 1024
"""Lines that wait for a reader; a few seconds of the most that a busy process writes. More would
only take memory from the requests."""


class BoundedLogHandler(logging.Handler):
    """Writes lines to a descriptor as far as it takes them, and drops what doesn't fit.

    A pipe that nobody reads is full after 64 KiB. A write that waits for it stops the whole loop:
    every request of the process would hang because of its log. Here the newest lines are dropped
    instead, and how many is said as soon as lines can be written again.

    Args:
        fd: The descriptor; set to non-blocking.
        max_waiting: How many bytes wait at most.
    """

    def __init__(self, fd: int, max_waiting: int = MAX_WAITING_BYTES) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_waiting = max_waiting
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self.dropped = 0
        """Lines dropped since the process started."""
        self.written_bytes = 0
        """Bytes written since the process started."""
        self._told_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or keep it for later, or drop it."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if self._bytes + len(line) > self._max_waiting:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._bytes += len(line)
        self.write_pending()

    @property
    def pending_bytes(self) -> int:
        """How many bytes wait to be written."""
        return self._bytes

    def take_newly_dropped(self) -> int:
        """Return how many lines were dropped since this was last asked."""
        new = self.dropped - self._told_dropped
        self._told_dropped = self.dropped
        return new

    def write_pending(self) -> None:
        """Write what waits, as far as the descriptor takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; there is nowhere to tell it.
                self._waiting.clear()
                self._bytes = 0
                return
            self._bytes -= written
            self.written_bytes += written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
