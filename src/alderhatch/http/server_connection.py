"""A client's connection to a server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from math import inf
from typing import TypeAlias

import h11
import trio

from ..clock import SECOND, LoopClock, Millis
from ..errors import AlderhatchError, ErrorKind, Failure
from ..log import log_event
from ..log_events import LogEvent
from ..task_faults import TaskKind, record_task_fault
from .answer_writer import AnswerCutError, AnswerWriter
from .client_presence import runs_on
from .connection_close import close_at_stop, close_in_order
from .messages import HttpLimits, HttpRequest, HttpResponse, failure_response
from .request_reader import RequestReader
from .response_head import response_head
from .serve_state import ServeState
from .socket_state import CLOSED, SocketState

Handler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]
HALF_CLOSED_CHECK_INTERVAL: Millis = 25.0
"""How often a client that has closed its sending half is checked for having left."""
BODILESS_STATUSES = (204, 304)


class ServerConnection:
    """A client's connection, which carries one request at a time.

    Args:
        stream: The connection.
        handler: Called once for each complete request.
        current_limits: Returns the limits for the next request.
        state: The state of the server.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: Handler,
        current_limits: Callable[[], HttpLimits],
        state: ServeState,
    ) -> None:
        self._stream = stream
        self._state = state
        self._handler = handler
        self._clock = LoopClock()
        self._left_at: Millis | None = None
        """When the client has closed its sending half."""
        self._socket_state = SocketState(stream)
        self._client = self._socket_state.client_address()
        self._writer = AnswerWriter(stream, self._socket_state, state, self._client)
        self._reader = RequestReader(stream, self._socket_state, current_limits, state)

    async def run(self) -> None:
        """Answer requests until the connection ends, and close it in order.

        Raises:
            AnswerCutError: If the client was given up while it read an answer.
            trio.BrokenResourceError: If the client has closed the connection.
        """
        try:
            if await self._answer_requests():
                await close_in_order(self._stream, self._socket_state, self._state)
        except trio.Cancelled:
            await close_at_stop(self._stream, self._socket_state, self._state)
            raise

    async def _answer_requests(self) -> bool:
        """Answer requests; return whether the client may still read when the last is answered."""
        http = self._reader.http
        while True:
            try:
                req = await self._reader.read()
            except AlderhatchError as exc:
                log_event(LogEvent.CALLER_INPUT_REFUSED, why=str(exc))
                await self._refuse(failure_response(exc.failure))
                return True
            if req is None:
                return True
            if not self._is_client_there():
                return False
            refusal = self._refusal()
            if refusal is not None:
                await self._write(self._to_bytes(self._state.refusal(refusal), self._is_last))
            elif not await self._exchange(req):
                return False
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return True
            http.start_next_cycle()

    @property
    def _is_last(self) -> bool:
        """Whether a connection that is to be closed may be closed after the next answer.

        Requests that the client has sent ahead would get no answer, though they have been read.
        """
        return not self._reader.has_ahead

    def _refusal(self) -> Failure | None:
        """Return why a request that was read must not start; None if it may."""
        if self._state.refusing or self._would_end_late():
            return Failure(ErrorKind.STOPPING, "this host is stopping")
        if not self._may_run_on():
            why = "the client had closed its sending half long before the request was read"
            return Failure(ErrorKind.OVERLOADED, why)
        if self._state.answers.is_full:
            why = "the answers that callers have not read yet hold too much memory"
            return Failure(ErrorKind.OVERLOADED, why)
        return None

    def _would_end_late(self) -> bool:
        """Return whether an answer would probably still be being read when the server ends."""
        ends_at = self._state.ends_at
        if ends_at == inf:
            return False
        now = self._clock.now()
        return now + self._state.read_times.expected(self._client, now) > ends_at

    async def _refuse(self, response: HttpResponse) -> None:
        await self._write(self._to_bytes(response, close=True))

    async def _exchange(self, req: HttpRequest) -> bool:
        """Run and answer a request; return whether its client was still there."""
        self._state.exchanges += 1
        try:
            return await self._handle_and_send(req)
        except (trio.BrokenResourceError, trio.ClosedResourceError, AnswerCutError):
            raise
        except BaseException:
            # The task is cancelled, which a nursery reports as a group, or failed.
            self._state.cut += 1
            raise
        finally:
            self._state.exchanges -= 1

    async def _handle_and_send(self, req: HttpRequest) -> bool:
        """Answer a request; return whether its client was still there."""
        response = await self._handle(req)
        if response is None:
            return False
        # Passed on without a name, so that nothing but the writer holds the body.
        parts = self._to_bytes(response, self._state.closing and self._is_last)
        del response
        await self._write(parts)
        return True

    def _is_client_there(self) -> bool:
        """Return whether the client may still read; record when it has closed its sending half.

        A process that was frozen finds the requests of clients that have long given up. Without
        this look they would reach servers before the end of the stream is read.
        """
        events = self._socket_state.hang_up()
        if events and self._left_at is None:
            # The end of the stream came after the last bytes, so it is known to be no older.
            self._left_at = self._clock.now() - self._socket_state.data_age()
        return not events & CLOSED

    async def _handle(self, req: HttpRequest) -> HttpResponse | None:
        """Run the handler; return None if the client disconnected meanwhile."""
        response: HttpResponse | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client, nursery.cancel_scope)
            response = await self._answer(req)
            nursery.cancel_scope.cancel()
        if response is None and self._is_client_there():
            why = "the client closed its sending half, and the answer took too long"
            return self._state.refusal(Failure(ErrorKind.OUTCOME_UNKNOWN, why))
        return response

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(req)
        except AlderhatchError as exc:
            return failure_response(exc.failure)
        except Exception as exc:
            log_event(LogEvent.ENTRY_FAULT, exc=exc, path=req.path)
            return failure_response(Failure(ErrorKind.INTERNAL, "internal error in alderhatch"))

    async def _watch_client(self, scope: trio.CancelScope) -> None:
        # Work for a disconnected client is wasted load on the upstreams, so the handler is
        # cancelled when the client has closed the connection.
        try:
            if not await self._reader.read_ahead():
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
            return
        if self._left_at is None:
            self._left_at = self._clock.now()
        while self._is_client_there() and self._may_run_on():
            await trio.sleep(HALF_CLOSED_CHECK_INTERVAL / SECOND)
        scope.cancel()

    def _may_run_on(self) -> bool:
        return self._left_at is None or runs_on(self._left_at, self._clock.now())

    async def _write(self, parts: list[bytes]) -> None:
        self._state.writing += 1
        try:
            await self._writer.write(parts, self._reader.limits.request_timeout)
        except AnswerCutError:
            self._state.cut += 1
            raise
        finally:
            self._state.writing -= 1

    def _to_bytes(self, response: HttpResponse, close: bool) -> list[bytes]:
        http = self._reader.http
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return []
        try:
            head = response_head(response, close)
        except (h11.LocalProtocolError, ValueError) as exc:
            # A field from a server or another host that no head can carry.
            record_task_fault(TaskKind.RESPONSE, exc)
            response = failure_response(
                Failure(ErrorKind.INTERNAL, "the response can't be written")
            )
            head = response_head(response, close)
        parts = [http.send(head) or b""]
        if self._reader.method != b"HEAD" and response.status not in BODILESS_STATUSES:
            parts.append(http.send(h11.Data(data=response.body)) or b"")
        parts.append(http.send(h11.EndOfMessage()) or b"")
        return parts
