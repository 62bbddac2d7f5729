from __future__ import annotations

from dataclasses import replace
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

import trio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from trio.testing import MockClock

from alderhatch.clock import SECOND
from alderhatch.core.forwarding.part_queue import MAX_BATCH, MAX_PASSED_OVER, MAX_WAIT, PartQueue
from alderhatch.core.forwarding.route_table import RouteTable
from alderhatch.node.service_turns import ServiceTurns
from features.support.busy_hosts import BusyHosts, pauses, traffic
from features.support.forward_model import scatter_route

SECONDS = 12
FIRST_SECOND = 3
"""Until then hosts learn the latencies of the routes."""
END_MS = 4 * SECOND
HOSTS = 71
STRONG_HOSTS = 6
LOOP_PROCESSOR = 1.0
"""A host's loop runs on one thread, whatever its processor time is beyond one core."""
PAUSE_INTERVAL_MS = 6000.0
PAUSE_MS = 250.0
PEAK = "the one with the peak"
FAR_MS = 1_000_000.0


@given(
    "gathers over {shards:d} shards whose heavy kind has rank {rank:d}, {work:g} ms of work and "
    "{target:g} ms"
)
def step_heavy(context, shards, rank, work, target):
    context.names = [f"shard{number:03}" for number in range(shards)]
    context.work = {"heavy": work}
    context.heavy = _gather_route(context, "heavy", 0.95, target, rank)


@given("whose light kind has rank {rank:d}, {work:g} ms of work and {target:g} ms")
def step_light(context, rank, work, target):
    context.work["light"] = work
    context.light = _gather_route(context, "light", 0.85, target, rank)


def _gather_route(context, name, min_coverage, target, rank):
    route = scatter_route(
        context.names,
        name=name,
        path_prefix=f"/{name}/",
        target_latency=target,
        timeout=7 * target,
        rank=rank,
    )
    return route._replace(destination=replace(route.destination, min_coverage=min_coverage))


def _model(context):
    routes = (context.heavy, context.light)
    context.model = BusyHosts(
        HOSTS,
        STRONG_HOSTS,
        routes,
        context.names,
        seed=1,
        servers=3,
        is_ordered=True,
        processor=LOOP_PROCESSOR,
    )
    context.model.work_by_route = context.work
    pauses(context.model, PAUSE_INTERVAL_MS, PAUSE_MS, SECONDS * SECOND + END_MS)


def _earned(context, kind):
    route = context.light if kind == "light" else context.heavy
    return context.model.credits(route, FIRST_SECOND * SECOND)


def _mean(credits):
    credits = list(credits)
    return sum(credits) / len(credits)


@when("callers send {heavy:g} heavy and {light:g} light gathers a second to 6 hosts")
def step_callers(context, heavy, light):
    _model(context)
    shares = {context.heavy: heavy, context.light: light}
    traffic(context.model, shares, heavy + light, SECONDS)
    context.model.run_until(SECONDS * SECOND + END_MS)


@when(
    "{count:d} organisations send {heavy:g} heavy and {light:g} light gathers a second and another "
    "one {share:g} of that"
)
def step_organisations(context, count, heavy, light, share):
    _model(context)
    shares = {context.heavy: heavy, context.light: light}
    names = [f"organisation-{number}" for number in range(count)]
    traffic(context.model, shares, heavy + light, SECONDS, names)
    traffic(context.model, shares, share * (heavy + light), SECONDS, [PEAK])
    context.model.run_until(SECONDS * SECOND + END_MS)


@then("both kinds earn at least {share:g} of their credit")
def step_both_earn(context, share):
    for kind in ("heavy", "light"):
        earned = _mean(_earned(context, kind).values())
        assert earned >= share, (kind, earned)


@then("neither earns more than {share:g} less than the other")
def step_no_kind_behind(context, share):
    heavy, light = (_mean(_earned(context, kind).values()) for kind in ("heavy", "light"))
    assert abs(heavy - light) <= share, (heavy, light)


@then("the others earn at least as much as the one with the peak, or {share:g} less")
def step_others_earn(context, share):
    earned = _earned(context, "heavy") | _earned(context, "light")
    is_peak = {number: context.model.organisations[number] == PEAK for number in earned}
    others = _mean(credit for number, credit in earned.items() if not is_peak[number])
    peak = _mean(credit for number, credit in earned.items() if is_peak[number])
    assert others >= peak - share, (others, peak)


# The order of parts


class Run:
    """Stands for a gather's run."""

    def __init__(self, due, missing, finished=False, deadline=FAR_MS):
        self.times = SimpleNamespace(arrived=0.0, answer_by=due, deadline=deadline)
        self.missing_parts = missing
        self.finished = finished


@given(
    'a gather "{name}" due in {due:g} ms that lacks {missing:d} parts, of rank {rank:d} and {owner}'
)
def step_gather(context, name, due, missing, rank, owner):
    if "queue" not in context:
        context.queue = PartQueue(LOOP_PROCESSOR, Random(1))
        context.gathers = {}
    organisation = None if owner == "no organisation" else owner
    context.gathers[name] = context.queue.start(Run(due, missing), rank, organisation)


@given('the gather "{name}" is answered')
def step_answered(context, name):
    context.gathers[name].run.finished = True


@when("parts of both wait at a host that takes {cost:g} ms for each")
def step_both_wait(context, cost):
    assert context.queue.turn_cost == cost
    for name, gather in context.gathers.items():
        context.queue.add_answer(gather, name)


@when("{count:d} parts of each wait at a host")
def step_all_wait(context, count):
    for _ in range(count):
        for name, gather in context.gathers.items():
            context.queue.add_answer(gather, name)


@then('those of "{name}" go first')
def step_first(context, name):
    assert context.queue.take(0.0) == [name]


@then("the batches go to {names}")
def step_batches(context, names):
    wanted = names.split(", ")
    batches = [set(context.queue.take(0.0)) for _ in wanted]
    assert batches == [{name} for name in wanted], batches


# Refusals


@given("{count:d} gathers of rank {rank:d} due in {due:g} ms that lack {missing:d} parts each")
def step_gathers(context, count, rank, due, missing):
    context.queue = PartQueue(LOOP_PROCESSOR, Random(1))
    for _ in range(count):
        context.queue.start(Run(due, missing), rank, None)


@when(
    "one of rank {rank:d} due in {due:g} ms with a deadline of {deadline:g} ms arrives "
    "{times:d} times"
)
def step_arrives(context, rank, due, deadline, times):
    context.retry_after = []
    for _ in range(times):
        gather = context.queue.start(Run(due, 90, deadline=deadline), rank, None)
        context.retry_after.append(context.queue.retry_after(gather, 0.0))
        context.queue.end(gather)


@then("it is served each time")
def step_served(context):
    assert set(context.retry_after) == {None}, context.retry_after


@then("it is refused each time and told to return after {least:g} to {most:g} ms")
def step_refused(context, least, most):
    assert all(least <= one <= most for one in context.retry_after), context.retry_after
    assert len(set(context.retry_after)) == len(context.retry_after)


# The measured time of a turn

SHARDS = 20
DEADLINE_MS = 500.0


class MeasuredHost:
    """A queue whose host takes a certain time for each part."""

    def __init__(self, part_ms):
        self.queue = PartQueue(LOOP_PROCESSOR, Random(1))
        self.part_ms = part_ms
        self.now = 0.0

    def arrive(self):
        """Let two gathers arrive at once; return them, and which of them are refused."""
        arrived = []
        for _ in range(2):
            run = Run(self.now + 100.0, SHARDS, deadline=self.now + DEADLINE_MS)
            gather = self.queue.start(run, 0, None)
            is_refused = self.queue.retry_after(gather, self.now) is not None
            if is_refused:
                self.queue.end(gather)
            arrived.append((gather, is_refused))
        return arrived

    def handle(self, gather, freeze_ms=0.0):
        """Hand out the parts of a gather, the first batch with a freeze; then end it."""
        for number in range(SHARDS):
            self.queue.add_send(gather, number)
        while batch := self.queue.take(self.now):
            self.now += len(batch) * self.part_ms + freeze_ms
            freeze_ms = 0.0
        self.queue.end(gather)

    def serve_pair(self, freeze_ms=0.0):
        """Serve those of two gathers that are not refused; return how many."""
        served = [gather for gather, is_refused in self.arrive() if not is_refused]
        for gather in served:
            self.handle(gather, freeze_ms)
        return len(served)


@given("a host that hands out parts of 2 gathers at a time, for {part_ms:g} ms each")
def step_measured_host(context, part_ms):
    context.host = MeasuredHost(part_ms)


@given("a host that takes a turn for {believed_ms:g} ms, although it takes {part_ms:g} ms")
def step_wrong_belief(context, believed_ms, part_ms):
    context.host = MeasuredHost(part_ms)
    context.host.queue.turn_cost = believed_ms


@when("it is frozen {freezes:d} times for {freeze:g} ms, each time while a batch is handled")
def step_frozen(context, freezes, freeze):
    for _ in range(freezes):
        context.host.serve_pair(freeze)


@when("it has handed out {batches:d} batches")
def step_batches_handed(context, batches):
    for _ in range(batches * MAX_BATCH // SHARDS):
        context.host.serve_pair()


@when("gathers over 20 shards with a deadline of 500 ms arrive two at a time")
def step_pairs(context):
    context.served = [context.host.serve_pair() for _ in range(40)]


@then("one of the first two is served, and both of the 40th two")
def step_belief_corrected(context):
    assert (context.served[0], context.served[-1]) == (1, 2), context.served


@then("a gather over 20 shards with a deadline of 500 ms that meets another one is {outcome}")
def step_meets_another(context, outcome):
    refused = [is_refused for _, is_refused in context.host.arrive()]
    assert refused == [False, outcome == "refused"], refused


# Any gathers

gathers = st.lists(
    st.tuples(
        st.floats(-100.0, 200.0),  # when it is due
        st.integers(0, 90),  # parts that it lacks
        st.integers(0, 2),  # rank
        st.sampled_from([None, "x", "y"]),  # organisation
        st.booleans(),  # whether it is answered
        st.integers(1, 30),  # parts that wait
    ),
    min_size=1,
    max_size=6,
)


def _fill(drawn, parts=None):
    queue = PartQueue(LOOP_PROCESSOR, Random(1))
    for due, missing, rank, organisation, finished, count in drawn:
        gather = queue.start(Run(due, missing, finished), rank, organisation)
        for number in range(parts or count):
            add = queue.add_send if number % 2 else queue.add_answer
            add(gather, (gather, number))
    return queue


@then("a queue with any gathers hands out a part whenever one waits")
def step_work_conserving(context):
    @for_all(gathers)
    def check(drawn):
        queue = _fill(drawn)
        taken = []
        while len(queue):
            batch = queue.take(float(len(taken)))
            assert 1 <= len(batch) <= MAX_BATCH
            taken += batch
        assert len(taken) == len(set(taken)) == sum(one[-1] for one in drawn)
        assert queue.take(0.0) == []

    check()


@then("a group of gathers that waits gets at least a quarter of the batches of any other group")
def step_no_group_starves(context):
    rounds = 20

    @for_all(gathers)
    def check(drawn):
        # Far from the moment at which a gather becomes late, so that it stays in its group.
        drawn = [(FAR_MS if due > 0.0 else -FAR_MS, *rest) for due, *rest in drawn]
        queue = _fill(drawn, parts=2000)
        group_of = {one: queue._urgency(one, 0.0).group for one in queue._at_work}
        counts = dict.fromkeys(group_of.values(), 0)
        for number in range(int(MAX_WAIT) + rounds * (MAX_PASSED_OVER + 1)):
            (gather, _), *_ = queue.take(float(number))
            if number > MAX_WAIT:
                counts[group_of[gather]] += 1
        # One batch less, as the last round of a group may have ended before its turn.
        assert min(counts.values()) + 1 >= max(counts.values()) / MAX_PASSED_OVER, counts

    check()


@then("a part that was cancelled is never handed out")
def step_cancelled(context):
    @for_all(gathers, st.randoms(use_true_random=False))
    def check(drawn, rng):
        queue = _fill(drawn)
        items = [item for gather in queue._waiting for item in (*gather.sends, *gather.answers)]
        cancelled = set(rng.sample(items, len(items) // 2))
        for item in cancelled:
            queue.discard(item[0], item)
        taken = set()
        while len(queue):
            taken |= set(queue.take(0.0))
        assert taken == set(items) - cancelled

    check()


# Turns at a running host

PARTS = 40
LOOP_PASSES = 3
ANSWERS = "a light gather's answers arrive after a heavy one's"
CANCELLED = "a heavy one is cancelled while it waits"
EQUAL = "all routes are equally urgent"


@given("a host where {what}")
def step_host(context, what):
    context.what = what
    names = ["shard0", "shard1"]
    context.light_route = scatter_route(names, name="light", target_latency=70.0)
    heavy = 70.0 if what == EQUAL else 300.0
    context.heavy_route = scatter_route(
        names, name="heavy", path_prefix="/heavy/", target_latency=heavy
    )


def _service_turns(context):
    routes = RouteTable([context.light_route, context.heavy_route])
    state = SimpleNamespace(organisations=None, routes=routes)
    return ServiceTurns(state, LOOP_PROCESSOR, Mock(), Random(1))


@when("its gathers send their requests or read their answers")
def step_turns(context):
    async def main():
        context.turns = _service_turns(context)
        async with trio.open_nursery() as nursery:
            await nursery.start(context.turns.run)
            async with (
                context.turns.turn(context.heavy_route, None) as heavy,
                context.turns.turn(context.light_route, None) as light,
            ):
                await _let_parts_pass(context, heavy, light)
            nursery.cancel_scope.cancel()

    context.order = []
    trio.run(main, clock=MockClock(autojump_threshold=0.0))


async def _let_parts_pass(context, heavy, light):
    async def part(name, wait):
        await wait()
        context.order.append(name)

    async def parts(name, wait, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                for _ in range(PARTS):
                    nursery.start_soon(part, name, wait)

    heavy.begin(_turn_run(context.heavy_route))
    is_read = context.what == ANSWERS
    heavy_scope = trio.CancelScope()
    async with trio.open_nursery() as nursery:
        if is_read:
            light.begin(_turn_run(context.light_route))
        nursery.start_soon(
            parts, "heavy", heavy.wait_to_read if is_read else heavy.wait_to_send, heavy_scope
        )
        for _ in range(LOOP_PASSES):
            await trio.lowlevel.checkpoint()
        if not is_read:
            light.begin(_turn_run(context.light_route))
        nursery.start_soon(
            parts,
            "light",
            light.wait_to_read if is_read else light.wait_to_send,
            trio.CancelScope(),
        )
        if context.what == CANCELLED:
            heavy_scope.cancel()


def _turn_run(route):
    run = Run(trio.current_time() * SECOND + route.target_latency, len(route.upstreams))
    run.route = route
    return run


@then("at most {count:d} of 40 parts of the heavy one go before the first of the light one")
def step_before(context, count):
    assert context.order.count("light") == PARTS
    before = context.order.index("light")
    assert before <= count, before


@then("{count:d} parts are left in the queue")
def step_left(context, count):
    assert len(context.turns.queue) == count


@then("its gathers {do} without waiting for a turn")
def step_no_waiting(context, do):
    async def main():
        # No task hands out turns, so a part that waited would wait for good.
        turns = _service_turns(context)
        async with (
            turns.turn(context.heavy_route, None) as heavy,
            turns.turn(context.light_route, None) as light,
        ):
            heavy.begin(_turn_run(context.heavy_route))
            if context.what == EQUAL:
                light.begin(_turn_run(context.light_route))
            with trio.fail_after(1.0):
                await heavy.wait_to_read()
                if do == "send requests and read answers":
                    await heavy.wait_to_send()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
