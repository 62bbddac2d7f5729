"""A stand-in for the platform, which serves a list of live and leaving hosts."""

from __future__ import annotations

from functools import partial

import trio

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, json_response
from ..http.server import serve_http

LOOPBACK = "127.0.0.1"


class StandinPlatform:
    """Serves a host list that the test sets, so that it can lag behind the real hosts."""

    def __init__(self) -> None:
        self.port = 0
        self.states: dict[int, str] = {}
        """State of the host at each loopback port, ``live`` or ``leaving``."""
        self.fetch_count = 0
        """Number of times the list was fetched."""
        self.returns_invalid_list = False
        """Whether to answer with a document that has no valid list."""

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve the list until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            await nursery.start(partial(serve_http, listeners, self._handle))
            task_status.started()

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if (req.method, req.path) != ("GET", "/hosts"):
            raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, f"no resource at {req.path}"))
        self.fetch_count += 1
        if self.returns_invalid_list:
            return json_response(200, {"hosts": "all of them"})
        hosts = [
            {"address": LOOPBACK, "port": port, "state": state}
            for port, state in self.states.items()
        ]
        return json_response(200, {"hosts": hosts})
