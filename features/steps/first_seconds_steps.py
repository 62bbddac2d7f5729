from __future__ import annotations

from behave import given, then, when

from alderhatch.core.forwarding.outcome import Answered
from alderhatch.entry.open_queue import OpenQueue
from features.support.forward_model import scatter_route
from features.support.starting_host import StartingHost

WORK_MS = 10.0
TARGET_LATENCY_MS = 300.0
GATHERS = 30


@given("a host without connections, and {shards:d} shards with 3 servers each")
def step_host(context, shards):
    host = context.host = StartingHost()
    names = [f"shard-{index}" for index in range(shards)]
    for name in names:
        host.add_upstream(name, WORK_MS, servers=3)
    context.route = scatter_route(names, target_latency=TARGET_LATENCY_MS)


@when("one server of every second shard accepts no connections")
def step_dark(context):
    shards = context.route.destination.shards
    context.host.dark = {f"{name}-0" for name in shards[::2]}


@when("it receives the server list, and a gather every {every:d} ms from then on")
def step_gathers(context, every):
    host = context.host
    host.start()
    context.asked_at = {}
    for index in range(GATHERS):
        number = host.request(context.route, 1.0 + index * every)
        context.asked_at[number] = 1.0 + index * every
    host.run_until(10_000.0)


def spans(context):
    """Return how long each answer took, in the order of the requests."""
    found = []
    for number, asked_at in context.asked_at.items():
        outcome, ended = context.host.results[number]
        assert isinstance(outcome, Answered), outcome
        found.append(ended - asked_at)
    return found


@then("its first answer takes at most {span:d} ms")
def step_first(context, span):
    assert spans(context)[0] <= span, spans(context)


@then("its answers from the second on take at most {span:d} ms")
def step_later(context, span):
    assert max(spans(context)[1:]) <= span, spans(context)


@then("at most a tenth of the parts of the first gather were asked for twice")
def step_hedges(context):
    first = context.host.runs[min(context.asked_at)]
    assert first.hedges <= len(first.shards) / 10, first.hedges


@then("its answers after the first second are complete and take at most {span:d} ms")
def step_complete(context, span):
    for number, asked_at in context.asked_at.items():
        if asked_at < 1000.0:
            continue
        outcome, ended = context.host.results[number]
        assert isinstance(outcome, Answered) and outcome.missing == 0, outcome
        assert ended - asked_at <= span, ended - asked_at


@given("a queue of {count:d} connections that nobody waits for")
def step_queue(context, count):
    context.queue = OpenQueue()
    context.servers = list(range(count))
    for server in context.servers:
        context.queue.add(server, False)


@when("requests begin to wait for the last {count:d} of them")
def step_wait(context, count):
    for server in context.servers[-count:]:
        context.queue.add(server, True)


def take_all(queue):
    taken = []
    while (server := queue.take()) is not None:
        queue.begin()
        taken.append(server)
    return taken


@then("these {count:d} are the next to be opened, at most {most:d} at the same time")
def step_next(context, count, most):
    first = take_all(context.queue)
    assert len(first) == most, len(first)
    rest = []
    for _ in first:
        context.queue.end()
        rest += take_all(context.queue)
    awaited = set(context.servers[-count:])
    assert set(first) < awaited and awaited <= set(first + rest)
    context.others = [server for server in rest if server not in awaited]
    context.running = len(rest)


@then("{count:d} of the others are opened at the same time after that")
def step_others(context, count):
    for _ in range(context.running - len(context.others)):
        context.queue.end()
    context.others += take_all(context.queue)
    assert len(context.others) == count, context.others
