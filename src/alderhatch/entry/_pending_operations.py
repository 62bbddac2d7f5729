"""Queue of operations for the control hosts, each sent again until it has been answered."""

from __future__ import annotations

from collections import deque

import trio

from ..clock import SECOND, Millis
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from ._operation_batcher import OperationBatcher

MAX_PENDING_OPERATIONS = 10_000
MAX_BATCH_OPERATIONS = 64
RETRY_INTERVAL: Millis = 200.0


class PendingOperations:
    """Sends outcomes, releases and crash reports in order, each until control has answered it.

    All of these operations are idempotent, so a retry after a lost answer is safe.

    Args:
        batcher: Sends the operations to the control host in use.
    """

    def __init__(self, batcher: OperationBatcher) -> None:
        self._batcher = batcher
        self._pending: deque[bytes] = deque()
        self._changed = Signal()

    def add(self, operation: bytes) -> None:
        """Queue one encoded operation; the oldest is dropped if the queue is full."""
        if len(self._pending) >= MAX_PENDING_OPERATIONS:
            self._pending.popleft()
            log_event(LogEvent.LEDGER_NOTE_DROPPED, waiting=len(self._pending))
        self._pending.append(operation)
        self._changed.notify()

    async def run(self) -> None:
        """Send queued operations until cancelled."""
        while True:
            while not self._pending:
                await self._changed.wait()
            batch = [self._pending[i] for i in range(min(MAX_BATCH_OPERATIONS, len(self._pending)))]
            answers = await self._batcher.submit(batch)
            if answers is None:
                await trio.sleep(RETRY_INTERVAL / SECOND)
                continue
            for operation in batch:
                if self._pending and self._pending[0] is operation:
                    self._pending.popleft()
            self._changed.notify()

    async def wait_empty(self) -> None:
        """Wait until the queue is empty."""
        while self._pending:
            await self._changed.wait()
