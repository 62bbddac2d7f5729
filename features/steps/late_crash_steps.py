from __future__ import annotations

from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.core.crash_detector import CrashDetector
from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.crash_counter import CRASH_RETENTION, DECISION_DELAY, CrashCounter
from features.steps.caller_hosts_steps import UPSTREAM, node_with_servers
from features.support.crash_model import deliver_reports

BODY = "a body"
SERVERS = ("server-1", "server-2")
QUARANTINE = 600 * SECOND


@given("a body that was lost on two servers, {between}")
def step_lost(context, between):
    watch = context.watch = CrashDetector(QUARANTINE)
    for server in SERVERS:
        watch.record_loss(BODY, "an upstream", server, 0.0)
    if "ran on" in between:
        for server in SERVERS:
            watch.record_alive(server, 10.0)


@when("each of them is seen {seconds:d} s later to be {seen}")
def step_seen(context, seconds, seen):
    context.now = seconds * SECOND
    for server in SERVERS:
        context.watch.confirm_crashes(server, context.now, seen == "another process")


@then("the body is held to crash servers")
def step_blamed(context):
    assert context.watch.is_quarantined(BODY, context.now)


@then("the body is not blamed")
def step_not_blamed(context):
    assert not context.watch.is_quarantined(BODY, context.now)


@given("a host that has told its leader of a crash, and a leader that never heard of it")
def step_reported(context):
    host = context.state = node_with_servers(context, "host-0", 28)
    (target,) = host.table.upstream(UPSTREAM).targets.values()
    guard = host.crash_guard
    guard.record_attempt(BODY, target, AttemptFault.LOST, False, context.clock.now())
    guard.record_refused(target.server_id)
    assert len(guard.take_reports()) == 1
    assert guard.take_reports() == []
    context.crash_counter = CrashCounter()


@when("the host follows the new leader, and another host reports the body's second crash")
def step_second(context):
    context.state.on_new_leader()
    now = context.clock.now()
    deliver_reports(context.state.crash_guard, context.crash_counter, now)
    context.crash_counter.report_crash(BODY, "another server", now)


@then("the new leader has the body refused everywhere")
def step_refused(context):
    assert context.crash_counter.decide(context.clock.now() + DECISION_DELAY) == [BODY]


@then("a host that follows a leader 61 s after a crash reports it no more")
def step_forgotten(context):
    context.clock.advance(CRASH_RETENTION + SECOND)
    context.state.on_new_leader()
    assert context.state.crash_guard.take_reports() == []
