"""Closes a client's connection so that what was written on it arrives."""

from __future__ import annotations

from math import inf

import trio

from ..clock import SECOND, LoopClock, Millis
from .serve_state import ServeState
from .socket_state import SocketState
from .write_progress import WriteProgress

READ_BYTES = 65_536
CLOSE_TIMEOUT: Millis = 1000.0
"""How long a client that takes nothing may leave its own end open."""
MAX_UNREAD_BYTES = 4 * 1024 * 1024
"""Bytes that are read and discarded at the end of a connection."""


async def close_in_order(
    stream: trio.SocketStream, socket_state: SocketState, state: ServeState
) -> None:
    """End the writing half of a connection and read until its client has ended the other.

    Closing a socket with unread bytes, or one for which bytes arrive later, resets the connection.
    The reset can overtake what was written: a client would see it in place of its last answer.
    """
    clock = LoopClock()
    left = socket_state.unacknowledged()
    progress = WriteProgress(left, clock.now(), CLOSE_TIMEOUT)
    unread = MAX_UNREAD_BYTES
    await stream.send_eof()
    while unread > 0 and clock.now() < min(progress.ends_at, state.ends_at):
        with trio.move_on_at(min(progress.ends_at, state.ends_at) / SECOND):
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return
            unread -= len(data)
        progress.record(socket_state.unacknowledged(), clock.now())


async def close_at_stop(
    stream: trio.SocketStream, socket_state: SocketState, state: ServeState
) -> None:
    """Close a connection in order although its task is cancelled, if a stop leaves time for it."""
    if state.ends_at == inf:
        return
    with trio.CancelScope(shield=True):
        try:
            await close_in_order(stream, socket_state, state)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has closed the connection itself.
            return
