from __future__ import annotations

import signal
import threading
import time

from behave import given, then, when

from features.support.tier import Tier, until


@given("{count:d} running control programs")
def step_programs(context, count):
    context.tier = Tier(controls=count, entries=0)
    context.add_cleanup(context.tier.close)
    context.tier.start()


def _change(tier, number):
    rule = {"name": f"rule-{number}", "then": {}}
    body = {"change_id": f"c-{number}", "expected_revision": number, "rule": rule}

    def send():
        reply = tier.operator(tier.leader(), "POST", "/v1/rules", body)
        assert reply is None or reply.status in (200, 503, 504), (number, reply)
        return reply is not None and reply.status == 200 and reply.body

    return until(send, f"change {number}")


@when("{count:d} changes are sent one after the other and the leader is killed halfway")
def step_changes_and_kill(context, count):
    for number in range(count):
        if number == count // 2:
            context.killed = context.tier.leader()
            context.tier.controls[context.killed].kill()
        answer = _change(context.tier, number)
        assert answer["revision"] == number + 1, answer


@then("the revision is {revision:d} and the history shows each change once")
def step_history_whole(context, revision):
    body = context.tier.get_from_leader("/v1/history?limit=200")
    assert body["revision"] == revision
    change_ids = [item["change_id"] for item in reversed(body["changes"])]
    assert change_ids == [f"c-{number}" for number in range(revision)]


@when("the killed host is started again")
def step_start_again(context):
    context.tier.controls[context.killed].start()


def _read_rules(tier, name):
    reply = tier.operator(name, "GET", "/v1/rules?stale=true")
    return reply is not None and reply.status == 200 and reply.body


def _wait_until_all_show(tier, rules):
    for name in tier.controls:
        until(lambda name=name: _read_rules(tier, name) == rules, f"{name} shows the rules")


@then("it reaches the same rules and revision as the others")
def step_rules_caught_up(context):
    context.rules = context.tier.get_from_leader("/v1/rules")
    until(lambda: _read_rules(context.tier, context.killed) == context.rules, "the same rules")


@when("all control programs are killed and started again")
def step_kill_all(context):
    for program in context.tier.controls.values():
        program.kill()
    for program in context.tier.controls.values():
        program.start()


@then("the rules and the revision are the same as before")
def step_rules_unchanged(context):
    assert context.tier.get_from_leader("/v1/rules") == context.rules
    _wait_until_all_show(context.tier, context.rules)


@when("the leading program gets SIGTERM")
def step_term(context):
    context.old = context.tier.leader()
    context.exit_code = context.tier.controls[context.old].stop()


@then("it exits with code 0 after a leadership transfer to another host")
def step_leadership_transferred(context):
    log = context.tier.controls[context.old].log()
    assert context.exit_code == 0, log
    assert "control_follows" in log
    assert context.tier.leader() != context.old


@given("{count:d} running control programs and an entry that has stopped to confirm changes")
def step_silent_entry(context, count):
    context.tier = Tier(controls=count, entries=1)
    context.add_cleanup(context.tier.close)
    context.tier.start()
    context.tier.leader()
    context.tier.entries["entry-1"].send(signal.SIGSTOP)


def _stop_leader_during_change(context, query, wait):
    """Send a change to the leader, and SIGTERM while the change is in progress."""
    tier = context.tier
    context.old = tier.leader()
    rule = {"name": "rule-0", "then": {}}
    body = {"change_id": "c-0", "expected_revision": 0, "rule": rule}
    replies = []

    def send():
        replies.append(tier.operator(context.old, "POST", f"/v1/rules{query}", body))

    thread = threading.Thread(target=send)
    thread.start()
    wait()
    context.exit_code = tier.controls[context.old].stop()
    thread.join()
    context.change_reply = replies[0]


@when("an operator waits for a change to be in force and the leading program gets SIGTERM")
def step_stop_while_waiting(context):
    def wait_accepted():
        log = context.tier.controls[context.old].log
        until(lambda: "change_accepted" in log(), "the change is accepted")

    _stop_leader_during_change(context, "?wait=in_force&timeout_ms=30000", wait_accepted)


@then("the operator was told that the change is accepted and not yet in force everywhere")
def step_accepted_not_in_force(context):
    reply = context.change_reply
    assert reply is not None, "the connection was closed without an answer"
    assert reply.status == 200 and reply.body["revision"] == 1, reply
    assert reply.body["in_force"] is False, reply


@then("the leading program ended with exit code {code:d}")
def step_leader_ended(context, code):
    assert context.exit_code == code, context.tier.controls[context.old].log()


@when("a change is sent while no majority replies, and the leading program gets SIGTERM")
def step_stop_without_majority(context):
    tier = context.tier
    leader = tier.leader()
    others = [program for name, program in tier.controls.items() if name != leader]
    for program in others:
        program.send(signal.SIGSTOP)
    # Most of the time the change has been read by then; the answer has to be true either way.
    _stop_leader_during_change(context, "", lambda: time.sleep(0.2))
    for program in others:
        program.send(signal.SIGCONT)
    tier.controls[leader].start()


@then("the operator's answer agrees with the rules after the programs run again")
def step_answer_agrees(context):
    reply = context.change_reply
    assert reply is not None, "the connection was closed without an answer"
    rules = [rule["name"] for rule in context.tier.get_from_leader("/v1/rules")["rules"]]
    if reply.status == 200:
        assert rules == ["rule-0"], (reply, rules)
    elif reply.body["ran"] == "not_run":
        assert rules == [], (reply, rules)
    else:
        assert reply.body["error"] == "change_unknown", reply


@when("one of them is started a second time")
def step_second_process(context):
    context.name = next(iter(context.tier.controls))
    context.second = context.tier.controls[context.name].duplicate()
    context.add_cleanup(context.second.close)
    context.second.start()
    context.exit_code = context.second.wait()


@then("the second exits with code {code:d} and logs that the folder is in use")
def step_second_ends(context, code):
    log = context.second.log()
    assert context.exit_code == code, log
    assert "program_cannot_start" in log and "another process uses the folder" in log
    assert "Traceback" not in log


@then("the first still applies changes")
def step_first_still(context):
    assert context.tier.controls[context.name].alive
    _change(context.tier, 0)
    until(
        lambda: (_read_rules(context.tier, context.name) or {}).get("revision") == 1,
        "the first shows the change",
    )


def _depart(tier, name, number):
    body = {"change_id": f"depart-{name}", "expected_revision": number, "role": "control"}

    def send():
        reply = tier.operator(tier.leader(), "POST", f"/v1/hosts/{name}/depart", body)
        return reply is not None and reply.status not in (503, 504) and reply

    return until(send, f"an answer to the departure of {name}")


@when("{count:d} changes are made and the leading program departs and is stopped")
def step_depart(context, count):
    tier = context.tier
    # A departure needs the name of the host, which the host announces shortly after its start.
    all_voters = ["voter"] * len(tier.controls)
    until(lambda: list(_members(tier).values()) == all_voters, "all hosts are announced as voters")
    for number in range(count):
        _change(tier, number)
    context.revision = count + 1
    context.departed = tier.leader()
    reply = _depart(tier, context.departed, count)
    assert (reply.status, reply.body.get("revision")) == (200, context.revision), reply
    until(
        lambda: _members(tier).get(context.departed) == "outside", "the departed host is no member"
    )
    tier.controls[context.departed].stop()


def _members(tier):
    controls = tier.get_from_leader("/v1/hosts")["controls"]
    return {control["name"]: control["state"] for control in controls}


@then("its host is no longer a member of the log, and the other {count:d} are voters")
def step_departed(context, count):
    members = _members(context.tier)
    assert members.pop(context.departed) == "outside", members
    assert list(members.values()) == ["voter"] * count, members


@when("another control program is killed")
def step_kill_another(context):
    context.rules = context.tier.get_from_leader("/v1/rules")
    context.killed = context.tier.leader()
    context.tier.controls[context.killed].kill()


@then("the rules are as before, and {count:d} more changes are accepted")
def step_rules_kept(context, count):
    tier = context.tier
    assert tier.get_from_leader("/v1/rules") == context.rules
    for _ in range(count):
        answer = _change(tier, context.revision)
        context.revision += 1
        assert answer["revision"] == context.revision, answer


@then("one more departure is refused while a host is lost")
def step_refused_departure(context):
    names = set(context.tier.controls) - {context.departed, context.killed}
    reply = _depart(context.tier, min(names), context.revision)
    assert (reply.status, reply.body.get("error")) == (409, "stop_refused"), reply
