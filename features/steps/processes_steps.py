from __future__ import annotations

import signal
import threading

from behave import given, then, when

from features.support.tier import Tier, until


@given("the programs of a tier with {controls:d} control hosts and {entries:d} entries run")
def step_tier(context, controls, entries):
    context.tier = Tier(controls, entries)
    context.add_cleanup(context.tier.close)
    context.rule_count = 0
    context.failed_control = None
    context.tier.start()


@given("each server of the tier's upstream takes {delay_ms:d} ms longer")
def step_add_delay(context, delay_ms):
    for server in context.tier.upstream.upstream.servers:
        server.faults.straggle_ms = float(delay_ms)


@when("each entry of the tier is sent a query")
def step_query_each(context):
    context.answers = [context.tier.query(name, "route") for name in context.tier.entries]


@then("each of the tier's answers has full coverage and names the same snapshot")
def step_full_coverage(context):
    for reply in context.answers:
        assert reply is not None and reply.status == 200, reply
        assert reply.body["coverage"] == 1.0 and reply.body["missing"] == [], reply
        assert reply.body["snapshot"] == {"version": 1, "epoch": 1}, reply
        assert len(reply.body["rows"]) > 0


@when('entry "{entry}" of the tier runs dispatch "{request_id}"')
def step_dispatch(context, entry, request_id):
    context.first = context.tier.run(entry, request_id)
    assert context.first is not None and context.first.status == 200, context.first


@when('entry "{entry}" of the tier is sent dispatch "{request_id}" again')
def step_dispatch_again(context, entry, request_id):
    step_resend(context, entry, request_id)
    context.second = context.last


@then("both of the tier's answers to the dispatch are the same")
def step_same_answers(context):
    assert context.second is not None and context.second.status == 200, context.second
    assert context.second.body["rows"] == context.first.body["rows"]
    assert context.second.body["snapshot"] == context.first.body["snapshot"]


@then('the tier\'s upstream ran dispatch "{request_id}" {count:d} time')
def step_runs(context, request_id, count):
    runs = context.tier.upstream.runs_of(request_id)
    assert len(runs) == count, runs


@then('the tier\'s upstream ran dispatch "{request_id}" at most {count:d} time')
def step_runs_at_most(context, request_id, count):
    runs = context.tier.upstream.runs_of(request_id)
    assert len(runs) <= count, runs


@given("{count:d} rules were accepted by the tier")
@when("{count:d} more rules are accepted by the tier")
def step_add_rules(context, count):
    control_names = [name for name in context.tier.controls if name != context.failed_control]
    for _ in range(count):
        context.rule_count += 1
        last = context.tier.add_rule(f"rule-{context.rule_count}", control_names)
    context.revision = last["revision"]


@when("the tier's leading control host is {action}")
def step_fail_leader(context, action):
    context.failed_control = context.tier.leader()
    program = context.tier.controls[context.failed_control]
    if action == "killed":
        program.kill()
    else:
        assert action == "suspended", action
        program.send(signal.SIGSTOP)


@when("the tier's killed control host is started again")
def step_restart(context):
    context.tier.controls[context.failed_control].start()


@when("the tier's suspended control host resumes")
def step_resume(context):
    context.tier.controls[context.failed_control].send(signal.SIGCONT)


@then("eventually all control hosts of the tier have the same {count:d} rules")
def step_same_rules(context, count):
    expected = [f"rule-{number}" for number in range(count, 0, -1)]
    for name in context.tier.controls:
        rules = until(
            lambda name=name: context.tier.rules(name) == (context.revision, expected),
            f"{name} has {count} rules at revision {context.revision}",
        )
        assert rules


@then("the tier's revision is unchanged")
def step_revision(context):
    assert context.tier.get_from_leader("/v1/rules")["revision"] == context.revision


@then("eventually each entry of the tier answers a query")
def step_each_answers(context):
    for name in context.tier.entries:
        until(lambda name=name: context.tier.serves(name), f"{name} answers a query")


@when("all processes of the tier are killed and started again")
def step_restart_all(context):
    for program in context.tier.programs.values():
        program.kill()
    for program in context.tier.programs.values():
        program.start()
    context.tier.leader()


@when('entry "{entry}" of the tier is killed while dispatch "{request_id}" runs')
def step_kill_entry(context, entry, request_id):
    caller = threading.Thread(target=context.tier.run, args=(entry, request_id))
    caller.start()
    until(lambda: context.tier.upstream.runs_of(request_id), "the dispatch reached a server")
    context.tier.entries[entry].kill()
    caller.join()


@when('entry "{entry}" of the tier is sent dispatch "{request_id}" until its answer is final')
def step_resend(context, entry, request_id):
    def final():
        reply = context.tier.run(entry, request_id)
        if reply is None or reply.body.get("error") in ("in_progress", "ledger_unavailable"):
            return None
        return reply

    context.last = until(final, "a final answer to the dispatch")


@then("the tier's last answer to the dispatch says that it may have run")
def step_outcome_unknown(context):
    assert context.last.status == 504, context.last
    assert context.last.body["error"] == "outcome_unknown", context.last
    assert context.last.body["ran"] == "unknown", context.last


@when('entry "{entry}" of the tier is stopped while callers send it queries without pause')
def step_stop_under_load(context, entry):
    context.replies = []
    context.stopped = entry
    program = context.tier.entries[entry]
    program_done = threading.Event()

    def caller():
        while not program_done.is_set():
            reply = context.tier.query(entry, "route")
            if reply is None and not program.alive:
                return
            context.replies.append(reply)

    callers = [threading.Thread(target=caller) for _ in range(4)]
    for thread in callers:
        thread.start()
    until(lambda: len(context.replies) >= 20, "20 answers received")
    program.send(signal.SIGTERM)
    context.exit_code = program.wait()
    program_done.set()
    for thread in callers:
        thread.join()


def _uses_rule(tier, entry, name):
    reply = tier.query(entry, name)
    return reply is not None and reply.body.get("rule") == name


@when('entry "{entry}" of the tier runs a query, an operator stops it and it gets SIGTERM')
def step_operator_stop(context, entry):
    tier = context.tier
    context.replies = []
    context.stopped = entry
    program = tier.entries[entry]

    tier.add_rule("slow")
    until(lambda: _uses_rule(tier, entry, "slow"), "the entry has the rule")

    def ask():
        context.replies.append(tier.query(entry, "slow"))

    caller = threading.Thread(target=ask)
    servers = tier.upstream.upstream.servers
    leader = tier.leader()
    body = {"change_id": "stop-1", "expected_revision": tier.revision(leader), "forced": True}
    received = sum(server.counts.received for server in servers)
    caller.start()
    until(
        lambda: sum(server.counts.received for server in servers) > received,
        "the query has reached the upstream",
    )
    reply = tier.operator(leader, "POST", f"/v1/hosts/{entry}/stop", body)
    assert reply is not None and reply.status == 200, reply
    until(lambda: "entry_stopping" in program.log(), "the entry's stop has begun")
    program.send(signal.SIGTERM)
    context.exit_code = program.wait()
    caller.join()


@then("the query that it ran was answered completely")
def step_query_answered(context):
    (reply,) = context.replies
    assert reply is not None, "the connection was closed without an answer"
    assert reply.status == 200 and reply.body["coverage"] == 1.0, reply


@then("the entry of the tier exits with code {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code, context.tier.entries[context.stopped].log()


@then("every query sent to it in the tier was answered completely or refused as not run")
def step_no_query_lost(context):
    complete = [reply for reply in context.replies if reply is not None and reply.status == 200]
    incomplete = [reply for reply in context.replies if reply is None or reply.status != 200]
    assert len(complete) >= 20
    for reply in complete:
        assert reply.body["coverage"] == 1.0, reply
    for reply in incomplete:
        # No connection counts as a refusal: the process has ended or no longer listens.
        assert reply is None or reply.body["ran"] == "not_run", reply


@when("all control hosts of the tier are suspended")
def step_suspend_all(context):
    for program in context.tier.controls.values():
        program.send(signal.SIGSTOP)


@then('eventually each entry of the tier refuses queries with "{error}"')
def step_lease_expired(context, error):
    for name in context.tier.entries:

        def refused(name=name):
            reply = context.tier.query(name, "route")
            return reply is not None and reply.body.get("error") == error and reply

        reply = until(refused, f"{name} refuses queries")
        assert reply.body["ran"] == "not_run" and reply.body["resend"] == "other_entry", reply


@when("all suspended control hosts of the tier resume")
def step_resume_all(context):
    for program in context.tier.controls.values():
        program.send(signal.SIGCONT)


@then("eventually each entry of the tier answers again")
def step_answers_again(context):
    step_each_answers(context)
