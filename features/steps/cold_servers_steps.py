from __future__ import annotations

from random import Random

import cbor2
from behave import given, then, when

from alderhatch.clock import ManualClock
from alderhatch.codec import Codec
from alderhatch.core.control.configuration_register import (
    ConfigurationRegister,
    StoredConfiguration,
    TierDirectives,
    encode_configuration,
    encode_evacuation,
)
from alderhatch.core.control.evacuations import Evacuations
from alderhatch.core.entry_events import LoadReport
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.cold_start_limiter import ColdServerLimits
from alderhatch.core.forwarding.forward_run import MAX_SERVER_WAIT
from alderhatch.core.forwarding.route import UpstreamSettings
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.forwarding.shard_owners import ShardOwners
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.node.node_state import NodeState
from alderhatch.node.server_list import ServerListReader
from alderhatch.node.tier_messages import TIER_MESSAGE_TYPES, TierView
from alderhatch.node.tier_updates import HostMode, SentState, TierUpdates
from alderhatch.platform.settings import POLICY
from features.support.forward_model import BUDGET_LIMITS

UPSTREAM = "shard"
COLD_LIMITS = ColdServerLimits(1.5, 5.0)
SECOND = 1000.0
LATENCY_MS = 5.0


class ColdTier:
    """Hosts that send requests to the same three servers on a virtual clock."""

    def __init__(self, hosts, settings):
        self.now = 10_000.0
        self.rng = Random(3)
        self.records = [self.record(index, 0.0) for index in range(3)]
        self.names = [f"host-{index}" for index in range(hosts)]
        self.owners = {name: ShardOwners(name) for name in self.names}
        self.tables = {}
        for name in self.names:
            table = TargetTable("zone-0", BUDGET_LIMITS, POLICY, Random(name), COLD_LIMITS)
            table.set_host_share(1 / hosts, 1)
            table.set_upstreams([settings])
            table.update(self.records, self.now)
            self.tables[name] = table
        self.update_hosts(self.names, self.names)
        self.now += 5 * SECOND
        self.arrivals = {}
        self.sent_count = 0
        self.unserved = 0

    @staticmethod
    def record(index, warm_up, name="server"):
        server_id = f"{name}-{index}"
        return ServerRecord(
            server_id, UPSTREAM, "127.0.0.1", 80, f"zone-{index}", 2, False, warm_up
        )

    def update_hosts(self, who, hosts):
        records = [HostRecord(name, "zone-0", f"{name}:1", True, 1.0) for name in hosts]
        for name in who:
            if self.owners[name].set_hosts(records, self.now):
                self.tables[name].set_owners(self.owners[name])

    def update_list(self, warm_ups):
        self.records = [self.record(index, warm_up_ms) for index, warm_up_ms in enumerate(warm_ups)]
        for table in self.tables.values():
            table.update(self.records, self.now)

    def send_requests(self, rate_each, duration_ms, after_one_second=None):
        """Let each host send requests at a given rate; each answer takes ``LATENCY_MS``."""
        ends = []
        begin = self.now
        step = SECOND / rate_each / len(self.names)
        while self.now < begin + duration_ms:
            if after_one_second is not None and self.now >= begin + SECOND:
                after_one_second()
                after_one_second = None
            name = self.names[self.sent_count % len(self.names)]
            for end in [one for one in ends if one[0] <= self.now]:
                ends.remove(end)
                self._answer(*end[1:])
            self._send_request(name, ends)
            self.now += step
        for _, *end in ends:
            self._answer(*end)

    def _send_request(self, name, ends):
        table = self.tables[name]
        self.sent_count += 1
        target = table.choose(UPSTREAM, (), self.now)
        if target is None:
            assert table.count_usable(UPSTREAM, self.now) == 0
            self.unserved += 1
            return
        table.record_sent(target, self.sent_count, self.now)
        self.arrivals.setdefault(target.server_id, []).append(self.now + self.rng.random() * 100)
        ends.append((self.now + LATENCY_MS, table, target, self.sent_count))

    def _answer(self, table, target, attempt):
        sent_at = table.record_end(target, attempt)
        table.record_answer(target, self.now - sent_at, LoadReport(1, 0), self.now)

    def max_in_a_second(self, server_id):
        times = sorted(self.arrivals.get(server_id, []))
        return max((sum(at <= one < at + SECOND for one in times) for at in times), default=0)


@given("{hosts:d} hosts that know 3 servers of an upstream with cold rate {rate:d} per second")
def step_tier(context, hosts, rate):
    context.cold = ColdTier(hosts, UpstreamSettings(UPSTREAM, 600, 3 * SECOND, float(rate)))


@given("{hosts:d} hosts that know 3 servers of an upstream without a limit for cold servers")
def step_unbound(context, hosts):
    context.cold = ColdTier(hosts, UpstreamSettings(UPSTREAM, 600))


@when("one server becomes cold for 3 seconds while each host sends {rate_each:d} requests a second")
def step_one_cold(context, rate_each):
    context.rate_each = rate_each
    context.cold.update_list([3 * SECOND, 0.0, 0.0])
    context.cold.send_requests(rate_each, 2900.0)


@when("after 1 second the other hosts have lost its owner, which continues")
def step_owner_gone(context):
    tier = context.cold
    owner = tier.owners[tier.names[0]].owner(UPSTREAM)
    others = [name for name in tier.names if name != owner]
    tier.now += SECOND
    tier.update_list([2999.0, 0.0, 0.0])
    tier.send_requests(context.rate_each, 2900.0, lambda: tier.update_hosts(others, others))


@when("all servers become cold for 3 seconds while each host sends {rate_each:d} requests a second")
def step_all_cold(context, rate_each):
    context.cold.update_list([3 * SECOND] * 3)
    context.cold.send_requests(rate_each, 2900.0)


@then("it gets at most {most:d} requests in any second, and at least 1 in total")
@then("its server gets at most {most:d} requests in any second, and at least 1 in total")
def step_most(context, most):
    assert 1 <= context.cold.max_in_a_second("server-0") <= most, context.cold.arrivals


@then("each server gets at most {most:d} requests in any second")
def step_each_most(context, most):
    for index in range(3):
        assert 1 <= context.cold.max_in_a_second(f"server-{index}") <= most


@then("the other servers get the rest")
def step_rest(context):
    assert context.cold.unserved == 0


@then("requests that can't be served are refused as not run within {duration_ms:d} ms")
def step_refused(context, duration_ms):
    assert context.cold.unserved > 0
    assert duration_ms >= MAX_SERVER_WAIT


@then("every request is sent")
def step_all_sent(context):
    assert context.cold.unserved == 0


# Server list


class StubMember:
    """A member that does not lead, so that the reader passes nothing on."""

    leads = False


@given("a list reader that knows a server which started long ago")
def step_reader(context):
    context.clock = ManualClock(1000.0)
    pool = ConnectionPool(0, spares=False)
    state = NodeState(
        "a", "zone-0", None, pool, BUDGET_LIMITS, POLICY, context.clock, Random(1), COLD_LIMITS
    )
    context.reader = ServerListReader(None, state, StubMember(), Random(1))
    context.reader._clock = context.clock
    read(context, 0.0)


def read(context, warm_up):
    record = context.reader._with_stable_warm_up(ColdTier.record(0, warm_up))
    state = context.reader._state
    is_new = record != state.records.get(record.server_id)
    state.records[record.server_id] = record
    return is_new


@then("these readings are passed on as shown")
def step_readings(context):
    for row in context.table:
        context.clock.advance(float(row["after_ms"]))
        found = "yes" if read(context, float(row["warm_up_ms"])) else "no"
        assert found == row["passed_on"], row


# Evacuations


@when('zone "{zone}" is evacuated while each host sends {rate_each:d} requests a second')
def step_evacuate(context, zone, rate_each):
    tier = context.cold
    for table in tier.tables.values():
        table.set_evacuated([zone], tier.now)
    tier.send_requests(rate_each, 3 * SECOND)


@then("its server gets nothing")
def step_nothing(context):
    assert "server-0" not in context.cold.arrivals
    assert context.cold.unserved == 0


@when("the evacuation is cancelled and each host sends {rate_each:d} requests a second")
def step_evacuation_cancelled(context, rate_each):
    tier = context.cold
    for table in tier.tables.values():
        table.set_evacuated([], tier.now)
    tier.send_requests(rate_each, 4 * SECOND)


@when('zone "{zone}" is evacuated and then a new server appears there')
def step_new_server(context, zone):
    tier = context.cold
    for table in tier.tables.values():
        table.set_evacuated([zone], tier.now)
        table.update([*tier.records, tier.record(0, 0.0, "new")], tier.now)


@then("none of its servers is used")
def step_none_used(context):
    tier = context.cold
    for table in tier.tables.values():
        assert table.count_usable(UPSTREAM, tier.now) == 2
        for excluded in ((), ("server-1", "server-2")):
            chosen = table.choose(UPSTREAM, excluded, tier.now)
            assert chosen is None or chosen.zone != "zone-0"


# Evacuation orders in the log


@given("a configuration register with configuration 7")
def step_register(context):
    context.changes = 0

    def changed():
        context.changes += 1

    context.register = ConfigurationRegister(changed)
    context.register.apply(1, encode_configuration(StoredConfiguration(7, b"packed")))
    context.changes = 0


@when("these orders are applied: {orders}")
def step_orders(context, orders):
    for index, order in enumerate(orders.split(), 2):
        context.register.apply(index, encode_evacuation(order[1:], order[0] == "+"))


@then('the zones "{zones}" are evacuated after {changes:d} changes')
def step_zones(context, zones, changes):
    assert context.register.evacuations.zones == tuple(zones.split())
    assert context.changes == changes


@then('the zones "" are evacuated after {changes:d} changes')
def step_no_zones(context, changes):
    step_zones(context, "", changes)


@then("a register restored from its snapshot has the same state")
def step_restored(context):
    other = ConfigurationRegister(lambda: None)
    other.restore(context.register.snapshot())
    assert other.directives == context.register.directives


@given("a snapshot that holds configuration 7 alone")
def step_old_snapshot(context):
    context.snapshot = cbor2.dumps([7, b"packed"])


@then("a register restored from it has configuration 7 and no evacuated zone")
def step_from_old(context):
    register = ConfigurationRegister(lambda: None)
    register.restore(context.snapshot)
    assert register.directives == TierDirectives(StoredConfiguration(7, b"packed"), Evacuations())


# Updates to hosts


@given("a node with version 5 of the evacuations")
def step_node(context):
    clock = ManualClock(1000.0)
    pool = ConnectionPool(0, spares=False)
    context.state = NodeState("a", "zone-0", None, pool, BUDGET_LIMITS, POLICY, clock, Random(1))
    context.state.apply_evacuations(Evacuations(5, ("zone-0",)))


@then("versions 4 and 5 change nothing, and version 6 is adopted")
def step_versions(context):
    state = context.state
    for number, zones in ((4, ()), (5, ("zone-1",))):
        state.apply_evacuations(Evacuations(number, zones))
        assert state.evacuations == Evacuations(5, ("zone-0",))
    state.apply_evacuations(Evacuations(6, ()))
    assert state.evacuations == Evacuations(6, ())


@given("updates of a configuration, servers, hosts and an evacuated zone")
def step_updates(context):
    context.codec = Codec(*TIER_MESSAGE_TYPES)
    context.news = TierUpdates(context.codec.encode)
    context.news.set_servers({"server-0": ColdTier.record(0, 0.0)})
    context.news.set_view(TierView([], [], 0.0, 1))


@then("a host that has just joined receives the evacuated zone first, but for the quarantines")
def step_zone_first(context):
    orders = TierDirectives(StoredConfiguration(7, b"packed"), Evacuations(3, ("zone-0",)))
    news = context.news.updates_since(SentState(), orders, HostMode.SERVES)
    names = [type(context.codec.decode(one)).__name__ for one in news.messages]
    # What it may not send comes before what it may send it to.
    assert names[:2] == ["QuarantineNews", "EvacuationNews"] and len(names) == 5, names
    again = context.news.updates_since(news.told, orders, HostMode.SERVES)
    assert again.messages == []
