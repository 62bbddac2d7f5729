"""What a forwarded request over all shards costs a node: processor time for each shard.

The node's own parts (route, choice of servers, connections, exchanges, checks, merge) answer one
request after the other against servers in another process that answer at once. The same requests
are answered without organisations, and with some thousand of them and a key, round by round in
turn.
"""

from __future__ import annotations

import cProfile
import pstats
import statistics
import sys
import time
from random import Random
from types import SimpleNamespace
from typing import cast

import orjson
import trio

from alderhatch.clock import LoopClock
from alderhatch.codec import Codec
from alderhatch.core.control.configuration_register import pack_configuration
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.quota_bounds import QuotaBounds
from alderhatch.core.forwarding.quota_host import QuotaHost
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.http.messages import HeaderFields, HttpRequest
from alderhatch.node.caller_handler import CallerHandler
from alderhatch.node.forward_runner import ForwardRunner
from alderhatch.node.hand_over_client import HandOverClient
from alderhatch.node.hand_over_messages import HAND_OVER_MESSAGE_TYPES
from alderhatch.node.leader_confirmations import LeaderConfirmations
from alderhatch.node.node import Node
from alderhatch.node.node_metrics import NodeMetrics
from alderhatch.node.node_state import NodeState
from alderhatch.node.parts_collector import PartsCollector
from alderhatch.node.quota_client import QuotaClient
from alderhatch.node.quota_gate import QuotaGate
from alderhatch.node.quota_log import QuotaLog
from alderhatch.node.quota_messages import QUOTA_MESSAGE_TYPES
from alderhatch.node.request_log import RequestLog
from alderhatch.node.service_turns import ServiceTurns
from alderhatch.node.split_gather import SplitGathers
from alderhatch.node.tier_messages import TierView
from alderhatch.platform.configuration import decode_configuration
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.settings import POLICY

from ._processes import read_line, started

SHARDS = 90
ROUNDS = 15
QUERIES = 60
"""In each round; one after the other."""
WARM_UP = 20
PATH = "/all/"
ORGANISATIONS = 3000
KEY = "key-1234-b"
MAX_RATIO = 1.03
"""The goal: what the processor time with organisations may be of that without."""


def _document(shards: list[str], organisations: int) -> bytes:
    route = {
        "name": "all",
        "host": "bench.example",
        "path-prefix": PATH,
        "route-type": "safe",
        "timeout-ms": 2000,
        "target-latency-ms": 1000,
        "priority": 1,
        "gather": shards,
        "max-attempts": 2,
        "top-k": 10,
        "min-coverage": 0.95,
    }
    service = {"health-path": "/health", "max-connections": 66, "protocol": "h1", "tls": False}
    limits = {
        "max-header-bytes": 16_384,
        "max-body-bytes": 262_144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    }
    services = [{"name": name} | service for name in shards]
    root = {"version": 1, "routes": [route], "services": services, "limits": limits}
    if organisations:
        root["tenants"] = [
            {"name": f"organisation-{index}", "api-keys": [f"key-{index}-a", f"key-{index}-b"]}
            for index in range(organisations)
        ]
    return orjson.dumps(root)


def _request(number: int, key: str | None) -> HttpRequest:
    fields = [
        (b"host", b"bench.example"),
        (b"attempt-id", b"%016x" % number),
        (b"time-budget-ms", b"2000"),
        (b"user-agent", b"bench"),
    ]
    if key is not None:
        fields.append((b"api-key", key.encode("ascii")))
    headers = {name.decode(): value.decode() for name, value in fields}
    target = f"{PATH}{number}"
    return HttpRequest("GET", target, {}, headers, b"", target, fields, True, 1.0)


class Side:
    """The parts of a node that answer callers, with servers on loopback.

    Args:
        ports: The ports of the servers, one for each shard.
        organisations: The number of organisations; 0 for a configuration without any.
    """

    def __init__(self, ports: list[int], organisations: int = 0) -> None:
        self._key = KEY if organisations else None
        clock = LoopClock()
        terms = BudgetLimits(0.2, 200.0, 10_000.0)
        self.pool = ConnectionPool(0, spares=False)
        self.state = NodeState(
            "node", "zone", decode_configuration, self.pool, terms, POLICY, clock, Random(1)
        )
        shards = [f"shard-{index}" for index in range(len(ports))]
        self.state.apply_configuration(pack_configuration(1, _document(shards, organisations)))
        self.records = [
            ServerRecord(f"i-{index}", shards[index], "127.0.0.1", port, "zone", 2, False)
            for index, port in enumerate(ports)
        ]
        dialect = PlatformDialect()
        self.runner = ForwardRunner(self.pool, self.state, dialect)
        log = RequestLog(self.state, lambda: 1)
        node = SimpleNamespace(cfg=SimpleNamespace(name="bench"), state=self.state)
        metrics = NodeMetrics(cast(Node, node))
        others = HandOverClient(self.state, Codec(*HAND_OVER_MESSAGE_TYPES), b"", Random(1))
        gathers = SplitGathers(self.state, PartsCollector(self.runner, dialect), others)
        quotas = QuotaHost("node", QuotaBounds(), self.state.organisation, Random(1))
        quota_gate = QuotaGate(
            self.state,
            quotas,
            QuotaClient(self.state, quotas.allowances, 1, Codec(*QUOTA_MESSAGE_TYPES), b""),
            LeaderConfirmations(self.state.lease, lambda: 0.0),
            QuotaLog(metrics),
        )
        self.turns = ServiceTurns(self.state, 1.0, metrics, Random(1))
        self.callers = CallerHandler(
            self.state,
            self.runner,
            dialect,
            metrics,
            log,
            others,
            gathers,
            1.0,
            quota_gate,
            self.turns,
        )

    async def ask(self, first: int, count: int) -> None:
        """Send requests one after the other.

        Raises:
            RuntimeError: If one is not answered whole.
        """
        for number in range(first, first + count):
            res = await self.callers.handle(_request(number, self._key))
            if res.status != 200 or (b"missing-parts", b"0") not in _lower(res.fields):
                raise RuntimeError(f"not a whole answer: {res!r}"[:300])


def _lower(fields: HeaderFields) -> HeaderFields:
    return [(name.lower(), value) for name, value in fields]


async def _start(side: Side, nursery: trio.Nursery) -> None:
    await nursery.start(side.pool.run)
    await nursery.start(side.runner.run)
    await nursery.start(side.turns.run)
    side.state.apply_view(TierView([HostRecord("node", "zone", "127.0.0.1:1", True, 1.0)], [], 0.0))
    side.state.apply_servers(side.records, ())
    while side.pool.connection_count < len(side.records):
        await trio.sleep(0.01)
    await side.ask(0, WARM_UP)


async def _cost(side: Side, first: int) -> float:
    """Return the processor time of a round, in microseconds for each shard request."""
    began = time.process_time()
    await side.ask(first, QUERIES)
    return (time.process_time() - began) / QUERIES / len(side.records) * 1e6


async def _measure(ports: list[int], profile: cProfile.Profile | None) -> None:
    plain, identified = Side(ports), Side(ports, ORGANISATIONS)
    async with trio.open_nursery() as nursery:
        await _start(plain, nursery)
        await _start(identified, nursery)
        costs: dict[Side, list[float]] = {plain: [], identified: []}
        for index in range(ROUNDS):
            if profile is not None:
                profile.enable()
            # Each side begins every second round, as the second one finds warmer caches.
            for side in (plain, identified) if index % 2 else (identified, plain):
                costs[side].append(await _cost(side, (index + 1) * 1000))
            if profile is not None:
                profile.disable()
            plain_cost, identified_cost = costs[plain][-1], costs[identified][-1]
            print(f"round {index + 1}: {plain_cost:.0f} us a shard request", end="")
            print(f", {identified_cost:.0f} with organisations", flush=True)
        median = statistics.median(costs[plain])
        # Of each round, as the processor's speed changes from one to the next.
        ratio = statistics.median(
            one / other for one, other in zip(costs[identified], costs[plain], strict=True)
        )
        print(f"median {median:.0f} us a shard request, {len(ports)} shards")
        print(f"with {ORGANISATIONS} organisations {ratio:.3f} of it; goal: at most {MAX_RATIO}")
        nursery.cancel_scope.cancel()


def main() -> None:
    """Measure and print; with ``--profile`` also where the time goes."""
    profile = cProfile.Profile() if "--profile" in sys.argv else None
    with started("bench._forward_servers", str(SHARDS)) as servers:
        ports = [int(one) for one in read_line(servers).split()]
        trio.run(_measure, ports, profile)
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(35)


if __name__ == "__main__":
    main()
