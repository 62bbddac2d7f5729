from __future__ import annotations

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


@when("{count:d} changes are sent one after the other and the leader is killed in their midst")
def step_changes_and_kill(context, count):
    for number in range(count):
        if number == count // 2:
            context.killed = context.tier.leader()
            context.tier.controls[context.killed].kill()
        answer = _change(context.tier, number)
        assert answer["revision"] == number + 1, answer


@then("the revision is {revision:d} and the history shows each change once")
def step_history_whole(context, revision):
    body = context.tier.ask_leader("/v1/history?limit=200")
    assert body["revision"] == revision
    found = [item["change_id"] for item in reversed(body["changes"])]
    assert found == [f"c-{number}" for number in range(revision)]


@when("the killed host is started again")
def step_start_again(context):
    context.tier.controls[context.killed].start()


def _shown(tier, name):
    reply = tier.operator(name, "GET", "/v1/rules?stale=true")
    return reply is not None and reply.status == 200 and reply.body


def _all_show(tier, rules):
    for name in tier.controls:
        until(lambda name=name: _shown(tier, name) == rules, f"{name} shows the rules")


@then("it comes to the same rules and revision as the others")
def step_same_as_others(context):
    context.rules = context.tier.ask_leader("/v1/rules")
    until(lambda: _shown(context.tier, context.killed) == context.rules, "the same rules")


@when("all control programs are killed and started again")
def step_kill_all(context):
    for program in context.tier.controls.values():
        program.kill()
    for program in context.tier.controls.values():
        program.start()


@then("the rules and the revision are the same as before")
def step_rules_again(context):
    assert context.tier.ask_leader("/v1/rules") == context.rules
    _all_show(context.tier, context.rules)


@when("the leading program gets SIGTERM")
def step_term(context):
    context.old = context.tier.leader()
    context.exit_code = context.tier.controls[context.old].stop()


@then("it ends with exit code 0 after another host was elected on its word")
def step_handed_over(context):
    log = context.tier.controls[context.old].log()
    assert context.exit_code == 0, log
    assert "control_follows" in log
    assert context.tier.leader() != context.old


@when("one of them is started a second time")
def step_second_process(context):
    context.name = next(iter(context.tier.controls))
    context.second = context.tier.controls[context.name].twin()
    context.add_cleanup(context.second.close)
    context.second.start()
    context.exit_code = context.second.wait()


@then("the second ends with exit code {code:d} and says that the folder is in use")
def step_second_ends(context, code):
    log = context.second.log()
    assert context.exit_code == code, log
    assert "program_cannot_start" in log and "another process uses the folder" in log
    assert "Traceback" not in log


@then("the first still takes part")
def step_first_still(context):
    assert context.tier.controls[context.name].alive
    _change(context.tier, 0)
    until(
        lambda: (_shown(context.tier, context.name) or {}).get("revision") == 1,
        "the first shows the change",
    )
