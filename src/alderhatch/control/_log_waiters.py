"""Those who wait for the outcome of something that they asked of the replicated log."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from ..core.raft.effects import Refusal
from ..errors import AlderhatchError, ErrorKind, Failure

RETRY_AFTER_MS = 200.0
"""When to come back while the hosts elect a leader."""


class RefusedError(Exception):
    """The state machine of the log refused a request, for a reason that may pass."""

    def __init__(self, refusal: Refusal, message: str) -> None:
        super().__init__(message)
        self.refusal = refusal
        self.message = message


@dataclass(slots=True)
class Waiter:
    """One request and, once it is known, its outcome."""

    tag: int
    done: trio.Event = field(default_factory=trio.Event)
    result: object = None
    error: Exception | None = None

    async def wait(self) -> object:
        """Return the result.

        Raises:
            Exception: The error that the request ended with.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error
        return self.result


def failed(kind: ErrorKind, message: str) -> AlderhatchError:
    """Return a failure for whoever waits."""
    retry = RETRY_AFTER_MS if kind in (ErrorKind.NO_LEADER, ErrorKind.CHANGE_UNKNOWN) else None
    return AlderhatchError(Failure(kind, message, retry_after_ms=retry))


class Waiters:
    """All requests of one host whose outcome is not known."""

    def __init__(self) -> None:
        self._tags = itertools.count(1)
        self._by_tag: dict[int, Waiter] = {}
        self._by_index: dict[int, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._by_tag)

    def add(self) -> Waiter:
        """Return a new waiter."""
        waiter = Waiter(next(self._tags))
        self._by_tag[waiter.tag] = waiter
        return waiter

    @contextmanager
    def forgetting(self, waiter: Waiter) -> Iterator[None]:
        """Forget a waiter at the end of a ``with`` block, whether it was told anything or not."""
        try:
            yield
        finally:
            self._by_tag.pop(waiter.tag, None)

    def resolve(self, tag: int, result: object) -> None:
        """Tell a result."""
        waiter = self._by_tag.pop(tag, None)
        if waiter is not None:
            waiter.result = result
            waiter.done.set()

    def fail(self, tag: int, error: Exception) -> None:
        """Tell a failure."""
        waiter = self._by_tag.pop(tag, None)
        if waiter is not None:
            waiter.error = error
            waiter.done.set()

    def place(self, tag: int, index: int, term: int) -> None:
        """Note where in the log a request has its entry."""
        self._by_index[index] = (term, tag)

    def applied(self, index: int, term: int, result: object) -> None:
        """Tell the outcome to whoever waits for an entry."""
        placed = self._by_index.pop(index, None)
        if placed is None:
            return
        if placed[0] == term:
            self.resolve(placed[1], result)
            return
        error = failed(ErrorKind.NO_LEADER, "another leader's entry took the place in the log")
        self.fail(placed[1], error)

    def lose_leadership(self) -> None:
        """Tell those whose entries are not committed that their fate is open."""
        for _, tag in self._by_index.values():
            error = failed(ErrorKind.CHANGE_UNKNOWN, "the leader changed before the commit")
            self.fail(tag, error)
        self._by_index.clear()

    def fail_all(self, kind: ErrorKind, message: str) -> None:
        """Tell everybody the same failure."""
        for tag in list(self._by_tag):
            self.fail(tag, failed(kind, message))
        self._by_index.clear()
