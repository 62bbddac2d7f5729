"""The callers' requests in progress, each of which gets an answer before the host ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpResponse


class RequestInProgress:
    """One request, from its arrival to its response."""

    __slots__ = ("is_running", "passed_on", "scope")

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.passed_on = False
        """Whether a server or another host may have got it."""
        self.is_running = False
        """Whether it runs on servers; such a request ends with the outcome of its run."""

    def error(self) -> AlderhatchError:
        """Return the answer to this request when the host ends."""
        if self.passed_on:
            message = "this host stops before the answer has come"
            return AlderhatchError(Failure(ErrorKind.OUTCOME_UNKNOWN, message))
        message = "this host stops before the request could run"
        return AlderhatchError(Failure(ErrorKind.STOPPING, message))


class RequestsInProgress:
    """Lets each request wait until it is answered, at most until the host ends."""

    def __init__(self) -> None:
        self._requests: set[RequestInProgress] = set()
        self.is_over = False
        """Whether no further request is begun."""
        self.ended_not_run = 0
        """Requests that were answered at the end as not run."""
        self.ended_unknown = 0
        """Requests that were answered at the end although they may have run."""

    async def answer(
        self, work: Callable[[RequestInProgress], Awaitable[HttpResponse]]
    ) -> HttpResponse:
        """Answer a request, with an error if it isn't answered when the host ends.

        Args:
            work: Answers the request, and records in the object that it gets what it does.

        Raises:
            AlderhatchError: If the request is refused, or ended by the end of the host.
        """
        req = RequestInProgress()
        if self.is_over:
            raise req.error()
        self._requests.add(req)
        try:
            with req.scope:
                return await work(req)
        finally:
            self._requests.discard(req)
        self.count_end(not_run=not req.passed_on)
        raise req.error()

    def end_waiting(self) -> None:
        """End all requests that don't run on servers of this host."""
        self.is_over = True
        for req in self._requests:
            if not req.is_running:
                req.scope.cancel()

    def end_all(self) -> None:
        """End all requests."""
        self.is_over = True
        for req in self._requests:
            req.scope.cancel()

    def count_end(self, not_run: bool) -> None:
        """Count a request that was ended by the end of the host."""
        if not_run:
            self.ended_not_run += 1
        else:
            self.ended_unknown += 1
