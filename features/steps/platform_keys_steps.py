from __future__ import annotations

import signal
import time

from behave import given, then, when

from features.steps.platform_node_steps import (
    SHARDS,
    fresh_id,
    in_background,
    runs_of,
    wait_for_leader,
)
from features.support.platform_tier import PlatformTier
from features.support.tier import until

WAITING_REQUESTS = 4
"""How many requests with each key wait in the sockets of a frozen host."""


@given("a platform tier of 3 hosts whose keys are revoked within {bound:d} ms")
def step_tier(context, bound):
    tier = context.platform = PlatformTier(context, disks=3, diskless=0)
    context.bound = bound
    tier.extra_settings = ["bounds.strict-revocation=true", f"bounds.revoke-ms={bound}"]
    for name in SHARDS:
        tier.add_servers(name)
    tier.add_servers("kitchen", 3)
    tier.start()
    configure(tier, {"north": "key-north", "south": "key-south"})
    wait_until_served(tier, "key-north")


def configure(tier, keys):
    """Send a configuration whose organisations hold one key each, or none."""
    organisations = [{"name": name, "api-keys": [key] if key else []} for name, key in keys.items()]
    tier.put(tier.configuration(SHARDS, organisations=organisations))


def status_with(tier, index, key, path="/paths/7"):
    answer = tier.ask(index, path, fresh_id(), api_key=key)
    return answer.status if answer is not None else None


def wait_until_served(tier, key):
    for index in tier.running():
        until(
            lambda index=index: status_with(tier, index, key) == 200,
            f"node {index} serves {key}",
        )


@when('{which} is frozen, and the key of "north" is taken away')
def step_freeze(context, which):
    tier = context.platform
    leader = wait_for_leader(tier)
    others = [index for index in tier.running() if index != leader]
    context.frozen = leader if which == "the leading host" else others[0]
    frozen_process = tier.processes.pop(context.frozen)
    context.frozen_process = frozen_process
    frozen_process.send_signal(signal.SIGSTOP)
    # Operators reach only the other hosts, which first elect another leader if need be.
    configure(tier, {"north": "", "south": "key-south"})


@when("the bound passes, and requests with both keys arrive at the frozen host")
def step_requests_wait(context):
    tier = context.platform
    time.sleep(context.bound / 1000)
    context.waiting = {"key-north": [], "key-south": []}
    for key, waiting in context.waiting.items():
        for _ in range(WAITING_REQUESTS):
            number = fresh_id()
            thread, answers = in_background(
                lambda number=number, key=key: tier.ask(
                    context.frozen, "/orders/7", number, "POST", b"towels", 30.0, api_key=key
                )
            )
            waiting.append((number, thread, answers))
    # The kernel accepts the connections and their bytes for the frozen process.
    time.sleep(0.2)


@when("the frozen host wakes")
def step_wake(context):
    tier = context.platform
    context.frozen_process.send_signal(signal.SIGCONT)
    tier.processes[context.frozen] = context.frozen_process
    for waiting in context.waiting.values():
        for _, thread, _ in waiting:
            thread.join()


@then("none of the waiting requests with the key that was taken away has run")
def step_none_ran(context):
    tier = context.platform
    for number, _, answers in context.waiting["key-north"]:
        assert answers[0] is not None and answers[0].status in (401, 503), answers
        assert runs_of(tier, number) == 0
    for number, _, answers in context.waiting["key-south"]:
        assert answers[0] is not None and answers[0].status in (200, 503), answers
        assert runs_of(tier, number) == (answers[0].status == 200)


@then("each host refuses that key with 401, and serves the other one")
def step_refused_everywhere(context):
    tier = context.platform
    wait_until_served(tier, "key-south")
    for index in tier.running():
        assert status_with(tier, index, "key-north") == 401


@then("the frozen host has logged that it lost and regained its lease")
def step_logged(context):
    text = context.platform.log_text(context.frozen)
    assert text.count("configuration_lease_lost") == 1, text[-2000:]
    assert text.count("configuration_lease_gained") == 2, text[-2000:]
    assert "key-" not in text


@then('it refuses the key of "north" as not run, with a Retry-After')
def step_refused_without_leader(context):
    tier = context.platform
    until(lambda: status_with(tier, 0, "key-north") is not None, "node 0 answers")
    number = fresh_id()
    answer = tier.ask(0, "/orders/7", number, "POST", b"towels", api_key="key-north")
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0, answer
    assert runs_of(tier, number) == 0


@then("it serves a public route")
def step_public(context):
    answer = context.platform.ask(0, "/open/7", fresh_id(), "POST", b"towels")
    assert answer.status == 200, answer


@when("all hosts with keys are killed and start again")
def step_restart(context):
    tier = context.platform
    tier.first_start = False
    tier.kill(*tier.running())
    tier.start()


@then('each host serves the key of "north" again')
def step_served_again(context):
    wait_until_served(context.platform, "key-north")
