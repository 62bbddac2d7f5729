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
CRASHING_BODY = b'{"topic":"crashing"}'
STEP_MS = 1.0


class CrashTier:
    """Entries over a shared set of servers; a crashing body crashes each server that runs it."""

    def __init__(self, entries, shards):
        self.map = make_map(shards, replicas=4 if shards == 1 else 2, slots=10)
        serve = Serve(retries=3, hedge=0.05, deadline_ms=2000.0)
        self.cores = [
            CoreHarness(self.map, serve, Policy(), seed=index) for index in range(entries)
        ]
        for index, core in enumerate(self.cores):
            core.core._state.name = f"e{index}"
        self.rng = Random(5)
        self.boot_numbers = {server.server_id: 1 for server in self.map.servers}
        self.crashed = []
        self.down = set()
        self.reports = []
        self.crashed_servers_by_fingerprint = {}
        self.answer_due_at = {}
        self.queries = {}
        for core in self.cores:
            for server_id in self.boot_numbers:
                self.report_health(core, server_id)

    def report_health(self, core, server_id):
        state = ServerState.UNREACHABLE if server_id in self.down else ServerState.READY
        boot = None if server_id in self.down else f"b{self.boot_numbers[server_id]}"
        core.feed(HealthReported(server_id, state, None, boot, core.now))

    def arrive(self, entry, body):
        core = self.cores[entry]
        core.next_query += 1
        query = core.next_query
        request = make_request(query, body=body, request_id=f"r{query}")
        core.feed(QueryArrived(query, request))
        self.queries.setdefault(body, []).append((entry, query))

    def run_for(self, span, crash_after=2.0):
        for _ in range(int(span / STEP_MS)):
            for core in self.cores:
                core.advance(STEP_MS)
            for index, core in enumerate(self.cores):
                self.answer_attempts(index, core, crash_after)
            self.run_control()

    def answer_attempts(self, index, core, crash_after):
        for attempt, send in list(core.out.items()):
            if attempt not in core.out:
                continue
            if send.server_id in self.down:
                core.fail(attempt, AttemptFault.NOT_SENT)
                continue
            key = (index, attempt)
            if key not in self.answer_due_at:
                span = crash_after if send.request.body == CRASHING_BODY else self.rng.uniform(1, 6)
                self.answer_due_at[key] = core.now + span
            if core.now < self.answer_due_at[key]:
                continue
            if send.request.body == CRASHING_BODY:
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

    def run_control(self):
        """Answer probes, collect crash reports by fingerprint, and push quarantines to entries."""
        for core in self.cores:
            effects, core.effects = core.effects, []
            for effect in effects:
                if isinstance(effect, ProbeServer):
                    self.report_health(core, effect.server_id)
                if isinstance(effect, ReportCrash):
                    self.reports.append(effect)
        for core in self.cores:
            effects, core.effects = core.effects, []
            self.reports += [effect for effect in effects if isinstance(effect, ReportCrash)]
        for report in self.reports:
            self.crashed_servers_by_fingerprint.setdefault(report.fingerprint, set()).add(
                report.server_id
            )
        quarantined = frozenset(
            f for f, s in self.crashed_servers_by_fingerprint.items() if len(s) >= CRASH_LIMIT
        )
        for core in self.cores:
            core.feed(LeaseChanged(1e9, {}, quarantined))

    def restart_all(self):
        for server_id in self.down:
            self.boot_numbers[server_id] += 1
        restarted, self.down = self.down, set()
        for core in self.cores:
            for server_id in restarted:
                self.report_health(core, server_id)

    def outcomes(self, body):
        return [self.cores[e].finished.get(q) for e, q in self.queries[body]]


@given("a tier of {entries:d} entry over {shards:d} shard whose servers can crash")
@given("a tier of {entries:d} entry over {shards:d} shards whose servers can crash")
@given("a tier of {entries:d} entries over {shards:d} shards whose servers can crash")
def step_crash_tier(context, entries, shards):
    context.tier = CrashTier(entries, shards)


@when("a crashing query arrives at tier entry {entry:d}")
def step_crashing_query(context, entry):
    context.tier.arrive(entry - 1, CRASHING_BODY)
    context.tier.run_for(100)


@when("it is resent to tier entries 2, 3 and 1")
def step_resend_crashing(context):
    for entry in (1, 2, 0):
        context.tier.arrive(entry, CRASHING_BODY)
        context.tier.run_for(20)


@then("{count:d} servers have crashed")
def step_crashed_count(context, count):
    assert len(context.tier.crashed) == count, context.tier.crashed


@then("its caller gets upstream_failed and must not resend it")
def step_caller_gets_failed(context):
    failure = context.tier.outcomes(CRASHING_BODY)[0].failure
    assert failure.kind == "upstream_failed" and failure.answer.resend == "never", failure
    # After this time the quarantine is in force at every entry that holds a lease.
    assert failure.retry_after_ms >= 1.1 * LEASE_MS, failure


@then("its resends are refused as quarantined")
def step_resends_refused(context):
    for outcome in context.tier.outcomes(CRASHING_BODY)[1:]:
        assert outcome.failure.kind == "quarantined", outcome


def harmless_body(number):
    return b'{"topic":"harmless-%d"}' % number


@when("20 harmless queries and a crashing one run at the same time")
def step_harmless_and_crashing(context):
    tier = context.tier
    for number in range(20):
        tier.arrive(0, harmless_body(number))
        if number == 5:
            tier.arrive(0, CRASHING_BODY)
    tier.run_for(300)


@when("a zone is lost while 20 harmless queries run")
def step_zone_lost(context):
    tier = context.tier
    for number in range(20):
        tier.arrive(0, harmless_body(number))
    for server in tier.map.servers:
        if server.zone == "zone-a":
            tier.crash(server.server_id)
    tier.run_for(300)


@then("all harmless queries are answered in full")
def step_harmless_full(context):
    for number in range(20):
        (outcome,) = context.tier.outcomes(harmless_body(number))
        assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@then("no harmless body is refused when it is resent")
def step_resend_harmless(context):
    tier = context.tier
    tier.restart_all()
    for number in range(20):
        tier.arrive(0, harmless_body(number))
        tier.run_for(20)
    for number in range(20):
        outcome = tier.outcomes(harmless_body(number))[-1]
        assert isinstance(outcome, Answered), outcome


@when("a harmless query's connection is lost and the server is still the same process")
def step_lost_connection(context):
    tier = context.tier
    tier.arrive(0, harmless_body(0))
    (core,) = tier.cores
    attempt, send = next(iter(core.out.items()))
    core.fail(attempt, AttemptFault.LOST)
    tier.report_health(core, send.server_id)
    tier.run_for(100)


@then("no crash was reported")
def step_no_reports(context):
    assert not context.tier.reports
    (outcome,) = context.tier.outcomes(harmless_body(0))
    assert isinstance(outcome, Answered)


@given("a core with canaries over {shards:d} shards")
def step_canary_core(context, shards):
    context.core = CoreHarness(make_map(shards), Serve(hedge=0), Policy())


@when("the servers of all shards but {one} and {other} report queues at the core")
def step_queues_but(context, one, other):
    busy = LoadReport(2, 10)
    for shard in make_map(8).shards:
        if shard.name not in (one, other):
            for server_id in shard.servers:
                context.core.feed(HealthReported(server_id, ServerState.READY, busy, "b1"))


@when("a new body arrives at the core")
@when("the same body arrives at the core again")
def step_new_body(context):
    context.sent_before = len(context.core.sent)
    context.core.arrive(body=b"{}")


@then("{count:d} of its shards are in flight")
def step_shards_out(context, count):
    assert len(context.core.out) == count, context.core.out


@then("only its shards {one} and {other} are in flight")
def step_just_shards_out(context, one, other):
    assert {send.shard for send in context.core.out.values()} == {one, other}, context.core.out


@when("one of them answers")
def step_one_answers(context):
    context.core.answer(next(iter(context.core.out)))


@then("all {count:d} of its shards are in flight or answered")
@then("{count:d} further shards are in flight")
def step_all_shards_out(context, count):
    sent = context.core.sent[context.sent_before :]
    assert len(sent) == count and len({send.shard for send in sent}) == count, sent


@when("a harmless query loses its first two connections to servers that keep running")
def step_two_lost(context):
    tier = context.tier
    tier.arrive(0, harmless_body(0))
    (core,) = tier.cores
    for _ in range(2):
        (attempt,) = list(core.out)[:1]
        core.fail(attempt, AttemptFault.LOST)
    tier.run_for(300)


@then("that query is answered in full")
def step_answered_in_full(context):
    (outcome,) = context.tier.outcomes(harmless_body(0))
    assert isinstance(outcome, Answered) and outcome.coverage == 1.0, outcome


@when("a query loses its connections and then answers to earlier probes arrive")
def step_stale_probes(context):
    tier = context.tier
    (core,) = tier.cores
    asked_at = core.now
    core.advance(STEP_MS)
    tier.arrive(0, CRASHING_BODY)
    context.lost_count = 0
    for _ in range(1000):
        core.advance(STEP_MS)
        if not core.out:
            continue
        attempt, send = next(iter(core.out.items()))
        core.fail(attempt, AttemptFault.LOST)
        context.lost_count += 1
        boot = f"b{tier.boot_numbers[send.server_id]}"
        core.feed(HealthReported(send.server_id, ServerState.READY, None, boot, asked_at))


@then("that query has lost at most {count:d} connections")
def step_lost_at_most(context, count):
    assert 1 <= context.lost_count <= count, context.lost_count
    assert context.tier.outcomes(CRASHING_BODY)[-1] is not None
