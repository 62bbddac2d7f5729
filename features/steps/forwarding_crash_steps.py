from __future__ import annotations

from random import Random
from types import SimpleNamespace

from behave import given, then, when

from alderhatch.clock import SECOND, ManualClock
from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.crash_counter import CrashCounter
from alderhatch.node.node_state import NodeState
from alderhatch.platform.settings import POLICY
from features.support.forward_model import TERMS


@given("a node's beliefs and a leader's tally")
def step_beliefs(context):
    context.clock = ManualClock()
    context.beliefs = NodeState("host", "zone", None, None, TERMS, POLICY, context.clock, Random(1))
    context.tally = CrashCounter()


def saw(context, request, server, fault):
    target = SimpleNamespace(upstream="kitchen", server_id=server)
    context.beliefs.record_attempt(request, target, fault, context.clock.now())


def report(context):
    for fingerprint, server_id in context.beliefs.take_crash_reports():
        context.tally.report(fingerprint, server_id, context.clock.now())


@when(
    'request "{request}" is lost on server "{server}", which then takes no connection, '
    "and the host reports"
)
def step_crash(context, request, server):
    saw(context, request, server, AttemptFault.LOST)
    context.clock.advance(400.0)
    saw(context, "other", server, AttemptFault.NOT_SENT)
    report(context)
    context.clock.advance(1 * SECOND)


@when('request "r1" meets {trouble}')
def step_trouble(context, trouble):
    match trouble:
        case "two lost answers on servers that go on":
            saw(context, "r1", "s1", AttemptFault.LOST)
            saw(context, "r1", "s2", AttemptFault.LOST)
        case "a lost answer and a server that takes no connection":
            saw(context, "r1", "s1", AttemptFault.LOST)
            saw(context, "r2", "s2", AttemptFault.NOT_SENT)
        case "two lost servers after it was answered once":
            saw(context, "r1", "s3", None)
            for server in ("s1", "s2"):
                saw(context, "r1", server, AttemptFault.LOST)
                saw(context, "r2", server, AttemptFault.NOT_SENT)
        case "the loss of four servers at the same moment":
            for server in ("s1", "s2", "s3", "s4"):
                saw(context, "r1", server, AttemptFault.LOST)
            for server in ("s1", "s2", "s3", "s4"):
                saw(context, "r2", server, AttemptFault.NOT_SENT)
        case _:
            raise AssertionError(trouble)
    report(context)


@then('the tally refuses "{request}" everywhere')
def step_refused_everywhere(context, request):
    assert context.tally.refused(context.clock.now()) == [request]


@then("the tally refuses nothing")
def step_refuses_nothing(context):
    assert context.tally.refused(context.clock.now()) == []


@then('the host itself refuses "r1" and not "r2"')
def step_host_refuses(context):
    assert context.beliefs.is_quarantined("r1")
    assert not context.beliefs.is_quarantined("r2")


@then('the host itself refuses neither "r1" nor "r2"')
def step_host_refuses_none(context):
    assert not context.beliefs.is_quarantined("r1")
    assert not context.beliefs.is_quarantined("r2")


@then("two crashes 61 s apart refuse nothing, and a quarantine is over after 600 s")
def step_forgotten(context):
    tally = context.tally
    assert not tally.report("r1", "s1", 0.0)
    assert not tally.report("r1", "s2", 61 * SECOND)
    assert tally.report("r1", "s3", 62 * SECOND)
    assert tally.refused(661 * SECOND) == ["r1"]
    assert tally.refused(662 * SECOND) == []


@when('the leader says that "{request}" is quarantined, and is heard of no more')
def step_told(context, request):
    context.beliefs.apply_quarantine([request])


@then('the host refuses "{first}" and "{second}" for {held:d} s and not after {over:d} s')
def step_lifted(context, first, second, held, over):
    begun = context.clock.now()
    context.clock.advance(held * SECOND)
    assert context.beliefs.is_quarantined(first) and context.beliefs.is_quarantined(second)
    context.clock.advance(begun + over * SECOND - context.clock.now())
    assert not context.beliefs.is_quarantined(first)
    assert not context.beliefs.is_quarantined(second)
