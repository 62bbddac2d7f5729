from __future__ import annotations

from random import Random
from types import SimpleNamespace

from behave import given, then, when

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.crash_counter import DECISION_DELAY, CrashCounter, SuspectKey
from alderhatch.core.forwarding.crash_evidence import CONCLUDE_DELAY, Suspicion
from alderhatch.core.forwarding.effects import Send
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.run_limits import RunTimes
from alderhatch.core.server_view import NEVER
from alderhatch.node.crash_guard import MAX_CRASH_REPORTS
from alderhatch.node.node_state import NodeState
from alderhatch.node.tier_messages import RequestMark, read_mark
from alderhatch.platform.settings import POLICY
from features.support.crash_model import deliver_reports
from features.support.forward_model import BUDGET_LIMITS, ForwardModel, single_route


@given("a suspect on a route with 2 servers that is {kind}")
def step_suspect(context, kind):
    model = ForwardModel()
    model.add_upstream("kitchen", 20.0)
    context.suspect_run = ForwardRun(
        single_route("kitchen", idempotent=kind == "idempotent"),
        ("kitchen",),
        RunTimes(0.0, 500.0, 8 * SECOND),
        model.tables[0],
        suspicion=Suspicion(),
    )


@when("its server has said nothing for {seconds:d} s")
def step_silent(context, seconds):
    run = context.suspect_run
    effects = run.start(0.0)
    while run.next_wake < seconds * SECOND:
        effects += run.on_timer(run.next_wake)
    context.sends = [effect for effect in effects if isinstance(effect, Send)]


@then("it was sent to {count:d} servers")
def step_sent(context, count):
    assert len({send.target.server_id for send in context.sends}) == count, context.sends
    assert len(context.sends) == count, context.sends


def new_state(clock):
    return NodeState("host", "zone", None, None, BUDGET_LIMITS, POLICY, clock, Random(1))


@given("a node's state and a leader's crash counter")
def step_state(context):
    context.clock = ManualClock()
    context.state = new_state(context.clock)
    context.crash_counter = CrashCounter()


def record_attempt(context, request, server, fault, in_trial=False, upstream="kitchen"):
    target = SimpleNamespace(upstream=upstream, server_id=server)
    guard = context.state.crash_guard
    guard.record_attempt(request, target, fault, in_trial, context.clock.now())


def refuse_connection(context, server):
    context.state.crash_guard.record_refused(server)


def report(context):
    """Report to the leader, which decides a moment later."""
    context.clock.advance(CONCLUDE_DELAY)
    deliver_reports(context.state.crash_guard, context.crash_counter, context.clock.now())
    context.clock.advance(DECISION_DELAY)
    context.crash_counter.decide(context.clock.now())
    context.state.crash_guard.apply_quarantine(context.crash_counter.refused(context.clock.now()))
    context.state.crash_guard.apply_suspects(context.crash_counter.suspects(context.clock.now()))


def crash(context, request, server, in_trial):
    record_attempt(context, request, server, AttemptFault.LOST, in_trial)
    context.clock.advance(400.0)
    refuse_connection(context, server)
    report(context)
    context.clock.advance(1 * SECOND)


@when(
    'request "{request}" is lost on server "{server}", which then refuses connections, '
    "and the host reports"
)
def step_crash(context, request, server):
    crash(context, request, server, False)


@when(
    'request "{request}" is lost on server "{server}" in a trial, which then refuses connections, '
    "and the host reports"
)
def step_crash_in_trial(context, request, server):
    crash(context, request, server, True)


@when('another host reports that "{request}" was lost on server "{server}"')
def step_other_host(context, request, server):
    key = SuspectKey(request, "kitchen")
    context.crash_counter.report_loss(key, server, context.clock.now())
    report(context)


@when('request "r1" encounters {event}')
def step_event(context, event):
    guard = context.state.crash_guard
    match event:
        case "two lost answers on servers that keep running":
            for server in ("s1", "s2"):
                record_attempt(context, "r1", server, AttemptFault.LOST)
                context.clock.advance(1.0)
                guard.record_accepted(server, context.clock.now())
        case "a lost answer and a server that accepts no connection":
            record_attempt(context, "r1", "s1", AttemptFault.LOST)
            refuse_connection(context, "s2")
        case "two lost servers after which it was answered once":
            for server in ("s1", "s2"):
                record_attempt(context, "r1", server, AttemptFault.LOST)
                refuse_connection(context, server)
            context.clock.advance(1.0)
            record_attempt(context, "r1", "s3", None)
        case "the loss of four servers at the same moment":
            for server in ("s1", "s2", "s3", "s4"):
                record_attempt(context, "r1", server, AttemptFault.LOST)
            for server in ("s1", "s2", "s3", "s4"):
                refuse_connection(context, server)
        case "a trial in which its server is lost with two others":
            lose_without_trial(context, "s1", "s2")
            record_attempt(context, "r1", "s3", AttemptFault.LOST, in_trial=True)
            for server in ("s3", "s4", "s5"):
                refuse_connection(context, server)
        case "a trial in which its connection is lost and the server is not":
            lose_without_trial(context, "s1", "s2")
            record_attempt(context, "r1", "s3", AttemptFault.LOST, in_trial=True)
            context.clock.advance(1.0)
            guard.record_accepted("s3", context.clock.now())
        case _:
            raise AssertionError(event)
    report(context)


def lose_trials(context, *servers, upstream="kitchen"):
    """Lose a trial on each server at the same moment, while two others end."""
    for server in servers:
        record_attempt(context, "r1", server, AttemptFault.LOST, True, upstream)
    for server in (*servers, f"{servers[0]}-other-1", f"{servers[0]}-other-2"):
        refuse_connection(context, server)


@when('"r1" is lost in trials while two other servers end, {how}')
def step_trials(context, how):
    counter = context.crash_counter
    lose_without_trial(context, "s1", "s2")
    lose_trials(context, *(["s3", "s4"] if how == "twice at one moment" else ["s3"]))
    if how.endswith('lost "r2", too'):
        record_attempt(context, "r2", "s3", AttemptFault.LOST)
    report(context)
    if how == "twice, and answered between":
        record_attempt(context, "r1", "s5", None)
    if how.startswith("twice") and how != "twice at one moment":
        lose_trials(context, "s4")
    if how.startswith("once here"):
        counter.report_trial(SuspectKey("r1"), "s4", context.clock.now())
    if how.endswith('tries "r2" there'):
        counter.report_trial(SuspectKey("r2"), "s4", context.clock.now())
    if how.endswith('loses "r2" there'):
        counter.report_loss(SuspectKey("r2"), "s4", context.clock.now())
    report(context)


@when('"{requests}" are lost in trials at one moment, while {others:d} other servers end')
def step_trials_at_once(context, requests, others):
    for request in requests.split():
        for server in (f"{request}-s1", f"{request}-s2"):
            record_attempt(context, request, server, AttemptFault.LOST)
            refuse_connection(context, server)
    context.clock.advance(1 * SECOND)
    tried = [f"{request}-tried" for request in requests.split()]
    for request, server in zip(requests.split(), tried, strict=True):
        record_attempt(context, request, server, AttemptFault.LOST, in_trial=True)
    for server in (*tried, *(f"other-{number}" for number in range(others))):
        refuse_connection(context, server)
    report(context)


@when('"r1" is lost in two trials of which no leader hears, while others end, and {between}')
def step_trials_without_leader(context, between):
    context.state.crash_guard.leader_heard_at = lambda: NEVER
    lose_two_trials(context, between != "nothing happens between")


@when('"r1" is lost in two trials, while others end, and the leader was heard {ago:d} ms ago')
def step_trials_with_leader(context, ago):
    context.state.crash_guard.leader_heard_at = lambda: context.clock.now() - ago
    lose_two_trials(context, is_answered_between=False)


def lose_two_trials(context, is_answered_between):
    lose_without_trial(context, "s1", "s2")
    lose_trials(context, "s3")
    context.clock.advance(1 * SECOND)
    if is_answered_between:
        record_attempt(context, "r1", "o1", None, upstream="deskline")
    lose_trials(context, "s4", upstream="linenlog")
    context.clock.advance(CONCLUDE_DELAY)


@when(
    'hosts report that "r1" crashed "{servers}", its trial on "{own}", '
    'and {kind} of "r2" on "{other}"'
)
def step_reported_trials(context, servers, own, kind, other):
    report_trials(context, servers, own, kind, other)


@when(
    'hosts report that "r1" crashed "{servers}", its trial on "", and {kind} of "r2" on "{other}"'
)
def step_reported_no_trial(context, servers, kind, other):
    report_trials(context, servers, None, kind, other)


def report_trials(context, servers, own, kind, other):
    counter = context.crash_counter
    for server in servers.split():
        counter.report_crash("r1", server, context.clock.now())
    if own is not None:
        counter.report_trial(SuspectKey("r1", "kitchen"), own, context.clock.now())
    report_other = counter.report_trial if kind == "a trial" else counter.report_shared_trial
    for server in other.split():
        report_other(SuspectKey("r2", "kitchen"), server, context.clock.now())
    context.clock.advance(DECISION_DELAY)
    counter.decide(context.clock.now())


@when('the leader hears of a second trial of "r1" {seconds:d} s later, on "{server}"')
def step_second_trial(context, seconds, server):
    context.clock.advance(seconds * SECOND)
    context.crash_counter.report_trial(SuspectKey("r1", "kitchen"), server, context.clock.now())
    context.clock.advance(DECISION_DELAY)
    context.crash_counter.decide(context.clock.now())


@when('"r1" is lost in a trial, answered, and then the host finds a new leader')
def step_answered_before_new_leader(context):
    crash(context, "r1", "s1", False)
    crash(context, "r1", "s2", False)
    crash(context, "r1", "s3", True)
    record_attempt(context, "r1", "s4", None)
    context.state.crash_guard.on_new_leader()


@then('the host tells it only that "r1" was answered')
def step_only_answered(context):
    reports = context.state.crash_guard.take_reports()
    told = [read_mark(one.fingerprint) for one in reports]
    assert {one.mark for one in told} == {RequestMark.ANSWERED}, told
    assert {one.key.fingerprint for one in told} == {"r1"}, told


@when('"r1" is lost on two servers, and {gap:d} ms later in a trial, while no other server ends')
def step_first_trial(context, gap):
    for server in ("s1", "s2"):
        record_attempt(context, "r1", server, AttemptFault.LOST)
    context.clock.advance(gap)
    record_attempt(context, "r1", "s3", AttemptFault.LOST, in_trial=True)
    for server in ("s1", "s2", "s3"):
        refuse_connection(context, server)
    report(context)


@when('"r1" is lost on {count:d} servers, and then in a trial')
def step_many_lost(context, count):
    guard = context.state.crash_guard
    lose_without_trial(context, *(f"s{number}" for number in range(count)))
    while guard.take_reports():
        pass
    record_attempt(context, "r1", "tried", AttemptFault.LOST, in_trial=True)
    refuse_connection(context, "tried")
    context.clock.advance(CONCLUDE_DELAY)


@then("the host's first report to the leader names the trial")
def step_trial_first(context):
    reports = context.state.crash_guard.take_reports()
    marks = {read_mark(one.fingerprint).mark: one.server_id for one in reports}
    assert len(reports) == MAX_CRASH_REPORTS, len(reports)
    assert marks.get(RequestMark.TRIAL) == "tried", marks


@when('hosts report of "r1" on one server, one after another: {reports}')
def step_reports_in_order(context, reports):
    counter = context.crash_counter
    key = SuspectKey("r1")
    for kind in reports.split(", "):
        match kind:
            case "crash":
                counter.report_crash("r1", "s1", context.clock.now())
            case "trial":
                counter.report_trial(key, "s1", context.clock.now())
            case "loss":
                counter.report_loss(key, "s1", context.clock.now())
        context.clock.advance(10.0)


@then("the leader still holds it for a crash and a trial")
def step_both_kept(context):
    counter = context.crash_counter
    context.clock.advance(1 * SECOND)
    assert counter.decide(context.clock.now()) == []
    # An answer drops what was reported of a request that is not held to have crashed any server.
    counter.report_answer(SuspectKey("r1"))
    # One trial is decisive only together with another one.
    counter.report_trial(SuspectKey("r1"), "s2", context.clock.now())
    context.clock.advance(DECISION_DELAY)
    assert counter.decide(context.clock.now()) == ["r1"]


def lose_without_trial(context, *servers):
    for server in servers:
        record_attempt(context, "r1", server, AttemptFault.LOST)
        refuse_connection(context, server)
    context.clock.advance(1 * SECOND)


@when(
    'hosts report within 100 ms that "{first}" crashed servers "{servers}", '
    'and "{second}" servers "{shared}"'
)
def step_shared(context, first, servers, second, shared):
    counter = context.crash_counter
    for server in shared.split():
        counter.report_crash(second, server, context.clock.now())
    context.clock.advance(100.0)
    for server in servers.split():
        counter.report_crash(first, server, context.clock.now())
    for _ in range(4):
        context.clock.advance(DECISION_DELAY / 2)
        counter.decide(context.clock.now())


@when('another host reports {seconds:d} s later that "{request}" crashed servers "{servers}"')
def step_late_report(context, seconds, request, servers):
    context.clock.advance(seconds * SECOND)
    for server in servers.split():
        context.crash_counter.report_crash(request, server, context.clock.now())
    context.clock.advance(DECISION_DELAY)
    context.crash_counter.decide(context.clock.now())


@when(
    'request "{request}" is lost on two servers of "{upstream}", and "{other}" answers after each'
)
def step_one_shard(context, request, upstream, other):
    for server in ("s1", "s2"):
        record_attempt(context, request, server, AttemptFault.LOST, upstream=upstream)
        refuse_connection(context, server)
        context.clock.advance(4 * SECOND)
        record_attempt(context, request, "o1", None, upstream=other)


@then('the trial of "{request}" goes to "{upstream}"')
def step_trial_upstream(context, request, upstream):
    assert context.state.crash_guard.suspicion(request).upstream == upstream


@when('a server answers "{request}"')
def step_answered(context, request):
    record_attempt(context, request, "s9", None)


@then('the host and the leader suspect "{request}", and not "{other}"')
def step_suspected(context, request, other):
    assert context.crash_counter.suspects(context.clock.now()) == [SuspectKey(request, "kitchen")]
    assert context.state.crash_guard.suspicion(request) is not None
    assert context.state.crash_guard.suspicion(other) is None
    assert not context.state.crash_guard.is_quarantined(request)


@then('the leader suspects "{request}"')
def step_leader_suspects(context, request):
    suspects = context.crash_counter.suspects(context.clock.now())
    assert [key.fingerprint for key in suspects] == [request]


@then('the host suspects "{request}"')
def step_host_suspects(context, request):
    assert context.state.crash_guard.suspicion(request) is not None


@then('the host does not suspect "{request}"')
def step_host_does_not_suspect(context, request):
    assert context.state.crash_guard.suspicion(request) is None


@then('the crash counter refuses "{requests}" everywhere')
def step_refused_everywhere(context, requests):
    assert context.crash_counter.refused(context.clock.now()) == requests.split()


@then("the crash counter refuses nothing")
def step_refuses_nothing(context):
    assert context.crash_counter.refused(context.clock.now()) == []


@then('the host itself refuses "{request}" and not "{other}"')
def step_host_refuses(context, request, other):
    assert context.state.crash_guard.is_quarantined(request)
    assert not context.state.crash_guard.is_quarantined(other)


@then('the host itself refuses neither "r1" nor "r2"')
def step_host_refuses_none(context):
    assert not context.state.crash_guard.is_quarantined("r1")
    assert not context.state.crash_guard.is_quarantined("r2")


@then("two crashes 61 s apart cause no quarantine, and a quarantine ends after 600 s")
def step_forgotten(context):
    counter = context.crash_counter
    counter.report_crash("r1", "s1", 0.0)
    assert counter.decide(SECOND) == []
    counter.report_crash("r1", "s2", 61 * SECOND)
    assert counter.decide(61.5 * SECOND) == []
    counter.report_crash("r1", "s3", 62 * SECOND)
    assert counter.decide(62.5 * SECOND) == ["r1"]
    assert counter.refused(662 * SECOND) == ["r1"]
    assert counter.refused(662.5 * SECOND) == []


@when('the leader reports that "{requests}" are quarantined, and then stops responding')
@when('the leader reports that "" are quarantined, and then stops responding')
def step_told(context, requests=""):
    context.state.crash_guard.apply_quarantine(requests.split())


@when("{seconds:d} s later the host is restarted from its checkpoint")
def step_restarted(context, seconds):
    context.clock.advance(seconds * SECOND)
    kept = context.state.crash_guard.quarantines()
    context.state = new_state(context.clock)
    context.state.crash_guard.restore_quarantines(kept)


@then('the host refuses "{first}" and "{second}" for {held:d} s and not after {over:d} s')
def step_lifted(context, first, second, held, over):
    check_lifted(context, (first, second), held, over)


@then('the host refuses "{request}" for {held:d} s and not after {over:d} s')
def step_lifted_one(context, request, held, over):
    check_lifted(context, (request,), held, over)


def check_lifted(context, requests, held, over):
    guard = context.state.crash_guard
    start = context.clock.now()
    context.clock.advance(held * SECOND)
    assert all(guard.is_quarantined(request) for request in requests)
    context.clock.advance(start + over * SECOND - context.clock.now())
    assert not any(guard.is_quarantined(request) for request in requests)
