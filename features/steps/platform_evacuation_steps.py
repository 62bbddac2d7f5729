from __future__ import annotations

import orjson
from behave import then, when

from features.steps.platform_node_steps import fresh_id
from features.support.platform_tier import ZONES
from features.support.tier import until


def send_directive(tier, index, method, zone, body=None):
    return tier.operate(index, method, body, f"/-/evacuation/{zone}")


def send_until_accepted(tier, method, zone):
    """Send a directive to each host until it is acknowledged; return the last answer."""
    answer = None
    for index in tier.running():

        def accepted_answer(index=index):
            response = send_directive(tier, index, method, zone)
            return response if response is not None and response.status == 200 else None

        answer = until(accepted_answer, f"node {index} acknowledges the directive")
    return answer


@when('the zone "{zone}" is evacuated by each host in turn')
def step_evacuate(context, zone):
    context.answer = send_until_accepted(context.platform, "POST", zone)


@when('the zone "{zone}" is used again by each host in turn')
def step_use_again(context, zone):
    context.answer = send_until_accepted(context.platform, "DELETE", zone)


@when('the zones "{zones}" are evacuated')
def step_evacuate_all(context, zones):
    for zone in zones.split():
        context.answer = send_until_accepted(context.platform, "POST", zone)


@then('the answer to the operator lists "{zones}" as left')
def step_zones_left(context, zones):
    assert sorted(orjson.loads(context.answer.body)["left"]) == sorted(zones.split())


@then('the answer to the operator lists "" as left')
def step_no_zones_left(context):
    step_zones_left(context, "")


def servers_in(tier, zone):
    return [one for one in tier.servers.values() if one.zone == zone]


def sends_nothing_to(tier, zone):
    """Return whether no host sends requests to the zone, tested with one query at each host."""
    for index in tier.running():
        before = sum(len(one.runs) for one in servers_in(tier, zone))
        tier.ask(index, "/paths/7", fresh_id())
        if sum(len(one.runs) for one in servers_in(tier, zone)) != before:
            return False
    return True


@then('no host sends anything to servers in "{zone}"')
def step_no_requests(context, zone):
    tier = context.platform
    until(lambda: sends_nothing_to(tier, zone), "the directive is in force at each host")
    before = [len(one.runs) for one in servers_in(tier, zone)]
    for _ in range(5):
        for index in tier.running():
            assert tier.ask(index, "/paths/7", fresh_id()).status == 200
            assert tier.ask(index, "/orders/7", fresh_id(), "POST", b"x").status == 200
    assert [len(one.runs) for one in servers_in(tier, zone)] == before


@when("all hosts are killed and start again")
def step_restart(context):
    tier = context.platform
    tier.first_start = False
    tier.kill(*tier.running())
    tier.start()


@when("every host of the platform tier becomes ready")
def step_ready(context):
    context.execute_steps("Then every host of the platform tier becomes ready")


@then('servers in "{zone}" get requests again')
def step_requests_again(context, zone):
    tier = context.platform

    def gets_requests():
        before = [len(one.runs) for one in servers_in(tier, zone)]
        for index in tier.running():
            tier.ask(index, "/paths/7", fresh_id())
        return [len(one.runs) for one in servers_in(tier, zone)] != before

    until(gets_requests, "the zone's servers get requests")


@then("each host refuses queries and orders as not run, with a Retry-After header")
def step_refused(context):
    tier = context.platform
    for index in tier.running():
        for path, method, body in (("/paths/7", "GET", None), ("/orders/7", "POST", b"x")):

            def refused(index=index, path=path, method=method, body=body):
                answer = tier.ask(index, path, fresh_id(), method, body)
                return answer is not None and answer.status == 503 and answer

            answer = until(refused, f"node {index} refuses {path}")
            assert float(answer.headers["retry-after"]) > 0
    runs = {name: list(one.runs) for name, one in tier.servers.items()}
    for index in tier.running():
        tier.ask(index, "/paths/7", fresh_id())
    assert runs == {name: one.runs for name, one in tier.servers.items()}


@when("an operator sends {method} for the zone {zone} with {body}")
def step_send(context, method, zone, body):
    tier = context.platform
    tier.leader()
    context.answer = send_directive(tier, 0, method, zone, b"{}" if body == "a body" else None)


@then('it is answered with {status:d}, naming "{field}", and no zone is evacuated')
def step_answered(context, status, field):
    assert context.answer.status == status, context.answer
    assert orjson.loads(context.answer.body).get("field", "") == field
    send_until_accepted(context.platform, "DELETE", ZONES[0])
    left = orjson.loads(send_until_accepted(context.platform, "DELETE", ZONES[1]).body)["left"]
    assert sorted(left) == sorted(ZONES), left


@then('it is answered with {status:d}, naming "", and no zone is evacuated')
def step_answered_plain(context, status):
    step_answered(context, status, "")
