from __future__ import annotations

import time
from functools import partial

import orjson
from behave import given, then, when

from features.support.platform_tier import HOST, PlatformTier, call
from features.support.tier import until

RATE = 5.0
BURST = 10.0
MARGIN = 4.0
WINDOW_S = 5.0
SERVED_FIRST = 3
"""Requests that are served before the others are sent: the owner is known then."""
REQUESTS = 150
SHARDS = ["finch", "heron"]


@given(
    "a platform tier whose settings allow a margin of {margin:g}, with a quota of {rate:g} requests"
    " per second and a burst of {burst:g}"
)
def step_tier(context, margin, rate, burst):
    assert (margin, rate, burst) == (MARGIN, RATE, BURST)
    tier = context.tier = PlatformTier(context)
    tier.more_settings = [f"bounds.quota-margin={margin:g}", f"bounds.quota-window-s={WINDOW_S:g}"]
    for upstream in (*SHARDS, "kitchen"):
        tier.add_servers(upstream)
    tier.start()
    document = orjson.loads(tier.configuration(SHARDS)) | {
        "tenants": [
            {"name": "acme", "api-keys": ["acme-key"], "rate-per-s": rate, "burst-size": burst},
            {"name": "free", "api-keys": ["free-key"]},
        ]
    }
    tier.put(orjson.dumps(document))
    for index in range(len(tier.addresses)):
        until(partial(tier.is_ready, index), f"node {index} is ready")
    context.number = 0
    context.served_ids = set()


def ask(context, index, key="acme-key"):
    tier = context.tier
    context.number += 1
    headers = {
        "Host": HOST,
        "Attempt-Id": f"request-{context.number}",
        "Time-Budget-Ms": "8000",
        "Api-Key": key,
    }
    answer = call(tier.addresses[index], tier.ports[0], "GET", "/paths/7", None, headers)
    if answer.status == 200:
        context.served_ids.add(headers["Attempt-Id"])
    return answer


@when("callers of the organisation ask at all hosts, more often than the quota allows")
def step_ask(context):
    tier = context.tier
    hosts = len(tier.addresses)
    begin = time.monotonic()
    context.answers = []

    def some_served():
        context.answers += [ask(context, index) for index in range(hosts)]
        return sum(one.status == 200 for one in context.answers) >= SERVED_FIRST

    until(some_served, "the owner grants tokens")
    context.answers += [ask(context, number % hosts) for number in range(REQUESTS)]
    context.elapsed = time.monotonic() - begin


@then("no more were served than the quota and the margin allow")
def step_bound(context):
    served = sum(one.status == 200 for one in context.answers)
    windows = 1 + context.elapsed // WINDOW_S
    allowed = RATE * context.elapsed + BURST + MARGIN * windows
    assert SERVED_FIRST <= served <= allowed, (served, allowed)


@then("the others were refused with 429, each with a time to return, and servers never saw them")
def step_refused(context):
    refused = [one for one in context.answers if one.status != 200]
    assert refused
    assert {one.status for one in refused} == {429}, {one.status for one in refused}
    assert all(float(one.headers["retry-after"]) > 0.0 for one in refused)
    tier = context.tier
    seen = {request for server in tier.servers.values() for request in server.runs}
    assert seen == context.served_ids, seen ^ context.served_ids


@then("callers of an organisation without a quota are served")
def step_free(context):
    for index in range(len(context.tier.addresses)):
        assert ask(context, index, "free-key").status == 200
