"""An HTTP/1.1 server, built on h11 and trio."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..task_faults import TaskKind, record_task_fault
from .answer_writer import AnswerCutError
from .messages import HttpLimits
from .request_target import parse_target
from .serve_state import ServeState
from .server_connection import Handler, ServerConnection

__all__ = ["Handler", "ServeState", "parse_target", "serve_http"]


async def serve_http(
    listeners: list[trio.SocketListener],
    handler: Handler,
    limits: HttpLimits | Callable[[], HttpLimits] = HttpLimits(),
    state: ServeState | None = None,
    task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer HTTP requests until cancelled.

    The handler is cancelled when its client closes the connection. An ``AlderhatchError`` of the
    handler becomes the response that the error catalogue defines; any other exception is logged
    and answered as ``internal``.

    Args:
        listeners: Open listening sockets.
        handler: Called once for each complete request.
        limits: Limits for clients; connections beyond the limit are closed at once. A function is
            called before each request, for limits that change while the server runs.
        state: Updated with the work in progress; its flags tell the server that it is stopping.
        task_status: Reported as started once the server accepts connections.
    """
    serve_state = state or ServeState()
    get_limits = limits if callable(limits) else lambda: limits

    async def on_connection(stream: trio.SocketStream) -> None:
        if serve_state.connections >= get_limits().connections:
            await trio.aclose_forcefully(stream)
            return
        serve_state.connections += 1
        try:
            await ServerConnection(stream, handler, get_limits, serve_state).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError, AnswerCutError):
            return
        except Exception as exc:
            # Uncaught, it would end the listener and with it the process, and all other clients
            # would lose what they wait for.
            record_task_fault(TaskKind.CONNECTION, exc)
        finally:
            serve_state.connections -= 1
            await trio.aclose_forcefully(stream)

    await trio.serve_listeners(on_connection, listeners, task_status=task_status)
