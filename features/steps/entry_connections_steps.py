from __future__ import annotations

import trio
from behave import given, then, when

from alderhatch.core.entry_events import LeaseChanged
from alderhatch.core.shard_map import Server
from alderhatch.entry.server_connections import ServerConnections
from alderhatch.http.exchange import ExchangeFault, HttpExchangeError
from features.entry_world import world


@given(
    "an upstream for the entry of {shards:d} shards with {servers:d} servers that take"
    " {connections:d} connections each"
)
def step_upstream_limit(context, shards, servers, connections):
    here = world(context)
    here.shape = {"connections": connections}
    here.call(here.start_upstream, shards, servers)


@given("the upstream's new connections cost {duration_ms:d} ms")
def step_connect_cost(context, duration_ms):
    upstream = world(context).upstream
    upstream.shape = upstream.shape._replace(connect_ms=duration_ms)


@given("{count:d} entries run")
def step_entries(context, count):
    here = world(context)
    for _ in range(count):
        here.call(here.start_entry)


@given("queries are sent to the entries without a pause")
def step_entries_load(context):
    here = world(context)
    here.call(here.start_load, 6)


@when("entry {number:d} is replaced by another entry {count:d} times")
def step_replace(context, number, count):
    here = world(context)

    async def replace():
        for _ in range(count):
            wanted = here.load_counts["right"] + 30
            await here.until(lambda wanted=wanted: here.load_counts["right"] >= wanted)
            await here.replace_entry(number - 1)
        wanted = here.load_counts["right"] + 30
        await here.until(lambda: here.load_counts["right"] >= wanted)

    here.call(replace)


@then("no answer of an entry was wrong")
def step_none_wrong(context):
    counts = world(context).load_counts
    assert counts["wrong"] == [], counts
    assert counts["right"] > 0


@then("no server of the upstream had a connection too many")
def step_limit_kept(context):
    for server in world(context).upstream.servers:
        assert server.counts.over_limit == 0, (server.server_id, server.counts.over_limit)
        assert server.counts.most_connections <= server.upstream.shape.connections


@then("each server of the upstream had at least {count:d} connections at a time")
def step_had(context, count):
    for server in world(context).upstream.servers:
        assert server.counts.most_connections >= count, server.counts.most_connections


@given("the entry may hold {count:d} connections to each server")
def step_share(context, count):
    world(context).settings["connections_per_server"] = count


@when("a lease gives the entry {count:d} connection to each server")
def step_lease(context, count):
    _give_lease(world(context), count)


def _give_lease(here, count):
    async def give():
        shares = {server.server_id: count for server in here.upstream.servers}
        until = trio.current_time() * 1000 + 60_000
        here.entries[0].feed(LeaseChanged(until, shares, frozenset()))

    here.call(give)


@then("soon each server of the upstream has {count:d} connection")
@then("soon each server of the upstream has {count:d} connections")
def step_has(context, count):
    here = world(context)
    servers = here.upstream.servers
    here.call(here.until, lambda: all(item.counts.connections == count for item in servers))


@then("the entry is asked {count:d} times")
def step_ask_again(context, count):
    here = world(context)
    context.entry_replies = [here.call(here.query) for _ in range(count)]


@given("the entry sends no health probes")
def step_no_probes(context):
    world(context).settings |= {"health_poll_ms": 60_000, "map_poll_ms": 60_000}


@given("the entry has a spare connection to each server of the upstream")
def step_spare(context):
    here = world(context)
    pool = here.entries[0].pool
    servers = [server.server_id for server in here.upstream.servers]
    here.call(here.until, lambda: all(pool.idle_and_busy_counts(item)[0] for item in servers))


@then("the entry opened at most {count:d} connections")
def step_opened(context, count):
    assert world(context).entries[0].pool.opened_count <= count, (
        world(context).entries[0].pool.opened_count
    )


@given("the entry's rule allows {count:d} retries")
def step_retries(context, count):
    world(context).rule["retries"] = count


@when("each server of the upstream closes its open connections")
def step_close_idle(context):
    here = world(context)

    async def close():
        for server in here.upstream.servers:
            server.close_open_connections()
        await trio.sleep(0.05)

    here.call(close)


class FakeConnection:
    """A fake open connection for tests that only count connections."""

    alive = True
    usable = True
    used = True
    closed_by_peer = False
    opened_at = 0.0
    last_progress_at = 0.0

    def close(self, fault=None):
        self.usable = False


@when('the connection events "{events}" occur for a server with a share of {share:d}')
def step_events(context, share, events):
    server = Server("n1", "127.0.0.1", 1, "austin-hall", 2, 30)
    conns = ServerConnections("navigator", server, share)
    now = 0.0
    max_counted = 0
    acquired = []
    for event in events.split():
        match event:
            case "start":
                conns.opening = True
            case "open":
                if not conns.should_open(now):
                    conns.share += 1
                conns.opening = False
                conns.put(FakeConnection(), now)
            case "fail":
                conns.opening = False
                conns.record_open_failure(HttpExchangeError("refused", ExchangeFault.NOT_SENT), now)
            case "take":
                acquired.append(conns.acquire_idle(now))
            case "back":
                conns.put(acquired.pop(), now)
            case "break":
                conns.drop(acquired.pop(), now)
            case "lose" | "refuse":
                conn = acquired.pop()
                conn.closed_by_peer = True
                conn.used = event == "lose"
                conns.drop(conn, now)
            case "wait":
                now += 1000
            case "trim":
                conns.share = share
                conns.trim_to_share(now)
                now += 1000
        max_counted = max(
            max_counted, conns.counted_connections(now) if conns.share == share else 0
        )
    context.pool_counts = (conns, now, max_counted)


@then("{held:d} connections are counted at the end and never more than {share:d}")
def step_held(context, held, share):
    conns, now, max_counted = context.pool_counts
    assert conns.counted_connections(now) == held, conns.counted_connections(now)
    assert max_counted <= share, max_counted


@then("a further connection is {further}")
def step_further(context, further):
    conns, now, _ = context.pool_counts
    assert conns.should_open(now) == (further == "wanted")


@given("the entry's rule allows no hedges")
def step_no_hedges(context):
    # The losing attempt of a hedge is cancelled by closing its connection; a new one is then
    # opened.
    world(context).rule["hedge"] = 0


@given("{count:d} idle connections to a server")
def step_idle_connections(context, count):
    server = Server("n1", "127.0.0.1", 1, "austin-hall", 2, 30)
    context.connections = ServerConnections("navigator", server, count)
    context.connections.idle.extend(FakeConnection() for _ in range(count))


@when("each probe takes the connection that was idle for longest")
def step_probe_oldest(context):
    conns = context.connections
    context.idle_order = list(conns.idle)
    context.probed = []
    for now in range(len(conns.idle)):
        conn = conns.acquire_oldest_idle(float(now))
        context.probed.append(conn)
        conns.put(conn, float(now))


@then("the connections were probed in the order in which they became idle")
def step_probed(context):
    assert context.probed == context.idle_order
