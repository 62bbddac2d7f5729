from __future__ import annotations

import json
import signal
import time
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from behave import given, then, when

from features.support.tier import CHANGE_KEY, START_TIMEOUT_S, Tier


@given("{count:d} running control programs")
def step_programs(context, count):
    context.tier = tier = Tier(controls=count, entries=0)
    context.add_cleanup(tier.stop)
    for name in tier.controls:
        tier.start_control(name)
    _leader(tier)


def _call(tier, name, method, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    url = f"http://{tier.address}:{tier.controls[name][1]}{path}"
    headers = {"Authorization": f"Bearer {CHANGE_KEY}"}
    try:
        with urlopen(Request(url, data, headers, method=method), timeout=20) as reply:
            return reply.status, json.load(reply)
    except HTTPError as exc:
        return exc.code, json.load(exc)
    except OSError:
        return 0, {}


def _until(condition):
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError("not in time")


def _leader(tier):
    def look():
        for name in tier.controls:
            status, body = _call(tier, name, "GET", "/v1/status")
            if status == 200 and body["grants_leases"]:
                return name
        return None

    return _until(look)


def _change(tier, number):
    rule = {"name": f"rule-{number}", "then": {}}
    body = {"change_id": f"c-{number}", "expected_revision": number, "rule": rule}

    def send():
        status, answer = _call(tier, _leader(tier), "POST", "/v1/rules", body)
        assert status in (0, 200, 503, 504), (number, status, answer)
        return status == 200 and answer

    return _until(send)


@when("{count:d} changes are sent one after the other and the leader is killed in their midst")
def step_changes_and_kill(context, count):
    for number in range(count):
        if number == count // 2:
            context.killed = _leader(context.tier)
            context.tier.end(context.killed, signal.SIGKILL)
        answer = _change(context.tier, number)
        assert answer["revision"] == number + 1, answer


@then("the revision is {revision:d} and the history shows each change once")
def step_history_whole(context, revision):
    _, body = _call(context.tier, _leader(context.tier), "GET", "/v1/history?limit=200")
    assert body["revision"] == revision
    found = [item["change_id"] for item in reversed(body["changes"])]
    assert found == [f"c-{number}" for number in range(revision)]


@when("the killed host is started again")
def step_start_again(context):
    context.tier.start_control(context.killed)


def _shown(tier, name):
    status, body = _call(tier, name, "GET", "/v1/rules?stale=true")
    return (body["revision"], body["rules"]) if status == 200 else None


@then("it comes to the same rules and revision as the others")
def step_same_as_others(context):
    context.rules = _shown(context.tier, _leader(context.tier))
    assert context.rules is not None
    _until(lambda: _shown(context.tier, context.killed) == context.rules)


@when("all control programs are killed and started again")
def step_kill_all(context):
    for name in context.tier.controls:
        context.tier.end(name, signal.SIGKILL)
    for name in context.tier.controls:
        context.tier.start_control(name)


@then("the rules and the revision are the same as before")
def step_rules_again(context):
    leader = _leader(context.tier)
    status, body = _call(context.tier, leader, "GET", "/v1/rules")
    assert status == 200 and (body["revision"], body["rules"]) == context.rules
    for name in context.tier.controls:
        _until(lambda name=name: _shown(context.tier, name) == context.rules)


@when("the leading program gets SIGTERM")
def step_term(context):
    context.old = _leader(context.tier)
    context.exit_code = context.tier.end(context.old, signal.SIGTERM)


@then("it ends with exit code 0 after another host was elected on its word")
def step_handed_over(context):
    assert context.exit_code == 0, context.tier.log_of(context.old)
    assert "control_follows" in context.tier.log_of(context.old)
    assert _leader(context.tier) != context.old


@when("one of them is started a second time")
def step_second_process(context):
    tier = context.tier
    context.name = next(iter(tier.controls))
    first = tier.processes.pop(context.name)
    tier.start_control(context.name)
    second = tier.processes[context.name]
    tier.processes[context.name] = first
    context.exit_code = second.wait(START_TIMEOUT_S)


@then("the second ends with exit code {code:d} and says that the folder is in use")
def step_second_ends(context, code):
    log = context.tier.log_of(context.name)
    assert context.exit_code == code, log
    assert "program_cannot_start" in log and "another process uses the folder" in log
    assert "Traceback" not in log


@then("the first still takes part")
def step_first_still(context):
    assert context.tier.processes[context.name].poll() is None
    _change(context.tier, 0)
    _until(lambda: (_shown(context.tier, context.name) or (0,))[0] == 1)


def _depart(tier, name, number):
    body = {"change_id": f"depart-{name}", "expected_revision": number, "role": "control"}

    def send():
        status, answer = _call(tier, _leader(tier), "POST", f"/v1/hosts/{name}/depart", body)
        return status not in (0, 503, 504) and (status, answer)

    return _until(send)


@when("{count:d} changes are made and the leading program departs and is stopped")
def step_depart(context, count):
    tier = context.tier
    for number in range(count):
        _change(tier, number)
    context.revision = count + 1
    context.departed = _leader(tier)
    status, answer = _depart(tier, context.departed, count)
    assert (status, answer.get("revision")) == (200, context.revision), answer
    _until(lambda: _members(tier).get(context.departed) == "outside")
    tier.end(context.departed, signal.SIGTERM)


def _members(tier):
    status, body = _call(tier, _leader(tier), "GET", "/v1/hosts")
    assert status in (0, 200, 503), body
    return {one["name"]: one["state"] for one in body.get("controls", [])}


@then("its host is no member of the log any more, and the other {count:d} are voters")
def step_departed(context, count):
    members = _members(context.tier)
    assert members.pop(context.departed) == "outside", members
    assert list(members.values()) == ["voter"] * count, members


@when("another control program is killed")
def step_kill_another(context):
    context.rules = _shown(context.tier, _leader(context.tier))
    context.killed = _leader(context.tier)
    context.tier.end(context.killed, signal.SIGKILL)


@then("the rules are as before, and {count:d} more changes are accepted")
def step_rules_kept(context, count):
    tier = context.tier
    assert _shown(tier, _leader(tier)) == context.rules
    for _ in range(count):
        answer = _change(tier, context.revision)
        context.revision += 1
        assert answer["revision"] == context.revision, answer


@then("one more departure is refused while a host is lost")
def step_refused_departure(context):
    names = set(context.tier.controls) - {context.departed, context.killed}
    status, answer = _depart(context.tier, min(names), context.revision)
    assert (status, answer.get("error")) == (409, "stop_refused"), answer
