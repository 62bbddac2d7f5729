"""A stand-in for the platform: its lagging list of live and leaving hosts."""

from __future__ import annotations

from functools import partial

import trio

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, json_response
from ..http.server import serve_http

LOOPBACK = "127.0.0.1"


class StandinPlatform:
    """Serves the list; what is on it is set by whoever runs it, as late as they like."""

    def __init__(self) -> None:
        self.port = 0
        self.states: dict[int, str] = {}
        """``live`` or ``leaving`` for each port on loopback."""
        self.fetch_count = 0
        """How often the list was fetched."""
        self.returns_invalid_list = False
        """Answers with something that is no list."""

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            await nursery.start(partial(serve_http, listeners, self._handle))
            task_status.started()

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if (req.method, req.path) != ("GET", "/hosts"):
            raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, f"nothing at {req.path}"))
        self.fetch_count += 1
        if self.returns_invalid_list:
            return json_response(200, {"hosts": "all of them"})
        hosts = [
            {"address": LOOPBACK, "port": port, "state": state}
            for port, state in self.states.items()
        ]
        return json_response(200, {"hosts": hosts})
