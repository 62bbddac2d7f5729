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
STEPS = st.lists(
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
SMALL = Policy(queue=4, min_limit=2.0, batch_share=0.3, normal_share=0.6)


def take_step(core, kind, pick, state):
    out = list(core.out)
    attempt = out[pick % len(out)] if out else None
    server_id = f"ix-{pick % 4}-{pick % 2}"
    match kind:
        case "query":
            core.arrive(
                priority=list(Priority)[pick % 3],
                deadline_ms=float(20 + pick),
                body=b'{"t":%d}' % (pick % 5),
            )
        case "dispatch":
            core.arrive(idempotent=False, key=f"k{pick}")
        case "claim" if core.claims:
            query = core.claims[pick % len(core.claims)].query
            core.feed(ClaimDecided(query, list(Claim)[pick % len(Claim)]))
        case "answer" if attempt:
            core.answer(attempt, load=LoadReport(pick % 4, pick % 3))
        case "crossed" if attempt:
            core.answer(attempt, shard="s9")
        case "fault" if attempt:
            core.fail(attempt, FAULTS[pick % len(FAULTS)], float(pick))
        case "time":
            core.advance(pick / 5.0)
        case "gone":
            query = pick % (core.next_query + 1)
            if query not in core.finished:
                state["left"].add(query)
            core.feed(CallerGone(query))
        case "map":
            state["version"] += pick % 2
            core.feed(ShardMapFetched(make_map(version=state["version"])))
        case "health":
            health = list(ServerState)[pick % 4]
            core.feed(HealthReported(server_id, health, LoadReport(pick % 9, 0), f"b{pick % 3}"))
        case "leaving":
            core.feed(ServersLeaving("platform", frozenset([server_id][: pick % 2])))
        case "lease":
            shares = {f"ix-{s}-{r}": pick % 4 for s in range(4) for r in range(2)}
            core.feed(LeaseChanged(core.now + pick, shares, frozenset()))
        case "stop" if pick > 900:
            core.feed(StopRequested())


@then("each request has one true answer and nothing is left behind, for any order of events")
def step_any_order(context):
    @settings(max_examples=300)
    @given_any(STEPS, st.integers(0, 5))
    def check(steps, seed):
        core = CoreHarness(make_map(), Serve(retries=2), SMALL, seed=seed)
        state = {"version": 1, "left": set()}
        for kind, pick in steps:
            take_step(core, kind, pick, state)
        core.advance(200_000.0)
        wanted = set(range(1, core.next_query + 1)) - state["left"]
        assert wanted <= set(core.finished), wanted - set(core.finished)
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


@then("the core's dump is plain data and stays bounded with 2000 requests under way")
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
    seen = []
    for _ in range(50):
        query = core.arrive()
        seen.append(weakref.ref(core.core._state.runs[query]))
        core.now += 1.0
        core.answer_all()
    assert slow and len(core.finished) == len(seen)
    held = sum(ref() is not None for ref in seen)
    assert held == 0, held
