from __future__ import annotations

from collections import Counter

from behave import given, then, when

from alderhatch.core.forwarding.caller_hosts import HostRecord, choose_caller_hosts
from alderhatch.core.forwarding.host_demand import HostDemand

REPORT_EVERY = 500.0


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


@when("the first strong host leaves")
def step_leave(context):
    context.hosts[0] = context.hosts[0]._replace(serving=False)


@when("servers accept {connections:d} connections and {needed:d} cores are needed")
def step_choose(context, connections, needed):
    context.chosen = choose_caller_hosts(context.hosts, connections, float(needed))


@then("callers are sent to {strong:d} strong and {weak:d} weak hosts")
def step_chosen(context, strong, weak):
    kinds = Counter(host.name.partition("-")[0] for host in context.chosen)
    assert kinds["strong"] == strong, kinds
    assert kinds["weak"] == weak, kinds


@then("no availability zone has over one strong host more than another")
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
    for _ in range(int(seconds * 1000 / REPORT_EVERY)):
        context.now += REPORT_EVERY
        context.demand.count(int(rate * REPORT_EVERY / 1000), context.now)


@then("{cores:d} cores are needed")
@then("{cores:d} core is needed")
def step_needed(context, cores):
    needed = context.demand.processor_needed()
    assert needed == cores, needed
