from __future__ import annotations

from behave import given, then, when

from features.support.endless_hosts import EndlessHosts

MAX_MEMORY_MB = 200
FAST_BUDGET_MS = 7000
SLOW_BUDGET_MS = 2500
"""Answers that come piece by piece reach no limit until then, so that they end at the deadline."""
LATE_MS = 500
"""How much later than the deadline an answer may reach its caller."""
GATHER_SERVERS = {"one server": 1, "both servers": 2}


@given("3 hosts before services whose servers answer without end")
def step_services(context):
    rows = [(row["kind"], row["pace"] == "at full speed") for row in context.table]
    context.expected = [int(row["answer"]) for row in context.table]
    context.hosts = EndlessHosts(context, rows)
    context.platform = context.hosts.tier
    context.hosts.start()


@when("each service is asked, beside requests to a sound service")
def step_ask(context):
    hosts = context.hosts
    context.budgets = [FAST_BUDGET_MS if is_fast else SLOW_BUDGET_MS for _, is_fast in hosts.kinds]

    def ask():
        context.alone = ask_each(hosts, "alone", context.budgets)
        context.pairs = ask_each(hosts, "pair", context.budgets)

    hosts.beside_sound_requests(ask)


def ask_each(hosts, prefix, budgets):
    """Ask for each service, which have one budget each."""
    return hosts.ask_all([f"/{prefix}-{index}/x" for index in range(len(budgets))], budgets)


@then("services without a sound server answer as listed, 502 before the deadline")
def step_alone(context):
    wrong = [
        (kind, expected, status, took)
        for kind, expected, budget, (status, took) in zip(
            context.hosts.kinds, context.expected, context.budgets, context.alone, strict=True
        )
        if status != expected or took > budget + LATE_MS or (expected == 502 and took >= budget)
    ]
    assert not wrong, wrong


@then("services with a sound server beside it answer with 200")
def step_pairs(context):
    wrong = [
        (kind, answer)
        for kind, answer in zip(context.hosts.kinds, context.pairs, strict=True)
        if answer[0] != 200
    ]
    assert not wrong, wrong


@then("all requests to the sound service were answered with 200")
def step_sound(context):
    sound = context.hosts.sound
    assert len(sound) >= 5, len(sound)
    wrong = [one for one in sound if one[0] != 200]
    assert not wrong, (wrong, len(sound))
    print(f"slowest sound request: {max(took for _, took in sound):.0f} ms of {len(sound)}")


@then("the hosts have closed all connections of the endless servers")
def step_closed(context):
    still_open, count = context.hosts.open_streams()
    assert count > 0
    assert still_open == 0, (still_open, count)


@then("no host needed more than 200 MB or logged a fault of a task")
def step_cost(context):
    peak = context.hosts.peak_memory_mb()
    print(f"peak memory: {peak:.0f} MB")
    assert peak <= MAX_MEMORY_MB, peak
    assert not context.hosts.task_faults(), context.hosts.task_faults()


@given("3 hosts before 20 shards, {servers} of each answer with {kind} without end")
def step_shards(context, servers, kind):
    context.hosts = EndlessHosts(context, shards=20)
    context.platform = context.hosts.tier
    context.hosts.add_shards(kind, GATHER_SERVERS[servers])
    context.hosts.start()


@when("{count:d} gathers with {budget:d} ms are sent, beside requests to a sound service")
def step_gathers(context, count, budget):
    hosts = context.hosts
    context.budget = budget
    context.gathers = hosts.beside_sound_requests(
        lambda: hosts.ask_all(["/paths/x"] * count, [budget] * count)
    )


@then("the gathers are answered with {answers}, before their deadline or at it")
def step_gathered(context, answers):
    allowed = {int(one) for one in answers.split(",")}
    wrong = [
        one for one in context.gathers if one[0] not in allowed or one[1] > context.budget + LATE_MS
    ]
    assert not wrong, wrong
    took = sorted((round(took), status) for status, took in context.gathers)
    print(f"gathers (ms, status): {took}")
