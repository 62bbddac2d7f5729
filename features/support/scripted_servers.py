"""A forward runner on real connections to servers whose bytes a test decides."""

from __future__ import annotations

import zlib
from random import Random
from typing import NamedTuple

import trio

from alderhatch.clock import LoopClock
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.route import CallerLimits, TierConfiguration, UpstreamSettings
from alderhatch.core.forwarding.run_limits import RunTimes
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.http.messages import HttpRequest
from alderhatch.node.forward_runner import ForwardRunner
from alderhatch.node.node_state import NodeState
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.settings import POLICY
from features.support.forward_model import BUDGET_LIMITS

LOOPBACK = "127.0.0.1"
SCENE_TIMEOUT_S = 30.0
ZONE = "zone-0"
CONNECTIONS = 28


def reply_bytes(status, request_id=None, seal=None, body=b"", fields=()):
    """Return a response; None leaves the field out."""
    lines = [b"HTTP/1.1 %d Answer" % status, b"Content-Length: %d" % len(body)]
    if request_id is not None:
        lines.append(b"Attempt-Id: " + request_id.encode("latin-1"))
    if seal is not None:
        lines.append(b"Server-Seal: " + seal)
    lines += [b"%s: %s" % field for field in fields]
    return b"\r\n".join([*lines, b"", body])


class Cut(NamedTuple):
    """Bytes after which a server closes the connection."""

    data: bytes


class ScriptedServer:
    """A server that records the requests which it runs; ``script`` returns the bytes to send.

    The script gets the server, the ID of the request, and a list that belongs to the connection, in
    which it keeps the answers that it sent there. It returns a ``Cut`` to close the connection.
    """

    def __init__(self, server_id, upstream, script):
        self.server_id = server_id
        self.upstream = upstream
        self.script = script
        self.zone = ZONE
        self.port = 0
        self.arrivals = []
        """The ID of each request that arrived, in order."""
        self.runs = []
        """The ID of each request that ran, in order."""

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._handle, listeners)

    async def _handle(self, stream):
        sent = []
        buffered = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffered:
                    data = await stream.receive_some(65_536)
                    if not data:
                        return
                    buffered += data
                head, _, buffered = buffered.partition(b"\r\n\r\n")
                length = int(field_of(head, b"content-length") or 0)
                while len(buffered) < length:
                    buffered += await stream.receive_some(65_536)
                buffered = buffered[length:]
                request_id = field_of(head, b"attempt-id")
                self.arrivals.append(request_id)
                answer = self.script(self, request_id, sent)
                if isinstance(answer, Cut):
                    await stream.send_all(answer.data)
                    return
                await stream.send_all(answer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    def record(self):
        return ServerRecord(
            self.server_id, self.upstream, LOOPBACK, self.port, self.zone, 2, False, 0.0
        )


def field_of(head, wanted):
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == wanted:
            return value.strip().decode("latin-1")
    return ""


class FreeTurn:
    """A turn that never waits and refuses nothing."""

    def begin(self, run):
        return None

    async def wait_to_send(self):
        return None

    async def wait_to_read(self):
        return None


class RunnerScene:
    """A runner, its connections and its servers, for the duration of ``run``."""

    def __init__(self, servers, routes, dialect=None):
        self.servers = servers
        self.routes = tuple(routes)
        self.dialect = dialect or PlatformDialect()
        self._clock = LoopClock()
        self.pool = ConnectionPool(CONNECTIONS, 1000.0, spares=False)
        self.state = None
        self.runner = None
        self.last_run = None
        """The run of the request that was forwarded last."""
        self.began = 0.0
        """When the scene began, in milliseconds of its clock."""

    def now(self):
        return self._clock.now()

    def run(self, scene):
        """Run an async function of this scene to its end."""

        async def main():
            with trio.fail_after(SCENE_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await self._start(nursery)
                    self.began = self.now()
                    await scene(self)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def _start(self, nursery):
        for server in self.servers:
            await nursery.start(server.serve)
        names = sorted({server.upstream for server in self.servers})
        upstreams = tuple(UpstreamSettings(name, CONNECTIONS) for name in names)
        cfg = TierConfiguration(1, self.routes, upstreams, CallerLimits())
        self.state = NodeState(
            "host-0",
            ZONE,
            lambda document: cfg,
            self.pool,
            BUDGET_LIMITS,
            POLICY,
            self._clock,
            Random(1),
        )
        self.runner = ForwardRunner(self.pool, self.state, self.dialect)
        await nursery.start(self.pool.run)
        await nursery.start(self.runner.run)
        self.state.apply_configuration(StoredConfiguration(1, zlib.compress(b"{}")))
        self.state.apply_servers([server.record() for server in self.servers], [])
        self.pool.set_shares(None)

    async def forward(self, route, request_id, method="GET", body=b"", timeout=2000.0):
        """Forward a request and return its outcome."""
        fields = [(b"host", b"fleet.example"), (b"attempt-id", request_id.encode())]
        headers = {name.decode(): value.decode() for name, value in fields}
        http = HttpRequest(method, "/x", {}, headers, body, "/x", fields)
        req = self.dialect.read_request(http)
        now = self.now()
        upstreams = route.upstreams
        run = self.last_run = ForwardRun(
            route, upstreams, RunTimes(now, now + timeout, now + timeout), self.state.table
        )
        return await self.runner.forward(req, run, FreeTurn())
