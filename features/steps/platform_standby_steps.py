from __future__ import annotations

import http.client
import itertools

from behave import given, then, when

from alderhatch.core.forwarding.caller_hosts import MIN_ADVERTISED_HOSTS
from features.steps import platform_node_steps as node_steps
from features.support.platform_tier import HOST, PlatformTier
from features.support.tier import until

STANDBY_FIELD = '"stands_by":true'
_numbers = itertools.count(1)


def fresh_id():
    """Return a request ID that no other steps module uses."""
    return f"b{next(_numbers):015x}"


@given(
    "a platform tier of {disks:d} hosts with a disk and {others:d} without, all of which are ready"
)
def step_large_tier(context, disks, others):
    tier = context.platform = PlatformTier(context, disks, others)
    for name in node_steps.SHARDS:
        tier.add_servers(name)
    tier.add_servers("kitchen", 3)
    tier.start()
    node_steps.step_configure(context)
    for index in tier.running():
        until(lambda index=index: tier.is_ready(index), f"node {index} is ready")


def standby_hosts(tier):
    """Return the hosts whose last ``standing_changed`` line says that they are standby hosts."""
    indexes = []
    for index in tier.running():
        lines = [line for line in tier.log_text(index).splitlines() if "standing_changed" in line]
        if lines and STANDBY_FIELD in lines[-1].replace(" ", ""):
            indexes.append(index)
    return indexes


@then("some of its hosts are standby hosts, without a server list")
def step_some_standby(context):
    tier = context.platform
    context.standby = until(lambda: standby_hosts(tier), "a standby host")
    assert len(context.standby) <= len(tier.running()) - MIN_ADVERTISED_HOSTS, context.standby


@then("a request for a path without a route gets 404 at each host")
def step_no_route(context):
    tier = context.platform
    for index in tier.running():
        assert tier.ask(index, "/nowhere/", fresh_id()).status == 404


@when("the caller of a slow order at a standby host leaves")
def step_caller_leaves(context):
    tier = context.platform
    kitchen = [one for one in tier.servers.values() if one.upstream == "kitchen"]
    for server in kitchen:
        server.delay = 60.0
    request_id = fresh_id()
    index = context.standby[0]
    conn = http.client.HTTPConnection(tier.addresses[index], tier.ports[0], timeout=10)
    headers = {"Host": HOST, "Attempt-Id": request_id, "Time-Budget-Ms": "60000"}
    conn.request("POST", "/orders/7", b"towels", headers)
    until(lambda: node_steps.runs_of(tier, request_id), "the order runs")
    conn.close()
    context.kitchen = kitchen


@then("the server's work for it is cancelled")
def step_work_cancelled(context):
    until(lambda: any(one.cancelled for one in context.kitchen), "the work is cancelled")
    for server in context.kitchen:
        server.delay = 0.0


def answers_query(tier, index, path):
    answer = tier.ask(index, path, fresh_id())
    return answer is not None and answer.status == 200


@then("each remaining host eventually answers a query")
def step_remaining_answer(context):
    tier = context.platform
    for index in tier.running():
        until(lambda index=index: answers_query(tier, index, "/paths/7"), f"node {index} answers")


@when("all hosts that callers are sent to are killed at once")
def step_kill_active(context):
    tier = context.platform
    until(lambda: standby_hosts(tier), "a standby host")
    addresses = node_steps.advertised_hosts(tier, tier.running()[-1])
    indexes = {f"{address}:{tier.ports[0]}": one for one, address in enumerate(tier.addresses)}
    context.killed = addresses
    tier.kill(*(indexes[address] for address in addresses))


@then("no remaining host advertises a killed one")
def step_killed_not_advertised(context):
    tier = context.platform
    for index in tier.running():
        until(
            lambda index=index: advertises_only_running(context, index),
            f"node {index} advertises only hosts that run",
        )


def advertises_only_running(context, index):
    advertised = node_steps.advertised_hosts(context.platform, index)
    return bool(advertised) and not advertised & context.killed
