from __future__ import annotations

import socket

from behave import given, then, when

from features.support.cli_support import KEY, ScriptedControls, call, key_file


@given("{count:d} scripted control hosts of which number {leader:d} is the leader")
def step_controls(context, count, leader):
    context.controls = ScriptedControls(leader)
    context.controls.start(count)
    context.add_cleanup(context.controls.stop)
    context.cli_endpoints = context.controls.endpoints


@given("{count:d} scripted control hosts without a leader")
def step_no_leader(context, count):
    step_controls(context, count, 0)


@given("control hosts that are all down")
def step_all_down(context):
    # The sockets are bound but do not listen: connections are refused, and the kernel gives these
    # ports to no other test that runs at the same time.
    sockets = [socket.socket() for _ in range(2)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
        context.add_cleanup(sock.close)
    context.cli_endpoints = ",".join(f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets)


@given("the scripted leader loses its next answer after applying the change")
def step_drop_one_answer(context):
    context.controls.answers_to_drop = 1


@given("the scripted leader loses all its answers to changes")
def step_drop_all_answers(context):
    context.controls.answers_to_drop = 1_000_000


@given('the scripted entry "{name}" confirms nothing')
def step_unconfirmed(context, name):
    context.controls.unconfirmed = [name]


def _withdraw(context, rule, *options, timeout="10"):
    arguments = ["--control", context.cli_endpoints, "--key-file", key_file(context)]
    arguments += ["--timeout", timeout, "rules", "withdraw", rule, *options]
    call(context, *arguments)


@when('the operator withdraws rule "{rule}"')
def step_withdraw(context, rule):
    _withdraw(context, rule)


@when('the operator withdraws rule "{rule}" within 1 second')
def step_withdraw_soon(context, rule):
    _withdraw(context, rule, timeout="1")


@when('the operator withdraws rule "{rule}" with change ID "{change_id}" on revision {revision:d}')
def step_withdraw_id(context, rule, change_id, revision):
    _withdraw(context, rule, "--change-id", change_id, "--expect-revision", str(revision))


@when('the operator withdraws rule "{rule}" and waits until it is in force')
def step_withdraw_wait(context, rule):
    _withdraw(context, rule, "--wait", "in-force")


@then("the leader was sent exactly one change with the ID that the command printed, on revision 7")
def step_printed_id(context):
    assert len(context.controls.received_ids) == 1
    printed = f"change ID {context.controls.received_ids[0]}, on revision 7"
    assert printed in context.cli.stderr, context.cli.stderr
    assert context.controls.bodies[0]["expected_revision"] == 7


@then("the scripted control hosts applied {count:d} change")
def step_applied(context, count):
    assert context.controls.applied == count


@then("the scripted control hosts received the same change ID {count:d} times")
def step_same_id(context, count):
    received = context.controls.received_ids
    assert len(received) == count and len(set(received)) == 1, received


@then("the command did not print the key")
def step_no_key(context):
    assert KEY not in context.cli.output and context.cli.output
