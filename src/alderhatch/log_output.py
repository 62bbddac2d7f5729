"""A log handler that never blocks on the reader of the log."""

from __future__ import annotations

import logging
import os
from collections import deque

MAX_PENDING_BYTES = 256 * 1024
"""Bound of the lines that are buffered for a slow reader: a few seconds of the output of a busy
process. A larger buffer would only take memory from the requests."""


class BoundedLogHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor and drops lines that exceed its buffer.

    A pipe that is not read is full after 64 KiB. A blocking write to it would stop the event loop
    and with it every request of the process. Instead, the newest lines are dropped and counted; the
    count can be logged once lines can be written again.

    Args:
        fd: File descriptor; set to non-blocking mode.
        max_pending_bytes: Bound of the buffered bytes.
    """

    def __init__(self, fd: int, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._max_pending_bytes = max_pending_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        """Lines dropped since the process started."""
        self.written_bytes = 0
        """Bytes written since the process started."""
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if self._pending_bytes + len(line) > self._max_pending_bytes:
            self.dropped += 1
        else:
            self._pending.append(line)
            self._pending_bytes += len(line)
        self.write_pending()

    @property
    def pending_bytes(self) -> int:
        """Bytes that are buffered and not yet written."""
        return self._pending_bytes

    def take_newly_dropped(self) -> int:
        """Return the number of lines dropped since the previous call."""
        newly_dropped = self.dropped - self._reported_dropped
        self._reported_dropped = self.dropped
        return newly_dropped

    def write_pending(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, and there is nowhere to report that.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            self.written_bytes += written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
