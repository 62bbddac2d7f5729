from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.forwarding.caller_hosts import HostRecord, choose_caller_hosts
from alderhatch.core.forwarding.host_demand import HostDemand
from alderhatch.core.forwarding.retry_budget import BudgetLimits
from alderhatch.core.forwarding.route_table import RouteTable
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.node.node_state import NodeState
from alderhatch.node.tier_messages import TierView
from alderhatch.platform.settings import POLICY
from features.support.forward_model import scatter_route

REPORT_INTERVAL_MS = 500.0
BUDGET_LIMITS = BudgetLimits(0.2, 60.0, 10_000.0)
UPSTREAM = "shard-a"


def hosts_of(kind, count, cores, zones):
    return [
        HostRecord(f"{kind}-{index}", f"zone-{index % zones}", f"{kind}-{index}:1", True, cores)
        for index in range(count)
    ]


@given(
    "{strong:d} hosts with {cores:f} cores and {weak:d} with {fewer:f} cores in {zones:d}"
    " availability zones"
)
def step_hosts(context, strong, cores, weak, fewer, zones):
    context.hosts = [
        *hosts_of("strong", strong, cores, zones),
        *hosts_of("weak", weak, fewer, zones),
    ]


@given("gathers over {shards:d} shards whose target latency is {target:g} ms")
def step_gathers(context, shards, target):
    names = [f"shard-{index}" for index in range(shards)]
    routes = RouteTable([scatter_route(names, target_latency=target)])
    context.gather_processor = routes.gather_processor


@when("the first strong host leaves")
def step_leave(context):
    context.hosts[0] = context.hosts[0]._replace(serving=False)


@when("servers accept {connections:d} connections and {needed:d} cores are needed")
def step_choose(context, connections, needed):
    gather_processor = getattr(context, "gather_processor", 0.0)
    context.chosen = choose_caller_hosts(
        context.hosts, connections, float(needed), gather_processor
    )


@then("callers are sent to {strong:d} strong and {weak:d} weak hosts")
def step_chosen(context, strong, weak):
    kinds = Counter(host.name.partition("-")[0] for host in context.chosen)
    assert kinds["strong"] == strong, kinds
    assert kinds["weak"] == weak, kinds


@then("the numbers of strong hosts in two availability zones differ by at most one")
def step_spread(context):
    zones = {host.zone for host in context.hosts}
    strong = Counter(host.zone for host in context.chosen if host.name.startswith("strong"))
    counts = [strong[zone] for zone in zones]
    assert max(counts, default=0) - min(counts, default=0) <= 1, strong


@given("hosts that send {rate:d} requests a second to servers for {seconds:d} seconds")
def step_first_demand(context, rate, seconds):
    context.demand = HostDemand()
    context.now = 0.0
    step_demand(context, rate, seconds)


@when("they send {rate:d} requests a second for {seconds:d} seconds")
def step_demand(context, rate, seconds):
    for _ in range(int(seconds * 1000 / REPORT_INTERVAL_MS)):
        context.now += REPORT_INTERVAL_MS
        context.demand.count(int(rate * REPORT_INTERVAL_MS / 1000), context.now)


@then("{cores:d} cores are needed")
@then("{cores:d} core is needed")
def step_needed(context, cores):
    needed = context.demand.processor_needed()
    assert needed == cores, needed


def view_of(count):
    return TierView(hosts_of("host", count, 1.0, 2), [], 1.0)


@given(
    "a node that knows {count:d} hosts of equal strength and servers that accept"
    " {max_connections:d} connections"
)
def step_node(context, count, max_connections):
    context.state = node_with_servers(context, "host-0", max_connections)
    context.state.apply_view(view_of(count))


def node_with_servers(context, name, max_connections):
    context.clock = ManualClock(1000.0)
    pool = ConnectionPool(0, spares=False)
    pool._clock = context.clock
    node = NodeState(name, "zone-0", None, pool, BUDGET_LIMITS, POLICY, context.clock, Random(1))
    node.table.set_max_connections({UPSTREAM: max_connections})
    server = ServerRecord("i-1", UPSTREAM, "127.0.0.1", 1, "zone-0", 2, False)
    node.table.update([server], 0.0)
    return node


@when("nothing changes for {seconds:d} seconds, and then one host is lost")
def step_lost(context, seconds):
    context.clock.advance(seconds * SECOND)
    context.state.apply_view(view_of(len(context.state.hosts) - 1))


@when("{seconds:d} seconds later the same view arrives again")
def step_later(context, seconds):
    context.clock.advance(seconds * SECOND)
    context.state.apply_view(view_of(len(context.state.hosts)))


@then("the node holds at most {count:d} connections to each server")
def step_share(context, count):
    shares = context.state.table.connection_shares()
    assert shares == {"i-1": count}, shares


CONNECTIONS_FOR_FOUR_HOSTS = 18
"""With so many connections, exactly four hosts are active."""


def view_by_name(names):
    hosts = [HostRecord(one, "zone-0", f"{one}:1", True, 1.0) for one in names.split()]
    return TierView(hosts, [], 1.0)


@given('a node "{name}" that knows {count:d} hosts "{names}" from its last leader')
def step_known_hosts(context, name, count, names):
    assert len(names.split()) == count
    context.state = node_with_servers(context, name, CONNECTIONS_FOR_FOUR_HOSTS)
    step_view(context, names)


@when('a leader reports the hosts "{names}"')
def step_view(context, names):
    context.state.apply_view(view_by_name(names))


@when('it has probed hosts {times:d} times, and only "{alive}" answered')
@when('it has probed hosts {times:d} times, and only "" answered')
def step_probed(context, times, alive=""):
    for _ in range(times):
        probed = [host.name for host in context.state.hosts_to_probe()]
        context.state.record_host_probes({name: name in alive.split() for name in probed})


@then('it advertises "{names}" to callers')
def step_advertises(context, names):
    advertised = [host.name for host in context.state.caller_hosts]
    assert advertised == names.split(), advertised
