"""Writes answers to clients, also to those that read slowly."""

from __future__ import annotations

import os
from collections import deque

import trio

from ..clock import SECOND, LoopClock, Millis
from ..log import log_event
from ..log_events import LogEvent
from .serve_state import ServeState
from .socket_state import SocketState
from .waiting_answers import WaitingAnswer
from .write_progress import WriteProgress, stall_span

CHUNK_BYTES = 131_072
"""The memory of an answer is freed in pieces of this size, as its client reads."""
JOIN_BYTES = 16_384
"""Bodies up to this size are copied behind their head, which is cheaper than two buffers."""
CHECK_INTERVAL: Millis = 500.0
"""How often a client is asked whether it has taken bytes. A socket with a large buffer becomes
writable only after the client has read a third of it."""


class AnswerCutError(Exception):
    """A client was given up before it had its whole answer."""


class AnswerWriter:
    """Writes to one client's connection.

    Args:
        stream: The connection.
        socket_state: The state of its socket.
        state: The state of the server.
        client: The client's IP address.
    """

    __slots__ = ("_client", "_clock", "_fd", "_socket_state", "_state")

    def __init__(
        self, stream: trio.SocketStream, socket_state: SocketState, state: ServeState, client: str
    ) -> None:
        self._fd = stream.socket.fileno()
        self._socket_state = socket_state
        self._state = state
        self._clock = LoopClock()
        self._client = client

    async def write(self, parts: list[bytes], stall_limit: Millis) -> None:
        """Write some bytes as far as the client takes them.

        Nothing waits, and no memory is held, if the kernel takes all of them at once.

        Args:
            parts: The bytes; the list is emptied, so that they can be freed one by one.
            stall_limit: How long the client may take nothing.

        Raises:
            AnswerCutError: If the client took too little, or the server ends.
            trio.BrokenResourceError: If the client has closed the connection.
        """
        size = sum(map(len, parts))
        if size <= JOIN_BYTES:
            parts[:] = [b"".join(parts)]
        sent = self._write_now(parts)
        if sent < size:
            await self._write_rest(_rest_of(parts, sent), stall_limit)

    def _write_now(self, parts: list[bytes]) -> int:
        try:
            return os.writev(self._fd, parts)
        except BlockingIOError:
            return 0
        except OSError as exc:
            raise trio.BrokenResourceError(f"socket error: {exc}") from exc

    async def _write_rest(self, chunks: deque[bytes], stall_limit: Millis) -> None:
        now = self._clock.now()
        size = sum(map(len, chunks))
        span = stall_span(stall_limit, self._socket_state.segment_bytes())
        progress = WriteProgress(size + self._socket_state.unacknowledged(), now, span)
        answer = WaitingAnswer(size, now)
        answers = self._state.answers
        answers.add(answer)
        try:
            while chunks:
                answers.give_up_stalled(self._clock.now())
                await self._await_progress(answer, progress)
                self._drop_written(chunks, self._write_now([chunks[0]]), answer)
            self._record_read_time(now, progress.size)
        finally:
            answers.remove(answer)

    def _record_read_time(self, began: Millis, size: int) -> None:
        now = self._clock.now()
        left = self._socket_state.unacknowledged()
        # The kernel still has the last part, which takes its share of the time.
        whole = (now - began) * size / max(1, size - left)
        self._state.read_times.record(self._client, whole, now)

    def _drop_written(self, chunks: deque[bytes], sent: int, answer: WaitingAnswer) -> None:
        first = chunks.popleft()
        if sent < len(first):
            chunks.appendleft(first[sent:])
        self._state.answers.shrink(answer, answer.size - sent)

    async def _await_progress(self, answer: WaitingAnswer, progress: WriteProgress) -> None:
        """Wait until the socket takes bytes; give the client up if it takes none for too long."""
        while True:
            now = self._clock.now()
            progress.record(answer.size + self._socket_state.unacknowledged(), now)
            answer.taken_at = progress.taken_at
            self._check_time(answer, progress, now)
            wake_at = min(now + CHECK_INTERVAL, progress.ends_at, self._state.ends_at)
            with trio.move_on_at(wake_at / SECOND):
                await trio.lowlevel.wait_writable(self._fd)
                return
            self._state.answers.give_up_stalled(self._clock.now())

    def _check_time(self, answer: WaitingAnswer, progress: WriteProgress, now: Millis) -> None:
        if answer.is_given_up:
            why = "the client takes nothing, and the memory is needed"
        elif now >= self._state.ends_at:
            why = "the server ends"
        elif now >= progress.ends_at:
            why = "the client takes too little"
        else:
            return
        log_event(LogEvent.ANSWER_CUT, why=why, unsent=answer.size)
        raise AnswerCutError(why)


def _rest_of(parts: list[bytes], sent: int) -> deque[bytes]:
    """Return what is left of some bytes in chunks of its own, and empty the list."""
    chunks: deque[bytes] = deque()
    for part in parts:
        view = memoryview(part)[sent:]
        sent = max(0, sent - len(part))
        chunks.extend(bytes(view[at : at + CHUNK_BYTES]) for at in range(0, len(view), CHUNK_BYTES))
    parts.clear()
    return chunks
