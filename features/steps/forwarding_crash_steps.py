from __future__ import annotations

from random import Random
from types import SimpleNamespace

from behave import given, then, when

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.crash_counter import CrashCounter
from alderhatch.node.node_state import NodeState
from alderhatch.platform.settings import POLICY
from features.support.forward_model import BUDGET_LIMITS


@given("a node's state and a leader's crash counter")
def step_beliefs(context):
    context.clock = ManualClock()
    context.state = NodeState(
        "host", "zone", None, None, BUDGET_LIMITS, POLICY, context.clock, Random(1)
    )
    context.crash_counter = CrashCounter()


def record_attempt(context, request, server, fault):
    target = SimpleNamespace(upstream="kitchen", server_id=server)
    context.state.record_attempt(request, target, fault, context.clock.now())


def report(context):
    for fingerprint, server_id in context.state.take_crash_reports():
        context.crash_counter.report(fingerprint, server_id, context.clock.now())


@when(
    'request "{request}" is lost on server "{server}", which then refuses connections, '
    "and the host reports"
)
def step_crash(context, request, server):
    record_attempt(context, request, server, AttemptFault.LOST)
    context.clock.advance(400.0)
    record_attempt(context, "other", server, AttemptFault.NOT_SENT)
    report(context)
    context.clock.advance(1 * SECOND)


@when('request "r1" encounters {event}')
def step_event(context, event):
    match event:
        case "two lost answers on servers that keep running":
            record_attempt(context, "r1", "s1", AttemptFault.LOST)
            record_attempt(context, "r1", "s2", AttemptFault.LOST)
        case "a lost answer and a server that accepts no connection":
            record_attempt(context, "r1", "s1", AttemptFault.LOST)
            record_attempt(context, "r2", "s2", AttemptFault.NOT_SENT)
        case "two lost servers after it was answered once":
            record_attempt(context, "r1", "s3", None)
            for server in ("s1", "s2"):
                record_attempt(context, "r1", server, AttemptFault.LOST)
                record_attempt(context, "r2", server, AttemptFault.NOT_SENT)
        case "the loss of four servers at the same moment":
            for server in ("s1", "s2", "s3", "s4"):
                record_attempt(context, "r1", server, AttemptFault.LOST)
            for server in ("s1", "s2", "s3", "s4"):
                record_attempt(context, "r2", server, AttemptFault.NOT_SENT)
        case _:
            raise AssertionError(event)
    report(context)


@then('the crash counter refuses "{request}" everywhere')
def step_refused_everywhere(context, request):
    assert context.crash_counter.refused(context.clock.now()) == [request]


@then("the crash counter refuses nothing")
def step_refuses_nothing(context):
    assert context.crash_counter.refused(context.clock.now()) == []


@then('the host itself refuses "r1" and not "r2"')
def step_host_refuses(context):
    assert context.state.is_quarantined("r1")
    assert not context.state.is_quarantined("r2")


@then('the host itself refuses neither "r1" nor "r2"')
def step_host_refuses_none(context):
    assert not context.state.is_quarantined("r1")
    assert not context.state.is_quarantined("r2")


@then("two crashes 61 s apart cause no quarantine, and a quarantine ends after 600 s")
def step_forgotten(context):
    crash_counter = context.crash_counter
    assert not crash_counter.report("r1", "s1", 0.0)
    assert not crash_counter.report("r1", "s2", 61 * SECOND)
    assert crash_counter.report("r1", "s3", 62 * SECOND)
    assert crash_counter.refused(661 * SECOND) == ["r1"]
    assert crash_counter.refused(662 * SECOND) == []


@when('the leader reports that "{request}" is quarantined, and then stops responding')
def step_told(context, request):
    context.state.apply_quarantine([request])


@then('the host refuses "{first}" and "{second}" for {held:d} s and not after {over:d} s')
def step_lifted(context, first, second, held, over):
    start = context.clock.now()
    context.clock.advance(held * SECOND)
    assert context.state.is_quarantined(first) and context.state.is_quarantined(second)
    context.clock.advance(start + over * SECOND - context.clock.now())
    assert not context.state.is_quarantined(first)
    assert not context.state.is_quarantined(second)
