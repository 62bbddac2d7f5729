"""Requests of operators in progress, which are answered before a control host ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ..clock import SECOND, LoopClock, Millis
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse
from ..http.server import ServeState

COMPLETION_TIMEOUT: Millis = 1 * SECOND
"""How long requests in progress may still complete at a stop."""
ANSWER_TIMEOUT: Millis = 1 * SECOND
"""How long operators have to read the answers that they get at the end of a stop."""
POLL_INTERVAL: Millis = 10.0


class OperatorRequests:
    """Passes operators' requests to a handler, and answers those that run when the host stops.

    Args:
        handler: Answers one request; it may be cancelled.
    """

    def __init__(self, handler: Callable[[HttpRequest], Awaitable[HttpResponse]]) -> None:
        self.state = ServeState()
        """The state of the operators' server."""
        self._handler = handler
        self._scopes: set[trio.CancelScope] = set()
        self._has_ended = False

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request.

        Raises:
            AlderhatchError: If the request fails, or the host stops before it is complete.
        """
        if self._has_ended:
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, "this control host is stopping"))
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await self._handler(req)
            finally:
                self._scopes.discard(scope)
        raise AlderhatchError(_stop_failure(req))

    async def complete(self) -> None:
        """Wait for the requests in progress for a short time, then answer those that remain."""
        self.state.closing = True
        await self._wait_idle(COMPLETION_TIMEOUT)
        self._has_ended = True
        for scope in self._scopes:
            scope.cancel()
        await self._wait_idle(ANSWER_TIMEOUT)

    async def _wait_idle(self, timeout: Millis) -> None:
        clock = LoopClock()
        end = clock.now() + timeout
        while self.state.exchanges and clock.now() < end:
            await trio.sleep(POLL_INTERVAL / SECOND)


def _stop_failure(req: HttpRequest) -> Failure:
    if req.method == "GET":
        return Failure(ErrorKind.NO_LEADER, "this control host is stopping")
    # The command may be on the disks of a majority already.
    return Failure(ErrorKind.CHANGE_UNKNOWN, "this control host is stopping")
