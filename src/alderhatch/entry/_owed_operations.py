"""Operations that have to reach control however long that takes."""

from __future__ import annotations

from collections import deque

import trio

from ..clock import SECOND, Millis
from ..log import log_event
from ..log_events import LogEvent
from ..signal import Signal
from ._control_calls import ControlCalls

MAX_OWED = 10_000
MAX_AT_ONCE = 64
RETRY_INTERVAL: Millis = 200.0


class OwedOperations:
    """Delivers outcomes, releases and crash reports in order, again and again until answered.

    Each of them may be applied twice without harm, so that a lost answer is no problem.
    """

    def __init__(self, calls: ControlCalls) -> None:
        self._calls = calls
        self._owed: deque[bytes] = deque()
        self._changed = Signal()

    def add(self, operation: bytes) -> None:
        """Take on one encoded operation; the oldest is dropped if there are too many."""
        if len(self._owed) >= MAX_OWED:
            self._owed.popleft()
            log_event(LogEvent.LEDGER_NOTE_DROPPED, waiting=len(self._owed))
        self._owed.append(operation)
        self._changed.notify()

    async def run(self) -> None:
        """Deliver until cancelled."""
        while True:
            while not self._owed:
                await self._changed.wait()
            batch = [self._owed[i] for i in range(min(MAX_AT_ONCE, len(self._owed)))]
            answers = await self._calls.ask(batch)
            if answers is None:
                await trio.sleep(RETRY_INTERVAL / SECOND)
                continue
            for operation in batch:
                if self._owed and self._owed[0] is operation:
                    self._owed.popleft()
            self._changed.notify()

    async def wait_empty(self) -> None:
        """Wait until nothing is owed."""
        while self._owed:
            await self._changed.wait()
