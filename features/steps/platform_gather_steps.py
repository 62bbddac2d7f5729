from __future__ import annotations

import signal

from behave import given, then, when

from features.steps.platform_node_steps import fresh_id, step_ready
from features.support.platform_tier import PlatformTier
from features.support.tier import until

SHARDS = [f"part-{number:02}" for number in range(50)]


@given("a platform tier that serves 50 shards")
def step_tier(context):
    tier = context.platform = PlatformTier(context)
    tier.policy = "split_parts=40"
    for name in SHARDS:
        tier.add_servers(name)
    tier.add_servers("kitchen", 3)
    tier.start()
    context.document = tier.configuration(SHARDS)
    tier.put(context.document)
    step_ready(context)
    until(lambda: is_complete(tier.ask(0, "/paths/1", fresh_id())), "a complete answer")


def is_complete(answer):
    return answer is not None and answer.status == 200 and answer.headers["missing-parts"] == "0"


def check_complete(answer, request_id):
    """Check that an answer is complete and has the greatest records of all shards."""
    assert is_complete(answer), answer
    candidates = [f"{name:>12}{number:04}" for name in SHARDS[-2:] for number in range(3)]
    assert answer.body == "".join(sorted(candidates, reverse=True)[:4]).encode(), answer.body
    seals = answer.headers["part-seals"].split(", ")
    assert len(set(seals)) == len(SHARDS), seals
    assert all(seal.endswith(request_id) for seal in seals), seals


@then("a query at each host gets the greatest records of all 50 shards with their seals")
def step_query(context):
    tier = context.platform
    context.request_ids = []
    for index in tier.running():
        request_id = fresh_id()
        check_complete(tier.ask(index, "/paths/7", request_id), request_id)
        context.request_ids.append(request_id)


@then("each server was queried at most once for it")
def step_once(context):
    for request_id in context.request_ids:
        assert all(one.runs.count(request_id) <= 1 for one in context.platform.servers.values())


def sends_of(tier, index):
    """Return how many requests a host has sent to servers, according to its metrics."""
    lines = tier.metrics(index).splitlines()
    send_lines = [line for line in lines if line.startswith("alderhatch_node_sends_total")]
    return sum(float(line.rpartition(" ")[2]) for line in send_lines)


@then("more than one host queried the servers")
def step_more_than_one(context):
    tier = context.platform
    before = {index: sends_of(tier, index) for index in tier.running()}
    request_id = fresh_id()
    check_complete(tier.ask(0, "/paths/7", request_id), request_id)

    def hosts_with_sends():
        return [index for index in before if sends_of(tier, index) > before[index]]

    until(lambda: len(hosts_with_sends()) > 1, "several hosts have sent requests")
    assert sum(sends_of(tier, index) - before[index] for index in before) >= len(SHARDS)


@when("a host is suspended, and then killed, while another host receives queries")
def step_suspend_and_kill(context):
    tier = context.platform
    context.answers = []

    def send_queries(times):
        for _ in range(times):
            request_id = fresh_id()
            context.answers.append((tier.ask(0, "/paths/7", request_id), request_id))

    send_queries(4)
    tier.processes[1].send_signal(signal.SIGSTOP)
    send_queries(6)
    tier.kill(1)
    send_queries(6)


@then("every query was answered completely, or omitted parts only while the host was suspended")
def step_answered(context):
    for answer, request_id in context.answers:
        assert answer is not None and answer.status == 200, answer
        if is_complete(answer):
            check_complete(answer, request_id)
    for answer, _ in (*context.answers[:4], context.answers[-1]):
        assert is_complete(answer), (answer.status, answer.headers)
