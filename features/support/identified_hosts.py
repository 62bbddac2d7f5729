"""A node's request handling with real configurations, and recorders in place of its sockets."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

import orjson
import trio
from trio.testing import MockClock

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.control.configuration_register import pack_configuration
from alderhatch.core.forwarding.configuration_lease import ConfigurationLease
from alderhatch.core.forwarding.outcome import FailureReason, NotRun
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.errors import AlderhatchError, ErrorKind, Failure
from alderhatch.http.messages import HttpRequest, HttpResponse
from alderhatch.node.caller_handler import CallerHandler
from alderhatch.node.hand_over_client import HandedResponse
from alderhatch.node.node_state import NodeState
from alderhatch.node.quota_gate import QuotaGate
from alderhatch.node.service_turns import ServiceTurns
from alderhatch.platform.configuration import decode_configuration
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.settings import POLICY
from features.support.forward_model import BUDGET_LIMITS

HOST = "fleet.example"
SHARDS = [f"shard-{number}" for number in range(6)]
ORGANISATIONS = [
    {"name": "north", "api-keys": ["north-key", "north-second"], "priority": 0},
    {"name": "south", "api-keys": ["south-key", "clé"]},
]


def document(version, organisations, **root):
    """Return a configuration with three routes, of which one is public.

    Args:
        version: Its version.
        organisations: The organisations; None to declare none.
        **root: Fields that are changed at the top level.
    """
    route = {"host": HOST, "service": "kitchen", "timeout-ms": 2000, "max-attempts": 2}
    routes = [
        route | {"name": "private", "path-prefix": "/private/", "priority": 2},
        route | {"name": "public", "path-prefix": "/public/", "public": True},
        route | {"name": "gather", "path-prefix": "/gather/", "gather": SHARDS, "top-k": 4},
    ]
    services = [{"name": name} for name in ("kitchen", *SHARDS)]
    cfg = {"version": version, "routes": routes, "services": services}
    if organisations is not None:
        cfg["tenants"] = organisations
    return orjson.dumps(cfg | root)


def request(path="/private/7", *fields):
    """Return a request as its caller sent it, with further header fields."""
    pairs = [(b"host", HOST.encode()), (b"attempt-id", b"a1"), (b"time-budget-ms", b"1000")]
    pairs += [(name.lower().encode(), value.encode("latin-1")) for name, value in fields]
    headers = {name.decode(): value.decode("latin-1") for name, value in pairs}
    return HttpRequest("GET", path, {}, headers, b"", path, pairs)


class RecordedServers:
    """Records the header fields with which requests would be sent to servers."""

    def __init__(self):
        self.sent = []
        self.identities = []

    async def forward(self, req, run):
        self.identities.append(req.identity)
        self.sent.append(PlatformDialect().server_fields(req, "i-1", 1000.0))
        return NotRun(FailureReason.NO_SERVER, 250.0)


class RecordedCollector:
    """Records the header fields and the shards of shares of gathers; no part ever arrives."""

    def __init__(self, duration=0.0):
        self.duration = duration
        self.sent = []
        self.shards = []

    async def collect(self, req, run, report_times, on_parts):
        self.sent.append(PlatformDialect().server_fields(req, "i-1", 1000.0))
        self.shards.append(tuple(run.shards))
        await trio.sleep(self.duration / SECOND)


class RecordedHandOvers:
    """Records the requests that are handed over to other hosts."""

    def __init__(self):
        self.handed = []

    async def hand_over(self, http, time_left, hosts, identity=None):
        self.handed.append((http, identity))
        return HandedResponse("other", HttpResponse(200, b"their answer"))


class RecordedQuotas(QuotaGate):
    """Admits all requests, and counts the tokens that are given back."""

    def __init__(self):
        self.given_back = 0

    def give_back(self, organisation):
        self.given_back += 1


class FixedLease(ConfigurationLease):
    """A lease that is valid or has run out."""

    def __init__(self):
        super().__init__()
        self.is_valid = True

    def check(self, now):
        if not self.is_valid:
            raise AlderhatchError(Failure(ErrorKind.LEASE_EXPIRED, "no confirmation in time"))


class IdentifiedHost:
    """One host that answers callers' requests."""

    def __init__(self):
        clock = ManualClock(1000.0)
        pool = ConnectionPool(0, spares=False)
        pool._clock = clock
        self.state = NodeState(
            "me", "zone-0", decode_configuration, pool, BUDGET_LIMITS, POLICY, clock, Random(1)
        )
        self.state.started.set()
        self.state.lease = FixedLease()
        self.servers = RecordedServers()
        self.hand_overs = RecordedHandOvers()
        self.quotas = RecordedQuotas()
        self.turns = ServiceTurns()
        self.log = Mock()
        self.metrics = Mock()
        self.handler = CallerHandler(
            self.state,
            self.servers,
            PlatformDialect(),
            self.metrics,
            self.log,
            self.hand_overs,
            SimpleNamespace(create=lambda req, route, times: None),
            1.0,
            self.quotas,
            self.turns,
        )

    def configure(self, version, organisations, **root):
        cfg = document(version, organisations, **root)
        self.state.apply_configuration(pack_configuration(version, cfg))

    def answer(self, http):
        """Return the status of the response to a caller, or the kind of the refusal."""
        return self.outcome(lambda: self.handler.handle(http))

    def outcome(self, call):
        """Return the status of a response, or the kind of the refusal, in virtual time."""

        async def main():
            try:
                return (await call()).status
            except AlderhatchError as exc:
                return exc.failure.kind

        return trio.run(main, clock=MockClock(autojump_threshold=0))
