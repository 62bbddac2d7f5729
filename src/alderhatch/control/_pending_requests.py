"""Requests to the replicated log whose outcome is not known yet."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from ..core.raft.effects import Refusal
from ..errors import AlderhatchError, ErrorKind, Failure

RETRY_AFTER_MS = 200.0
"""Retry delay for callers while the hosts elect a leader."""


class RefusedError(Exception):
    """The Raft node refused a request, for a reason that may be temporary."""

    def __init__(self, refusal: Refusal, message: str) -> None:
        super().__init__(message)
        self.refusal = refusal
        self.message = message


@dataclass(slots=True)
class PendingRequest:
    """A request and, once it is known, its outcome."""

    tag: int
    done: trio.Event = field(default_factory=trio.Event)
    result: object = None
    error: Exception | None = None

    async def wait(self) -> object:
        """Wait for the outcome and return the result.

        Raises:
            Exception: The error with which the request failed.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error
        return self.result


def request_error(kind: ErrorKind, message: str) -> AlderhatchError:
    """Return the error for a failed request, with a retry delay where a retry can help."""
    retry = RETRY_AFTER_MS if kind in (ErrorKind.NO_LEADER, ErrorKind.CHANGE_UNKNOWN) else None
    return AlderhatchError(Failure(kind, message, retry_after_ms=retry))


class PendingRequests:
    """All requests on this host that wait for their outcome."""

    def __init__(self) -> None:
        self._tags = itertools.count(1)
        self._by_tag: dict[int, PendingRequest] = {}
        self._by_index: dict[int, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._by_tag)

    def add(self) -> PendingRequest:
        """Create a request with a new tag."""
        request = PendingRequest(next(self._tags))
        self._by_tag[request.tag] = request
        return request

    @contextmanager
    def discarding(self, request: PendingRequest) -> Iterator[None]:
        """Remove a request at the end of a ``with`` block, even without an outcome."""
        try:
            yield
        finally:
            self._by_tag.pop(request.tag, None)

    def resolve(self, tag: int, result: object) -> None:
        """Complete a request with a result."""
        request = self._by_tag.pop(tag, None)
        if request is not None:
            request.result = result
            request.done.set()

    def fail(self, tag: int, error: Exception) -> None:
        """Complete a request with an error."""
        request = self._by_tag.pop(tag, None)
        if request is not None:
            request.error = error
            request.done.set()

    def record_entry(self, tag: int, index: int, term: int) -> None:
        """Record the log entry of a request."""
        self._by_index[index] = (term, tag)

    def on_applied(self, index: int, term: int, result: object) -> None:
        """Complete the request of an entry that was applied."""
        recorded = self._by_index.pop(index, None)
        if recorded is None:
            return
        if recorded[0] == term:
            self.resolve(recorded[1], result)
            return
        error = request_error(
            ErrorKind.NO_LEADER, "the log entry was overwritten by an entry of another leader"
        )
        self.fail(recorded[1], error)

    def on_leadership_lost(self) -> None:
        """Fail all requests with uncommitted entries: these may still be committed or not."""
        for _, tag in self._by_index.values():
            error = request_error(
                ErrorKind.CHANGE_UNKNOWN, "the leader changed before the entry was committed"
            )
            self.fail(tag, error)
        self._by_index.clear()

    def fail_all(self, kind: ErrorKind, message: str) -> None:
        """Fail all requests with the same error."""
        for tag in list(self._by_tag):
            self.fail(tag, request_error(kind, message))
        self._by_index.clear()
