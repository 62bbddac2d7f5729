"""What a server is doing, and what it is told about a stop."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TypeAlias

import trio

from ..clock import Millis
from ..errors import Failure
from ..loop_delay import LoopDelay
from .messages import HttpResponse, failure_response
from .read_times import ReadTimes
from .waiting_answers import WaitingAnswers

Refusal: TypeAlias = Callable[[Failure], HttpResponse]


class ServeState:
    """Open connections and requests in progress of a server, and whether it is stopping.

    Args:
        loop_delay: Measures how long requests wait unread; None to leave that unknown.
    """

    def __init__(self, loop_delay: LoopDelay | None = None) -> None:
        self.loop_delay = loop_delay
        self.refusal: Refusal = failure_response
        """Returns the response to a request that the server itself refuses."""
        self.connections = 0
        self.exchanges = 0
        """Requests in progress: received completely, and the response not yet sent completely."""
        self.writing = 0
        """Answers being written."""
        self.cut = 0
        """Requests that were begun and whose answer was not written whole, though their client had
        not closed the connection."""
        self.answers = WaitingAnswers()
        """Answers that wait for their clients to read."""
        self.read_times = ReadTimes()
        """How long clients take to read their answers."""
        self.closing = False
        """Set to close each connection after its next response, so that clients use other hosts."""
        self.ends_at: Millis = inf
        """When all writing and closing is over, on the loop's clock; infinite until a stop."""
        self._refusing = False
        self._idle: set[trio.CancelScope] = set()

    @property
    def refusing(self) -> bool:
        """Set to start no further request: one that arrives is refused, idle connections close."""
        return self._refusing

    @refusing.setter
    def refusing(self, value: bool) -> None:
        self._refusing = value
        if value:
            for scope in self._idle:
                scope.cancel()

    def begin_idle(self, scope: trio.CancelScope) -> None:
        """Record the scope in which a connection waits for its next request."""
        self._idle.add(scope)

    def end_idle(self, scope: trio.CancelScope) -> None:
        """Record that the wait in a scope has ended."""
        self._idle.discard(scope)
