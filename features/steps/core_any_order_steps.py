from __future__ import annotations

import weakref

import orjson
from behave import then
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.entry_events import (
    Answered,
    AttemptFault,
    CallerGone,
    Claim,
    ClaimDecided,
    HealthReported,
    LeaseChanged,
    LoadReport,
    ServersLeaving,
    ServerState,
    ShardMapFetched,
    StopRequested,
)
from alderhatch.core.policy import Policy
from alderhatch.core.priority import Priority
from alderhatch.core.rule import Serve
from features.support.core_harness import CoreHarness, make_map

FAULTS = list(AttemptFault)
EVENT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["query"] * 4
            + ["answer"] * 6
            + ["fault"] * 4
            + ["time", "time", "dispatch", "claim", "gone", "map", "health", "leaving", "lease"]
            + ["crossed", "stop"]
        ),
        st.integers(0, 1000),
    ),
    max_size=60,
)
SMALL_POLICY = Policy(queue=4, min_limit=2.0, batch_share=0.3, normal_share=0.6)


def apply_step(core, kind, number, state):
    out = list(core.out)
    attempt = out[number % len(out)] if out else None
    server_id = f"ix-{number % 4}-{number % 2}"
    match kind:
        case "query":
            core.arrive(
                priority=list(Priority)[number % 3],
                deadline_ms=float(20 + number),
                body=b'{"t":%d}' % (number % 5),
            )
        case "dispatch":
            core.arrive(idempotent=False, key=f"k{number}")
        case "claim" if core.claims:
            query = core.claims[number % len(core.claims)].query
            core.feed(ClaimDecided(query, list(Claim)[number % len(Claim)]))
        case "answer" if attempt:
            core.answer(attempt, load=LoadReport(number % 4, number % 3))
        case "crossed" if attempt:
            core.answer(attempt, shard="s9")
        case "fault" if attempt:
            core.fail(attempt, FAULTS[number % len(FAULTS)], float(number))
        case "time":
            core.advance(number / 5.0)
        case "gone":
            query = number % (core.next_query + 1)
            if query not in core.finished:
                state["left"].add(query)
            core.feed(CallerGone(query))
        case "map":
            state["version"] += number % 2
            core.feed(ShardMapFetched(make_map(version=state["version"])))
        case "health":
            server_state = list(ServerState)[number % 4]
            core.feed(
                HealthReported(server_id, server_state, LoadReport(number % 9, 0), f"b{number % 3}")
            )
        case "leaving":
            core.feed(ServersLeaving("platform", frozenset([server_id][: number % 2])))
        case "lease":
            shares = {f"ix-{s}-{r}": number % 4 for s in range(4) for r in range(2)}
            core.feed(LeaseChanged(core.now + number, shares, frozenset()))
        case "stop" if number > 900:
            core.feed(StopRequested())


@then("each request has one correct answer and no state is left, for any order of events")
def step_any_order(context):
    @settings(max_examples=300)
    @given_any(EVENT_STEPS, st.integers(0, 5))
    def check(steps, seed):
        core = CoreHarness(make_map(), Serve(retries=2), SMALL_POLICY, seed=seed)
        state = {"version": 1, "left": set()}
        for kind, number in steps:
            apply_step(core, kind, number, state)
        core.advance(200_000.0)
        expected = set(range(1, core.next_query + 1)) - state["left"]
        assert expected <= set(core.finished), expected - set(core.finished)
        core.check_not_run()
        for outcome in core.finished.values():
            if isinstance(outcome, Answered):
                versions = {row.split("@")[1] for row in outcome.rows}
                assert versions <= {str(outcome.snapshot.version)}
        dump = core.core.dump(core.now)
        assert dump["running"] == 0 and dump["attempts_out"] == 0 and not core.out
        upstream = dump["upstreams"]["ix"]
        assert upstream["open_shards"] == 0 and upstream["waiting"] == 0
        assert all(server["in_flight"] == 0 for server in upstream["servers"].values())
        assert all(
            server.suspect_attempts == 0 for server in core.core._state.servers.servers.values()
        )

    check()


@then("the core's dump is plain data and stays bounded with 2000 running requests")
def step_dump_bounded(context):
    core = CoreHarness(make_map(slots=4000), Serve())
    for _ in range(2000):
        core.arrive()
    assert core.core.running == 2000
    dump = core.core.dump(core.now)
    assert len(dump["requests"]) <= 500
    assert len(orjson.dumps(dump)) < 100_000


@then("the core holds few timers after 5000 short queries with long deadlines")
def step_few_timers(context):
    core = CoreHarness(make_map(), Serve(deadline_ms=600_000.0))
    for _ in range(5000):
        core.arrive()
        core.now += 1.0
        core.answer_all()
    assert core.core.dump(core.now)["timers"] <= 1001, core.core.dump(core.now)["timers"]


@then("the core holds no ended query after 50 short ones beside a slow one")
def step_no_ended_query(context):
    core = CoreHarness(make_map(slots=4000), Serve(deadline_ms=600_000.0, hedge=0.0))
    core.arrive()
    slow = dict(core.out)
    core.out.clear()
    run_refs = []
    for _ in range(50):
        query = core.arrive()
        run_refs.append(weakref.ref(core.core._state.runs[query]))
        core.now += 1.0
        core.answer_all()
    assert slow and len(core.finished) == len(run_refs)
    held_count = sum(ref() is not None for ref in run_refs)
    assert held_count == 0, held_count
