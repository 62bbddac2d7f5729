from __future__ import annotations

from functools import partial
from random import Random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.clock import SECOND
from alderhatch.core.forwarding.crash_counter import SuspectKey
from features.support.crash_model import LATENCY_MS, CrashModel

CRASHING = "crashing"
SUSPECT = "suspect"
HARMLESS = "harmless"
END_MS = 30 * SECOND
HARMLESS_INTERVAL_MS = 97.0
CRASHING_INTERVAL_MS = 700.0
TOGETHER_MS = 30.0
"""How far apart gathers come that come at the same moment."""
TIMES = st.floats(0.0, 20 * SECOND)
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("zone"), TIMES, st.integers(0, 1)),
        st.tuples(st.just("server"), TIMES, st.integers(0, 23)),
        st.tuples(st.just("leader"), TIMES, st.just(0)),
        st.tuples(st.just("restart"), TIMES, st.integers(0, 3)),
        st.tuples(st.just("cut"), TIMES, st.integers(1, 3)),
    ),
    max_size=6,
)


@given("a model of {hosts:d} hosts before {shards:d} shards")
def step_model(context, hosts, shards):
    context.model = CrashModel(hosts, shards, seed=3)


def end_zone(model, zone):
    for record in list(model.records):
        if record.zone == zone:
            model.end_server(record.server_id)


@when("the servers of a zone end at {at:d} s, with gathers at each {step:d} ms to {end:d} s")
def step_zone_ends(context, at, step, end):
    model = context.model
    context.sent = {}

    def send(index):
        context.sent[model.send(f"h{index}", index % len(model.guards))] = model.now

    for index in range(int(end * SECOND / step)):
        model.at(index * step, lambda index=index: send(index))
    context.lost_at = at * SECOND
    model.at(context.lost_at, lambda: end_zone(model, "zone-0"))
    model.run_until((end + 3) * SECOND)


@then(
    "over {share:f} of the gathers are answered, and each was answered as soon as {slack:d} ms "
    "after others"
)
def step_answered(context, share, slack):
    model = context.model
    assert not model.refusals, model.refusals
    served = [number for number in context.sent if model.is_served(number)]
    assert len(served) > share * len(context.sent), len(served) / len(context.sent)
    spans = {number: model.results[number][1] - at for number, at in context.sent.items()}
    before = sorted(spans[one] for one in served if context.sent[one] < context.lost_at - SECOND)
    caught = [spans[one] for one in served if -200.0 < context.sent[one] - context.lost_at <= 0.0]
    assert max(caught) <= before[-1] + slack, (max(caught), before[-1])


def suspect_everywhere(model):
    for server_id in ("s0-0", "s1-0"):
        model.counter.report_loss(SuspectKey(SUSPECT), server_id, model.now)
    model.run_until(300.0)
    assert all(guard.suspicion(SUSPECT) is not None for guard in model.guards)


@when("the servers of a zone fall silent, and a suspect is sent to a host in that zone")
def step_silent_zone(context):
    model = context.model
    suspect_everywhere(model)
    for record in model.records:
        if record.zone == "zone-0":
            model.servers[record.server_id].mode = "silent"
    context.sent_at = model.now
    context.number = model.send(SUSPECT, 0)
    model.run_until(3 * SECOND)


@then("it is answered within {span:d} ms")
def step_answered_within(context, span):
    model = context.model
    assert model.is_served(context.number), model.results
    assert model.results[context.number][1] - context.sent_at <= span, model.results


@when("a suspect of all hosts is sent to one of them")
def step_suspect_sent(context):
    suspect_everywhere(context.model)
    context.model.send(SUSPECT, 0)


@then("no host suspects it {span:d} ms later")
def step_not_suspected(context, span):
    model = context.model
    model.run_until(model.now + span)
    assert not [guard for guard in model.guards if guard.suspicion(SUSPECT) is not None]


def schedule(model, event):
    kind, at, which = event
    match kind:
        case "zone":
            model.at(at, lambda: end_zone(model, f"zone-{which}"))
        case "server":
            model.at(at, lambda: model.end_server(model.records[which].server_id))
        case "leader":
            model.at(at, model.change_leader)
        case "restart":
            model.at(at, lambda: model.restart_host(which))
        case "restart all":
            model.at(at, model.restart_all)
        case "cut":
            model.at(at, lambda: model.leader_hosts.discard(which))
            model.at(at + 3 * SECOND, lambda: model.leader_hosts.add(which))


def run_model(seed, events, first_at, crash_delay, latency_ms=LATENCY_MS):
    rng = Random(seed)
    model = CrashModel(4, 12, seed, latency_ms)
    model.is_fatal = lambda body, server_id: body == CRASHING
    model.crash_delay_ms = (crash_delay, 2 * crash_delay)
    for event in events:
        schedule(model, event)
    send_harmless(model, rng)
    at = first_at
    while at < END_MS:
        host = rng.choice(sorted(model.leader_hosts))
        model.at(at, lambda host=host: send_crashing(model, host))
        at += CRASHING_INTERVAL_MS
    model.run_until(END_MS)
    return model


def send_harmless(model, rng):
    at = 0.0
    while at < END_MS:
        # The paths of harmless gathers come again, too.
        model.at(at, partial(model.send, f"h{rng.randrange(20)}", rng.randrange(4)))
        at += HARMLESS_INTERVAL_MS


def send_crashing(model, host, body=CRASHING):
    # The bound on late arrivals holds for hosts that are in touch with the leader.
    in_touch = sorted(model.leader_hosts)
    model.send(body, host if host in model.leader_hosts else in_touch[0])


@given(
    "{gathers:d} gathers that each come once a second, to the same host as the others, "
    "seed {seed:d}"
)
def step_together(context, gathers, seed):
    run_crashing(context, gathers, seed, schedule_together)


@given(
    "{gathers:d} gathers among those of {latency:d} ms that each come once a second, "
    "to the same host, seed {seed:d}"
)
def step_together_slow(context, gathers, latency, seed):
    run_crashing(context, gathers, seed, schedule_together, float(latency))


def schedule_together(rng, second, body):
    return second * SECOND + rng.uniform(0.0, TOGETHER_MS), second % 4


@given("{gathers:d} gathers that each come once a second, to any host, seed {seed:d}")
def step_apart(context, gathers, seed):
    def schedule(rng, second, body):
        # The same fraction of each second for a body.
        return (second + Random(f"{seed} {body}").random()) * SECOND, rng.randrange(4)

    run_crashing(context, gathers, seed, schedule)


def run_crashing(context, gathers, seed, schedule, latency_ms=LATENCY_MS):
    """Run several crashing gathers; ``schedule`` returns when and to which host one is sent."""
    rng = Random(seed)
    model = context.model = CrashModel(4, 12, seed, latency_ms)
    context.crashing = [f"{CRASHING}-{number}" for number in range(gathers)]
    model.is_fatal = lambda body, server_id: body in context.crashing
    send_harmless(model, rng)
    for second in range(1, int(END_MS / SECOND)):
        for body in context.crashing:
            at, host = schedule(rng, second, body)
            model.at(at, partial(send_crashing, model, host, body))
    model.run_until(END_MS)


@given(
    "a harmless gather each {step:d} ms and {gathers:d} crashing ones each {interval:d} ms "
    "before {shards:d} shards, seed {seed:d}"
)
def step_popular(context, step, gathers, interval, shards, seed):
    rng = Random(seed)
    model = context.model = CrashModel(4, shards, seed)
    crashing = [f"{CRASHING}-{number}" for number in range(gathers)]
    model.is_fatal = lambda body, server_id: body in crashing
    end = 20 * SECOND
    for at in range(0, int(end), step):
        model.at(at, partial(model.send, HARMLESS, rng.randrange(4)))
    for body in crashing:
        at = SECOND * (1.0 + rng.random())
        while at < end:
            model.at(at, partial(model.send, body, rng.randrange(4)))
            at += interval
    model.run_until(end)


@then("no host refuses the harmless gather")
def step_popular_served(context):
    refused = [at for body, at in context.model.refusals if body == HARMLESS]
    assert not refused, f"refused {len(refused)} times from {refused[0]} ms on"


@then("the model satisfies the same rules for each of them")
def step_rules_for_each(context):
    check_rules(context.model, *context.crashing)


@then("any 30 s of a model of 4 hosts before 12 shards satisfy these rules")
def step_any_order(context):
    @settings(max_examples=25, derandomize=True, deadline=None, database=None)
    @for_all(st.integers(0, 1000), EVENTS, st.floats(0.0, 5 * SECOND), st.floats(2.0, 300.0))
    def check(seed, events, first_at, crash_delay):
        check_rules(run_model(seed, events, first_at, crash_delay))

    check()


def check_rules(model, *crashing):
    """Check the rules for the gathers that crash servers; by default there is one."""
    crashing = crashing or (CRASHING,)
    late = {body: model.late_arrivals(body) for body in crashing}
    assert max(late.values()) <= 3, late
    refused = {body for body, _ in model.refusals} - set(crashing)
    assert not refused, refused


def schedule_of(seed):
    """Return the failures of a seed, when the crashing gather begins, and its crash delay."""
    rng = Random(seed * 7 + 1)
    events = []
    for _ in range(rng.randrange(7)):
        kind = rng.choice(["zone", "server", "leader", "restart", "cut"])
        at = rng.uniform(0, 20 * SECOND)
        which = {
            "zone": rng.randrange(2),
            "server": rng.randrange(24),
            "leader": 0,
            "restart": rng.randrange(4),
            "cut": rng.randrange(1, 4),
        }
        events.append((kind, at, which[kind]))
    crash_delay = rng.choice([2, 10, 20, 50, 150, 300])
    return events, rng.uniform(0, 5 * SECOND), crash_delay


@then("the model's schedule of seed {seed:d} satisfies the same rules")
def step_seed(context, seed):
    check_rules(run_model(seed, *schedule_of(seed)))


@then(
    "the model's schedule of seed {seed:d}, with gathers of {latency:d} ms, "
    "satisfies the same rules"
)
def step_slow_seed(context, seed, latency):
    check_rules(run_model(seed, *schedule_of(seed), latency_ms=float(latency)))
