from __future__ import annotations

import socket
import time
from contextlib import suppress
from unittest.mock import patch

import trio
from behave import given, then, when
from trio.testing import MockClock

from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.outcome import Answered
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.shard_map import Server
from alderhatch.entry import connection_pool
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.entry.open_queue import MAX_OPENS, OpenQueue
from alderhatch.entry.server_connections import ServerConnections, Waiter
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from alderhatch.node.node import Node
from alderhatch.platform.configuration import decode_configuration
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.settings import parse_settings
from features.support.forward_model import ForwardModel, ModelServer, single_route
from features.support.odd_inputs import OddList
from features.support.platform_tier import ZONES, PlatformTier
from features.support.scripted_servers import SCENE_TIMEOUT_S
from features.support.tier import own_loopback_address, until

UPSTREAM = "kitchen"
ZONE = "zone-0"
WORK_MS = 30.0
SAFE = single_route(UPSTREAM)
UNSAFE = single_route(UPSTREAM, idempotent=False)
ROUTES = {"repeatable": SAFE, "unsafe": UNSAFE}
MODES = {
    "refuse connections": "absent",
    "never answer": "silent",
    "fail each request": "failing",
    "answer": "healthy",
}
REFUSED_AFTER_MS = 0.2


class NewServer(ModelServer):
    """A server that may be absent: its connections are refused."""

    answered_at = None
    shed = 0
    """How many requests it refused, as it was full."""

    def accept(self, now):
        if self.mode == "absent":
            self.arrivals += 1
            return now + REFUSED_AFTER_MS, AttemptFault.NOT_SENT
        end = super().accept(now)
        self.shed += end is not None and end[1] is AttemptFault.SHED
        if self.mode == "healthy" and end is not None and end[1] is None:
            self.answered_at = self.answered_at or end[0]
        return end


def add_servers(context, names, mode):
    model = context.model
    for name in names:
        server = model.servers[name] = NewServer(name, WORK_MS, model.rng, slots=4)
        server.mode = mode
        model.records.append(ServerRecord(name, UPSTREAM, "127.0.0.1", 80, ZONE, 4, False))
    table = model.tables[0]
    table.set_max_connections({UPSTREAM: 100})
    table.update(model.records, model.now)


def record_connections(context, names, is_open):
    for name in names:
        context.model.tables[0].record_connection(UPSTREAM, name, is_open, context.model.now)


@given("an upstream whose {count:d} servers have answered")
def step_proven(context, count):
    context.model = ForwardModel()
    context.proven = [f"proven-{number}" for number in range(count)]
    add_servers(context, context.proven, "healthy")
    table = context.model.tables[0]
    for target in table.upstream(UPSTREAM).targets.values():
        table.record_sent(target, -1, 0.0)
        table.record_answer(target, table.record_end(target, -1) + WORK_MS, None, 0.0)


@given("{count:d} new entries of it at addresses that {kind}")
def step_new(context, count, kind):
    context.new = [f"new-{number}" for number in range(count)]
    add_servers(context, context.new, MODES[kind])


@given("an upstream of which nothing has answered: 4 servers, and 300 that refused a connection")
def step_just_started(context):
    context.model = ForwardModel()
    add_servers(context, [f"sound-{number}" for number in range(4)], "healthy")
    context.new = [f"new-{number}" for number in range(300)]
    add_servers(context, context.new, "absent")
    record_connections(context, context.new, False)


@given("{count:d} of them refuse connections from now on")
def step_crash(context, count):
    context.new = context.proven[:count]
    for name in context.new:
        context.model.servers[name].mode = "absent"
    record_connections(context, context.new, False)


@when("{count:d} {kind} requests arrive within {seconds:d} s")
def step_arrive(context, count, kind, seconds):
    model = context.model
    span = 1000.0 * seconds
    numbers = [
        model.request(ROUTES[kind], model.now + span * index / count) for index in range(count)
    ]
    model.run_until(model.now + span + 9000.0)
    context.served = sum(isinstance(model.results[one][0], Answered) for one in numbers)


@then("at least {count:d} of them are served, and at most {most:d} were sent to the {which}")
def step_served(context, count, most, which):
    sent = sum(context.model.servers[name].arrivals for name in context.new)
    assert context.served >= count, context.served
    assert sent <= most, sent


@then("at least {count:d} of them are served, and each new server has answered within {span:d} s")
def step_new_used(context, count, span):
    assert context.served >= count, context.served
    answered = [context.model.servers[name].answered_at for name in context.new]
    assert all(at is not None and at <= 1000.0 * span for at in answered), answered


@then("a request looks at {count:d} servers")
def step_looks(context, count):
    candidates = context.model.tables[0].upstream(UPSTREAM).candidates()
    assert len(candidates) == count, len(candidates)


@then("no server was full while another one was free")
def step_none_full(context):
    shed = [server.shed for server in context.model.servers.values()]
    assert sum(shed) == 0, shed


@then("none of them was sent to a server that had refused a connection")
def step_none_refused(context):
    sent = [context.model.servers[name].arrivals for name in context.proven]
    assert sum(sent) == 0, sent


@when("each new server has failed twice")
def step_failed(context):
    table = context.model.tables[0]
    for name in context.new:
        target = table.upstream(UPSTREAM).targets[name]
        for _ in range(2):
            table.record_failure(target, AttemptFault.FAILED, None, context.model.now)


@then("all of them are avoided, and the proven ones aren't")
def step_avoided(context):
    targets = context.model.tables[0].upstream(UPSTREAM).targets
    avoided = {name for name, one in targets.items() if one.is_last_resort(context.model.now)}
    assert avoided == set(context.new), avoided


# Connections


@given("a host of the platform with a listed server")
def step_host(context):
    lines = [
        "node-name=host-0",
        "ip=127.0.0.1",
        f"zone={ZONE}",
        *(f"bind-addresses.{one}=127.0.0.1:1" for one in ("front", "directory", "readiness")),
        "bind-addresses.control=127.0.0.1:1",
        "internal-ports=1,2",
        "cloud-api.address=127.0.0.1:1",
    ]
    settings = parse_settings("\n".join(lines))
    context.node = Node(settings.node, PlatformDialect(), decode_configuration, None)


@when("its pool can't connect to that server")
def step_not_connected(context):
    async def main():
        state, pool = context.node.state, context.node._pool
        record = ServerRecord("i-0", UPSTREAM, "127.0.0.1", 80, ZONE, 4, False)
        state.apply_servers([record], [])
        (target,) = state.table.upstream(UPSTREAM).targets.values()
        context.seen = []
        for is_open in (False, True):
            pool.on_opened(UPSTREAM, "i-0", is_open)
            context.seen.append(target.is_last_resort(1000.0 * trio.current_time()))

    trio.run(main)


@then("the server is the host's last resort, until a connection to it is open")
def step_last_resort(context):
    assert context.seen == [True, False], context.seen


@given("a listed server that has refused three connections")
def step_refused(context):
    server = Server("i-0", "127.0.0.1", 80, ZONE, 2, 10)
    conns = context.conns = ServerConnections(UPSTREAM, server, 2, keeps_spare=False)
    for _ in range(3):
        conns.record_open_failure(HttpExchangeError("no", ExchangeFault.NOT_SENT, True), 0.0)


@then("none is opened ahead of requests for 800 ms more, and one for a request after 200 ms")
def step_paces(context):
    conns = context.conns
    assert not conns.should_open(799.0) and conns.should_open(801.0)
    conns.waiting.append(Waiter())
    assert not conns.should_open(199.0) and conns.should_open(201.0)


@given("a pool that may keep {most:d} unused connections, and {count:d} addresses that accept them")
def step_pool(context, most, count):
    context.most = most
    context.count = count


@when("it has opened as many as it opens ahead of requests")
def step_opened(context):
    async def main():
        with trio.fail_after(SCENE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await open_all(context, nursery)
                nursery.cancel_scope.cancel()

    with patch.object(connection_pool, "MAX_UNUSED_CONNECTIONS", context.most):
        trio.run(main)


async def open_all(context, nursery):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=4096)
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, lambda stream: trio.sleep_forever(), listeners)
    pool = ConnectionPool(default_share=2, spares=False)
    servers = [
        Server(f"i-{number}", "127.0.0.1", port, ZONE, 2, 10) for number in range(context.count)
    ]
    await nursery.start(pool.run)
    pool.update_servers(UPSTREAM, servers, ())
    while pool.connection_count < context.most:
        await trio.sleep(0.01)
    # Some sweeps later there are still no more.
    await trio.sleep(0.5)
    context.open_count = pool.connection_count
    unconnected = [one for one in pool.server_ids() if pool.idle_and_busy_counts(one) == (0, 0)]
    conn = await pool.acquire(unconnected[-1])
    context.got = conn.usable


@then("it has {count:d} connections, and a request still gets one to any of the addresses")
def step_bounded(context, count):
    assert context.open_count == count, context.open_count
    assert context.got


@given("a pool whose connections that nobody waits for are all being opened")
def step_queue(context):
    queue = context.queue = OpenQueue()
    for number in range(MAX_OPENS + 5):
        queue.add(f"i-{number}", False)
    while queue.take() is not None:
        queue.begin()


@when("a request waits for a connection to another server")
def step_awaited(context):
    context.queue.add("i-awaited", True)


@then("that one is opened at once")
def step_at_once(context):
    assert context.queue.take() == "i-awaited"


# Real hosts

SHARD = "shard-a"
REQUEST_GAP_S = 0.03


@given("a platform tier of 3 hosts whose servers have answered")
def step_real_tier(context):
    tier = context.tier = PlatformTier(context, diskless=0)
    tier.add_servers(SHARD)
    tier.add_servers("kitchen", 3)
    tier.start()
    tier.put(tier.configuration([SHARD]))
    for index in range(3):
        until(lambda index=index: tier.is_ready(index), "the host is ready")
    assert all(one == 200 for one in ask_all(tier, "first", 60))


def ask_all(tier, name, count):
    """Send requests of both routes to each host in turn; return their statuses up to a failure."""
    statuses = []
    for number in range(count):
        index = number % 3
        if number % 2:
            answer = tier.ask(index, "/orders/1", f"{name}-{number}", "POST", b"x")
        else:
            answer = tier.ask(index, "/paths/1", f"{name}-{number}")
        statuses.append(answer.status if answer is not None else None)
        if statuses[-1] != 200:
            break
        time.sleep(REQUEST_GAP_S)
    return statuses


@when("its list also names {count:d} entries at {where}, and 120 requests arrive")
def step_real_entries(context, count, where):
    tier = context.tier
    context.tier.other_entries = OddList(
        tuple(
            {
                "instance-id": f"i-new-{number}",
                "service": (SHARD, "kitchen")[number % 2],
                "address": false_address(context, where, number),
                "zone": ZONES[number % 3],
                "version": "v1",
                "max-concurrency": 4,
                "state": "ready",
                "warmup-left-ms": 0,
            }
            for number in range(count)
        )
    )
    context.statuses = ask_all(tier, "then", 120)


def false_address(context, where, number):
    tier = context.tier
    match where:
        case "addresses that refuse connections":
            return f"127.251.{number // 200}.{1 + number % 200}:9"
        case "an address that accepts them, silent":
            if number == 0:
                context.silent = socket.create_server((own_loopback_address(), 0), backlog=2000)
                context.add_cleanup(context.silent.close)
            return "{}:{}".format(*context.silent.getsockname())
        case "the hosts' own ports for callers":
            return f"{tier.addresses[number % 3]}:{tier.ports[0]}"
        case "the port of the list":
            return f"{tier.list_address}:{tier.list_port}"
    raise AssertionError(where)


@then("each of them is answered in full")
def step_all_answered(context):
    assert context.statuses == [200] * 120, context.statuses


# Addresses that refuse connections


@given("a pool that keeps connections to {count:d} listed addresses that refuse them")
def step_refusing(context, count):
    context.servers = [
        Server(f"i-{number}", "10.9.0.1", 80, ZONE, 2, 10) for number in range(count)
    ]
    context.opened_at = {server.server_id: [] for server in context.servers}
    context.accepting_from = {}


def run_pool(context, seconds, ended=lambda pool: False, requested=None):
    """Run a pool in virtual time, until its time is over or it has ended.

    Requests try to get a connection to the server ``requested`` meanwhile.
    """

    async def connect(pool, server):
        now = 1000.0 * trio.current_time()
        context.opened_at[server.server_id].append(now)
        await trio.sleep(0.001)
        if now < context.accepting_from.get(server.server_id, float("inf")):
            raise HttpExchangeError("refused", ExchangeFault.NOT_SENT, True)
        return AcceptedConnection()

    async def main():
        async with trio.open_nursery() as nursery:
            pool = ConnectionPool(2, spares=False)
            await nursery.start(pool.run)
            pool.update_servers(UPSTREAM, context.servers, ())
            with trio.move_on_after(seconds):
                while not ended(pool):
                    await trio.sleep(0.1)
                    with suppress(HttpExchangeError):
                        if requested is not None:
                            await pool.acquire(requested)
            context.is_ended = ended(pool)
            context.pool = pool
            nursery.cancel_scope.cancel()

    with patch.object(ConnectionPool, "_connect", connect):
        trio.run(main, clock=MockClock(autojump_threshold=0))


class AcceptedConnection:
    """An open connection on which nothing is sent."""

    alive = usable = True
    used = closed_by_peer = False
    opened_at = last_progress_at = 0.0

    def close(self, fault=None):
        self.alive = False


@when("{seconds:d} s pass, in which requests try to get a connection to one of them")
def step_seconds(context, seconds):
    context.seconds = seconds
    run_pool(context, seconds, requested=context.servers[0].server_id)


@then("the pool looks at each of them at one time only")
def step_one_time(context):
    assert len(context.pool._retries) <= len(context.servers), len(context.pool._retries)


@then("each was tried, and not more than {rate:d} connections a second were tried again")
def step_rate(context, rate):
    counts = [len(times) for times in context.opened_at.values()]
    assert min(counts) >= 1
    assert sum(counts) - len(counts) <= rate * context.seconds, sum(counts)


@when("one of them accepts connections from {seconds:d} s on")
def step_accepting(context, seconds):
    context.late = context.servers[len(context.servers) // 2].server_id
    context.accepting_from[context.late] = 1000.0 * seconds
    context.after = seconds


@then("the pool has a connection to it within {seconds:d} s more")
def step_connected(context, seconds):
    run_pool(
        context,
        context.after + seconds,
        lambda pool: pool.idle_and_busy_counts(context.late)[0] > 0,
    )
    assert context.is_ended, context.opened_at[context.late]
