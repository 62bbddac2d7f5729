from __future__ import annotations

from random import Random

from behave import given, then, when

from alderhatch.core.crash_detector import CRASH_LIMIT
from alderhatch.core.entry_events import (
    Answered,
    AttemptFailed,
    AttemptFault,
    HealthReported,
    LeaseChanged,
    LoadReport,
    ProbeServer,
    QueryArrived,
    ReportCrash,
    ServerState,
    ShardAnswer,
    ShardAnswered,
)
from alderhatch.core.policy import Policy
from alderhatch.core.rule import Serve
from alderhatch.settings.models import ControlSettings
from features.support.core_harness import CoreHarness, make_map, make_request

LEASE_MS = ControlSettings.model_fields["lease_ms"].default
DEADLY = b'{"topic":"deadly"}'
STEP = 1.0


class CrashTier:
    """Entries over one set of servers, of which a deadly body crashes each that runs it."""

    def __init__(self, entries, shards):
        self.map = make_map(shards, replicas=4 if shards == 1 else 2, slots=10)
        serve = Serve(retries=3, hedge=0.05, deadline_ms=2000.0)
        self.cores = [
            CoreHarness(self.map, serve, Policy(), seed=index) for index in range(entries)
        ]
        for index, core in enumerate(self.cores):
            core.core._state.name = f"e{index}"
        self.rng = Random(5)
        self.boots = {server.server_id: 1 for server in self.map.servers}
        self.crashed = []
        self.down = set()
        self.reports = []
        self.suspects = {}
        self.due = {}
        self.queries = {}
        for core in self.cores:
            for server_id in self.boots:
                self.health(core, server_id)

    def health(self, core, server_id):
        state = ServerState.UNREACHABLE if server_id in self.down else ServerState.READY
        boot = None if server_id in self.down else f"b{self.boots[server_id]}"
        core.feed(HealthReported(server_id, state, None, boot, core.now))

    def arrive(self, entry, body):
        core = self.cores[entry]
        core.next_query += 1
        query = core.next_query
        request = make_request(query, body=body, request_id=f"r{query}")
        core.feed(QueryArrived(query, request))
        self.queries.setdefault(body, []).append((entry, query))

    def run(self, span, crash_after=2.0):
        for _ in range(int(span / STEP)):
            for core in self.cores:
                core.advance(STEP)
            for index, core in enumerate(self.cores):
                self.serve(index, core, crash_after)
            self.control()

    def serve(self, index, core, crash_after):
        for attempt, send in list(core.out.items()):
            if attempt not in core.out:
                continue
            if send.server_id in self.down:
                core.fail(attempt, AttemptFault.NOT_SENT)
                continue
            key = (index, attempt)
            if key not in self.due:
                span = crash_after if send.request.body == DEADLY else self.rng.uniform(1, 6)
                self.due[key] = core.now + span
            if core.now < self.due[key]:
                continue
            if send.request.body == DEADLY:
                self.crash(send.server_id)
                continue
            del core.out[attempt]
            answer = ShardAnswer(send.request_id, send.shard, send.snapshot, [1], None)
            core.feed(ShardAnswered(attempt, answer))

    def crash(self, server_id):
        self.crashed.append(server_id)
        self.down.add(server_id)
        for core in self.cores:
            for attempt, send in list(core.out.items()):
                if send.server_id == server_id and attempt in core.out:
                    del core.out[attempt]
                    core.feed(AttemptFailed(attempt, AttemptFault.LOST))

    def control(self):
        """Answer probes, count crash reports by server, and push quarantines."""
        for core in self.cores:
            effects, core.effects = core.effects, []
            for effect in effects:
                if isinstance(effect, ProbeServer):
                    self.health(core, effect.server_id)
                if isinstance(effect, ReportCrash):
                    self.reports.append(effect)
        for core in self.cores:
            effects, core.effects = core.effects, []
            self.reports += [effect for effect in effects if isinstance(effect, ReportCrash)]
        for report in self.reports:
            self.suspects.setdefault(report.fingerprint, set()).add(report.server_id)
        held = frozenset(f for f, s in self.suspects.items() if len(s) >= CRASH_LIMIT)
        for core in self.cores:
            core.feed(LeaseChanged(1e9, {}, held))

    def restart_all(self):
        for server_id in self.down:
            self.boots[server_id] += 1
        restarted, self.down = self.down, set()
        for core in self.cores:
            for server_id in restarted:
                self.health(core, server_id)

    def outcomes(self, body):
        return [self.cores[e].finished.get(q) for e, q in self.queries[body]]


@given("crash cores of {entries:d} entry over {shards:d} shard")
@given("crash cores of {entries:d} entry over {shards:d} shards")
@given("crash cores of {entries:d} entries over {shards:d} shards")
def step_crash_tier(context, entries, shards):
    context.tier = CrashTier(entries, shards)


@when("a deadly query arrives at crash entry {entry:d}")
def step_deadly(context, entry):
    context.tier.arrive(entry - 1, DEADLY)
    context.tier.run(100)


@when("it is sent again at crash entries 2, 3 and 1")
def step_deadly_again(context):
    for entry in (1, 2, 0):
        context.tier.arrive(entry, DEADLY)
        context.tier.run(20)


@then("{count:d} servers have crashed")
def step_crashed_count(context, count):
    assert len(context.tier.crashed) == count, context.tier.crashed


@then("its caller is told upstream_failed, not to be sent again")
def step_told_failed(context):
    failure = context.tier.outcomes(DEADLY)[0].failure
    assert failure.kind == "upstream_failed" and failure.answer.resend == "never", failure
    # The quarantine is in force at every entry with a lease by then.
    assert failure.retry_after_ms >= 1.1 * LEASE_MS, failure


@then("its resends are refused as quarantined")
def step_resends_refused(context):
    for outcome in context.tier.outcomes(DEADLY)[1:]:
        assert outcome.failure.kind == "quarantined", outcome


def harmless(number):
    return b'{"topic":"harmless-%d"}' % number


@when("20 harmless queries and a deadly one run at the same time")
def step_harmless_and_deadly(context):
    tier = context.tier
    for number in range(20):
        tier.arrive(0, harmless(number))
        if number == 5:
            tier.arrive(0, DEADLY)
    tier.run(300)


@when("a zone is lost under 20 harmless queries")
def step_zone_lost(context):
    tier = context.tier
    for number in range(20):
        tier.arrive(0, harmless(number))
    for server in tier.map.servers:
        if server.zone == "zone-a":
            tier.crash(server.server_id)
    tier.run(300)


@then("all harmless queries are answered in full")
def step_harmless_full(context):
    for number in range(20):
        (outcome,) = context.tier.outcomes(harmless(number))
        assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@then("no harmless body is refused when it comes again")
def step_harmless_again(context):
    tier = context.tier
    tier.restart_all()
    for number in range(20):
        tier.arrive(0, harmless(number))
        tier.run(20)
    for number in range(20):
        outcome = tier.outcomes(harmless(number))[-1]
        assert isinstance(outcome, Answered), outcome


@when("a harmless query's connection is lost and the server says that it runs on")
def step_lost_no_crash(context):
    tier = context.tier
    tier.arrive(0, harmless(0))
    (core,) = tier.cores
    attempt, send = next(iter(core.out.items()))
    core.fail(attempt, AttemptFault.LOST)
    tier.health(core, send.server_id)
    tier.run(100)


@then("nothing was reported as a crash")
def step_no_reports(context):
    assert not context.tier.reports
    (outcome,) = context.tier.outcomes(harmless(0))
    assert isinstance(outcome, Answered)


@given("a core with canaries over {shards:d} shards")
def step_canary_core(context, shards):
    context.core = CoreHarness(make_map(shards), Serve(hedge=0), Policy())


@when("the servers of all shards but {one} and {other} report queues there")
def step_queues_but(context, one, other):
    busy = LoadReport(2, 10)
    for shard in make_map(8).shards:
        if shard.name not in (one, other):
            for server_id in shard.servers:
                context.core.feed(HealthReported(server_id, ServerState.READY, busy, "b1"))


@when("a new body arrives there")
@when("the same body arrives there again")
def step_new_body(context):
    context.sent_before = len(context.core.sent)
    context.core.arrive(body=b"{}")


@then("{count:d} shards of it are out")
def step_shards_out(context, count):
    assert len(context.core.out) == count, context.core.out


@then("just the shards {one} and {other} of it are out")
def step_just_shards_out(context, one, other):
    assert {send.shard for send in context.core.out.values()} == {one, other}, context.core.out


@when("one of them answers")
def step_one_answers(context):
    context.core.answer(next(iter(context.core.out)))


@then("all {count:d} shards of it are out or answered")
@then("{count:d} further shards are out")
def step_all_shards_out(context, count):
    sent = context.core.sent[context.sent_before :]
    assert len(sent) == count and len({send.shard for send in sent}) == count, sent


@when("a harmless query loses its first two connections to servers that run on")
def step_two_lost(context):
    tier = context.tier
    tier.arrive(0, harmless(0))
    (core,) = tier.cores
    for _ in range(2):
        (attempt,) = list(core.out)[:1]
        core.fail(attempt, AttemptFault.LOST)
    tier.run(300)


@then("that query is answered in full")
def step_answered_in_full(context):
    (outcome,) = context.tier.outcomes(harmless(0))
    assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@when("a query loses its connections and probes that were sent before are answered after that")
def step_stale_probes(context):
    tier = context.tier
    (core,) = tier.cores
    asked_at = core.now
    core.advance(STEP)
    tier.arrive(0, DEADLY)
    context.lost = 0
    for _ in range(1000):
        core.advance(STEP)
        if not core.out:
            continue
        attempt, send = next(iter(core.out.items()))
        core.fail(attempt, AttemptFault.LOST)
        context.lost += 1
        boot = f"b{tier.boots[send.server_id]}"
        core.feed(HealthReported(send.server_id, ServerState.READY, None, boot, asked_at))


@then("{count:d} connections were lost at most by that query")
def step_lost_at_most(context, count):
    assert 1 <= context.lost <= count, context.lost
    assert context.tier.outcomes(DEADLY)[-1] is not None
