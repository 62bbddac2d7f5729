from __future__ import annotations

import signal

from behave import given, then, when

from features.steps.platform_node_steps import fresh_id, step_ready
from features.support.platform_tier import PlatformTier
from features.support.tier import until

MANY = [f"part-{number:02}" for number in range(50)]


@given("a platform tier that serves 50 shards")
def step_tier(context):
    tier = context.platform = PlatformTier(context)
    tier.policy = "split_parts=40"
    for name in MANY:
        tier.add_servers(name)
    tier.add_servers("kitchen", 3)
    tier.start()
    context.document = tier.configuration(MANY)
    tier.put(context.document)
    step_ready(context)
    until(lambda: whole(tier.ask(0, "/paths/1", fresh_id())), "a whole answer")


def whole(answer):
    return answer is not None and answer.status == 200 and answer.headers["missing-parts"] == "0"


def check(answer, request_id):
    """Check that an answer is whole and holds the greatest records of all shards."""
    assert whole(answer), answer
    last = [f"{name:>12}{number:04}" for name in MANY[-2:] for number in range(3)]
    assert answer.body == "".join(sorted(last, reverse=True)[:4]).encode(), answer.body
    seals = answer.headers["part-seals"].split(", ")
    assert len(set(seals)) == len(MANY), seals
    assert all(seal.endswith(request_id) for seal in seals), seals


@then("a query at each host gets the greatest records of all 50 shards with their seals")
def step_query(context):
    tier = context.platform
    context.request_ids = []
    for index in tier.running():
        request_id = fresh_id()
        check(tier.ask(index, "/paths/7", request_id), request_id)
        context.request_ids.append(request_id)


@then("each server was asked no more than once for it")
def step_once(context):
    for request_id in context.request_ids:
        assert all(one.runs.count(request_id) <= 1 for one in context.platform.servers.values())


def sends_of(tier, index):
    """Return how many requests a host has sent to servers, by its metrics."""
    lines = tier.metrics(index).splitlines()
    found = [line for line in lines if line.startswith("alderhatch_node_sends_total")]
    return sum(float(line.rpartition(" ")[2]) for line in found)


@then("more than one host asked the servers")
def step_more_than_one(context):
    tier = context.platform
    before = {index: sends_of(tier, index) for index in tier.running()}
    request_id = fresh_id()
    check(tier.ask(0, "/paths/7", request_id), request_id)

    def grown():
        return [index for index in before if sends_of(tier, index) > before[index]]

    until(lambda: len(grown()) > 1, "several hosts have asked")
    assert sum(sends_of(tier, index) - before[index] for index in before) >= len(MANY)


@when("a host is stopped in its tracks, and then killed, while queries come in at another one")
def step_lost(context):
    tier = context.platform
    context.answers = []

    def ask(times):
        for _ in range(times):
            request_id = fresh_id()
            context.answers.append((tier.ask(0, "/paths/7", request_id), request_id))

    ask(4)
    tier.processes[1].send_signal(signal.SIGSTOP)
    ask(6)
    tier.kill(1)
    ask(6)


@then("every query was answered whole, or left out parts only while the host stood still")
def step_answered(context):
    for answer, request_id in context.answers:
        assert answer is not None and answer.status == 200, answer
        if whole(answer):
            check(answer, request_id)
    for answer, _ in (*context.answers[:4], context.answers[-1]):
        assert whole(answer), (answer.status, answer.headers)
