"""Bounds the memory of all responses that a host is still receiving."""

from __future__ import annotations

from typing import Protocol

import trio

from ..clock import SECOND, Millis
from ..signal import Signal
from .exchange import ExchangeFault

MAX_UNFINISHED_BYTES = 64 * 1024 * 1024
"""Sixteen bodies of the greatest size at once, which leaves most of a host's memory to the rest."""
CROWDED_FRACTION = 0.75
"""How much of that may be used before large bodies wait for each other."""
SMALL_BODY_BYTES = 262_144
"""Bodies up to this size never wait, such as the parts of gathers."""
ROOM_TIMEOUT: Millis = 500.0
"""How long a body waits for others. One that never ends may be the largest until its deadline."""


class ReplyOwner(Protocol):
    """A connection on which a response arrives."""

    def close(self, fault: ExchangeFault | None = None) -> None:
        """Close the connection; the exchange in progress reports the fault."""


class UnfinishedReplies:
    """Counts the bytes of the bodies that have arrived in part, over all connections.

    Each body has a limit of its own, but many servers may send large ones at once. Near the limit,
    the largest is read to its end while other large ones wait: a sound body completes, and an
    endless one reaches its own limit. Over the limit, the connection with the most bytes is closed.

    Args:
        max_bytes: Size limit of all of them together, in bytes.
    """

    def __init__(self, max_bytes: int = MAX_UNFINISHED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._crowded_bytes = CROWDED_FRACTION * max_bytes
        self._sizes: dict[ReplyOwner, int] = {}
        self._freed = Signal()
        self._waiting_count = 0
        self.total = 0
        """The size of all of them together, in bytes."""

    def add(self, owner: ReplyOwner, size: int) -> None:
        """Count bytes that have arrived; this may close any connection, also the owner."""
        self._sizes[owner] = self._sizes.get(owner, 0) + size
        self.total += size
        while self.total > self._max_bytes:
            largest = self._largest()
            self.remove(largest)
            largest.close(ExchangeFault.GARBAGE)

    async def wait_for_room(self, owner: ReplyOwner) -> None:
        """Wait while a large body should not be read on; not for longer than ``ROOM_TIMEOUT``."""
        if not self._should_wait(owner):
            return
        self._waiting_count += 1
        try:
            with trio.move_on_after(ROOM_TIMEOUT / SECOND):
                while self._should_wait(owner):
                    await self._freed.wait()
        finally:
            self._waiting_count -= 1

    def _should_wait(self, owner: ReplyOwner) -> bool:
        if self.total < self._crowded_bytes or self._sizes.get(owner, 0) <= SMALL_BODY_BYTES:
            return False
        return owner is not self._largest()

    def _largest(self) -> ReplyOwner:
        return max(self._sizes, key=self._sizes.__getitem__)

    def remove(self, owner: ReplyOwner) -> None:
        """Forget a response that is complete or given up."""
        self.total -= self._sizes.pop(owner, 0)
        if self._waiting_count:
            self._freed.notify()
