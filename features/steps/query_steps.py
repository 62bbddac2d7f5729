from __future__ import annotations

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.entry_events import (
    Answered,
    AttemptFault,
    CallerGone,
    FetchShardMap,
    ShardAnswer,
    ShardAnswered,
    ShardMapFetched,
)
from alderhatch.core.rule import Serve
from alderhatch.core.shard_map import ShardMap, Snapshot
from features.support.core_harness import CoreHarness, make_map


def start_query(context, shard_map, serve):
    context.core = CoreHarness(shard_map, serve)
    context.core_query = context.core.arrive()


@given("a core query over {shards:d} shards with no retries")
def step_query_over(context, shards):
    start_query(context, make_map(shards), Serve(retries=0, hedge=0))


@given("a core query over shards of 10, 10, 10 and 270 documents with no retries")
def step_query_weights(context):
    start_query(context, make_map(documents=[10, 10, 10, 270]), Serve(retries=0, hedge=0))


@given(
    "a core query over {shards:d} shards with a target coverage of {target:g}"
    " and {duration_ms:d} ms for stragglers"
)
def step_query_early(context, shards, target, duration_ms):
    start_query(
        context, make_map(shards), Serve(coverage=target, straggler_ms=duration_ms, hedge=0)
    )


@given(
    "a core query over {shards:d} shards with a target coverage of {target:g}"
    " and a minimum of {minimum:g}"
)
def step_query_minimum(context, shards, target, minimum):
    start_query(context, make_map(shards), Serve(coverage=target, min_coverage=minimum, hedge=0))


@given("a core with the map of version {version:d}")
def step_core_with_map(context, version):
    context.core = CoreHarness(make_map(version=version), Serve(retries=0, hedge=0))


@when("a query arrives at the core")
def step_query_arrives(context):
    context.core_query = context.core.arrive()


@when("the core query's shard {shard} answers from version {version:d}")
def step_answers_version(context, shard, version):
    (attempt,) = context.core.attempts_on(shard)
    context.core.answer(attempt, snapshot=Snapshot(version, 1))


@when("the core query's shard {shard} answers with the {part} of another request")
def step_answers_crossed(context, shard, part):
    (attempt,) = context.core.attempts_on(shard)
    if part == "shard":
        context.core.answer(attempt, shard="s0")
    else:
        context.core.answer(attempt, request_id="e1-77")


@when("all other shards of the core query answer")
def step_others_answer(context):
    context.core.answer_all()


@when("{count:d} shards of the core query answer")
def step_some_answer(context, count):
    for attempt in list(context.core.out)[:count]:
        context.core.answer(attempt)


@when("all replicas of the core query's shard {shard} fail")
def step_shard_fails(context, shard):
    while attempts := context.core.attempts_on(shard):
        context.core.fail(attempts[0], AttemptFault.FAILED)


@when("all replicas of the core query's shard {shard} say that the version is gone")
def step_shard_gone(context, shard):
    while attempts := context.core.attempts_on(shard):
        context.core.fail(attempts[0], AttemptFault.VERSION_GONE)


@when("a shard of the core query says that its version is gone")
def step_one_gone(context):
    context.core.fail(next(iter(context.core.out)), AttemptFault.VERSION_GONE)


@when("the core receives the map of version {version:d}")
def step_receives_map(context, version):
    context.core.feed(ShardMapFetched(make_map(version=version)))


@when("{duration_ms:d} ms pass in the core")
def step_core_time(context, duration_ms):
    context.core.advance(float(duration_ms))


@when("all attempts of the core query end as {fault}")
def step_all_end(context, fault):
    while context.core.out:
        context.core.fail(next(iter(context.core.out)), fault)
        if not context.core.out and context.core_query not in context.core.finished:
            context.core.advance(1001.0)


@when("the caller of the core query disconnects")
def step_caller_disconnects(context):
    context.core.feed(CallerGone(context.core_query))


@then("the core requests a new shard map")
def step_requests_map(context):
    assert FetchShardMap("ix") in context.core.effects


@then("the core query has {count:d} attempts in flight and all name version {version:d}")
def step_in_flight_version(context, count, version):
    sends = list(context.core.out.values())
    assert len(sends) == count, sends
    assert {send.snapshot.version for send in sends} == {version}


def outcome_of(context):
    return context.core.finished[context.core_query]


@then("the core query covers {coverage:g} of version {version:d}")
def step_covers(context, coverage, version):
    outcome = outcome_of(context)
    assert isinstance(outcome, Answered), outcome
    assert abs(outcome.coverage - coverage) < 1e-9, outcome
    assert outcome.snapshot.version == version, outcome


@then(
    'the core query covers {coverage:g} of version {version:d} without {shard} because of "{why}"'
)
def step_covers_without(context, coverage, version, shard, why):
    step_covers(context, coverage, version)
    outcome = outcome_of(context)
    assert outcome.missing == ((shard, why),), outcome.missing
    shards = ["s0", "s1", "s2", "s3"]
    shards.remove(shard)
    assert outcome.rows == [f"{name}@{version}" for name in shards], outcome.rows


@then(
    "the core query covers {coverage:g} of version {version:d} with rows of version {rows:d} only"
)
def step_covers_rows(context, coverage, version, rows):
    step_covers(context, coverage, version)
    assert outcome_of(context).rows == [f"s{shard}@{rows}" for shard in range(4)]


@then("the core query is not yet answered")
def step_not_answered(context):
    assert context.core_query not in context.core.finished


@then("the core has no attempts in flight")
def step_none_in_flight(context):
    assert not context.core.out
    assert context.core.core.dump(context.core.now)["attempts_out"] == 0


@then("the core query is refused as {kind}, which says {ran}")
def step_refused_as(context, kind, ran):
    failure = outcome_of(context).failure
    assert failure.kind == kind, failure
    assert failure.answer.ran == ran, failure
    context.core.check_not_run()


class NaiveGather:
    """A naive implementation of coverage and merge."""

    def __init__(self, shard_map):
        self.shard_map = shard_map
        self.answers = {}

    def answer(self, send, snapshot, rows):
        if snapshot == self.shard_map.snapshot and send.snapshot == self.shard_map.snapshot:
            self.answers[send.shard] = rows

    def result(self):
        all_documents = sum(shard.documents for shard in self.shard_map.shards)
        covered = sum(
            shard.documents for shard in self.shard_map.shards if shard.name in self.answers
        )
        rows = []
        for shard in self.shard_map.shards:
            rows += self.answers.get(shard.name, [])
        missing = [s.name for s in self.shard_map.shards if s.name not in self.answers]
        return covered / all_documents, rows, missing


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["answer", "answer", "answer", "other", "twice", "failed", "lost", "shed", "silent"]
        ),
        st.integers(0, 100),
    ),
    max_size=30,
)


@then(
    "merge and coverage agree with a naive implementation"
    " for any order, duplication and loss of events"
)
def step_merge_differential(context):
    weights = st.lists(st.integers(1, 50), min_size=1, max_size=6)

    @settings(max_examples=300)
    @given_any(weights, ACTIONS, st.integers(0, 2), st.integers(0, 3))
    def check(documents, actions, retries, seed):
        shard_map = make_map(len(documents), documents=documents)
        core = CoreHarness(shard_map, Serve(retries=retries), seed=seed)
        query = core.arrive()
        naive = NaiveGather(shard_map)
        delivered = []
        for action, pick in actions:
            core.advance(float(pick % 7))
            if action == "twice" and delivered:
                core.feed(delivered[pick % len(delivered)])
                continue
            if not core.out or query in core.finished:
                continue
            attempt = list(core.out)[pick % len(core.out)]
            send = core.out[attempt]
            rows = [f"{send.shard}/{attempt}"]
            if action in ("answer", "other"):
                snapshot = send.snapshot if action == "answer" else Snapshot(9, 9)
                answer = ShardAnswer(send.request_id, send.shard, snapshot, rows, None)
                delivered.append(ShardAnswered(attempt, answer))
                naive.answer(send, snapshot, rows)
                core.answer(attempt, rows=rows, snapshot=snapshot)
            elif action != "twice":
                core.fail(attempt, action)
        core.advance(2000.0)
        outcome = core.finished[query]
        coverage, rows, missing = naive.result()
        if isinstance(outcome, Answered):
            assert abs(outcome.coverage - coverage) < 1e-12
            assert outcome.rows == rows
            assert [item.shard for item in outcome.missing] == missing
            assert outcome.snapshot == shard_map.snapshot
        else:
            assert coverage == 0, outcome
        core.check_not_run()
        dump = core.core.dump(core.now)
        assert dump["attempts_out"] == 0 and dump["running"] == 0
        assert dump["upstreams"]["ix"]["open_shards"] == 0
        for server in dump["upstreams"]["ix"]["servers"].values():
            assert server["in_flight"] == 0

    check()


@when('the core is given a map of the same snapshot with shard "{name}" on server "{new}" alone')
def step_moved_replica(context, name, new):
    known = make_map()
    moved = known.servers[0]._replace(server_id=new)
    shards = tuple(
        shard._replace(servers=(new,)) if shard.name == name else shard for shard in known.shards
    )
    shard_map = ShardMap(known.upstream, known.snapshot, shards, (*known.servers, moved))
    context.core.feed(ShardMapFetched(shard_map))


@when("the core is given a map of the same snapshot with other weights")
def step_other_weights(context):
    context.core.feed(ShardMapFetched(make_map(documents=[1, 1, 1, 9999])))


@when("another query arrives at the core after that")
def step_another_query(context):
    context.sent_before = len(context.core.sent)
    context.core.arrive()


@then('that query is sent to server "{server_id}" for shard "{name}"')
def step_sent_to_server(context, server_id, name):
    sent = context.core.sent[context.sent_before :]
    assert [send.server_id for send in sent if send.shard == name] == [server_id], sent


@then("that query uses the weights of the known map")
def step_known_weights(context):
    run = context.core.core._state.runs[context.core.next_query]
    assert run.shard_map == make_map()
