from __future__ import annotations

import socket

from behave import given, then, when

from features.support.cli_support import KEY, ScriptedControls, call, key_file


@given("{count:d} scripted control hosts of which number {leader:d} is the leader")
def step_controls(context, count, leader):
    context.controls = ScriptedControls(leader)
    context.controls.start(count)
    context.add_cleanup(context.controls.stop)
    context.cli_places = context.controls.places


@given("{count:d} scripted control hosts without a leader")
def step_no_leader(context, count):
    step_controls(context, count, 0)


@given("control hosts that are all down")
def step_all_down(context):
    # Bound but not listening: connections are refused, and no other test that runs at the same
    # time is given these ports by the kernel.
    sockets = [socket.socket() for _ in range(2)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
        context.add_cleanup(sock.close)
    context.cli_places = ",".join(f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets)


@given("the scripted leader loses its next answer after applying the change")
def step_lose_one(context):
    context.controls.lose = 1


@given("the scripted leader loses all its answers to changes")
def step_lose_all(context):
    context.controls.lose = 1_000_000


@given('the scripted entry "{name}" confirms nothing')
def step_unconfirmed(context, name):
    context.controls.unconfirmed = [name]


def _withdraw(context, rule, *more, timeout="10"):
    words = ["--control", context.cli_places, "--key-file", key_file(context)]
    words += ["--timeout", timeout, "rules", "withdraw", rule, *more]
    call(context, *words)


@when('the operator withdraws rule "{rule}"')
def step_withdraw(context, rule):
    _withdraw(context, rule)


@when('the operator withdraws rule "{rule}" within 1 second')
def step_withdraw_soon(context, rule):
    _withdraw(context, rule, timeout="1")


@when('the operator withdraws rule "{rule}" with change id "{change_id}" on revision {revision:d}')
def step_withdraw_id(context, rule, change_id, revision):
    _withdraw(context, rule, "--change-id", change_id, "--expect-revision", str(revision))


@when('the operator withdraws rule "{rule}" and waits until it is in force')
def step_withdraw_wait(context, rule):
    _withdraw(context, rule, "--wait", "in-force")


@then("the leader was sent exactly one change with the id that the command showed, on revision 7")
def step_shown_id(context):
    assert len(context.controls.seen_ids) == 1
    shown = f"change id {context.controls.seen_ids[0]}, on revision 7"
    assert shown in context.cli.stderr, context.cli.stderr
    assert context.controls.bodies[0]["expected_revision"] == 7


@then("the scripted control hosts applied {count:d} change")
def step_applied(context, count):
    assert context.controls.applied == count


@then("the scripted control hosts saw the same change id {count:d} times")
def step_same_id(context, count):
    seen = context.controls.seen_ids
    assert len(seen) == count and len(set(seen)) == 1, seen


@then("the command printed nothing of the key")
def step_no_key(context):
    assert KEY not in context.cli.output and context.cli.output
