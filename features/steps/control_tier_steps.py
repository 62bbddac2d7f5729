from __future__ import annotations

import trio
from behave import then

from alderhatch.core.control.operations import KeepHouse
from features.support.control_commands import rule
from features.support.control_tier import control_tier


def _add_rule(name, expected, change_id):
    return {"change_id": change_id, "expected_revision": expected, "rule": rule(name)}


def _set_hedge_budget(expected, change_id, budget):
    settings = {"hedge_budget": budget}
    return {"change_id": change_id, "expected_revision": expected, "settings": settings}


@then("exactly one of two concurrent changes is accepted and the other operator is shown it")
def step_tier_race(context):
    trio.run(_race)


async def _race():
    async with control_tier() as tier:
        answers = {}

        async def send(who, at):
            body = _add_rule(f"{who}s-rule", 0, f"{who}-1")
            answers[who] = await tier.change("POST", "/v1/rules", body, who, at)

        leader, follower = await tier.leader(), await tier.follower()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "anna", leader)
            nursery.start_soon(send, "bjorn", follower)
        assert sorted(status for status, _ in answers.values()) == [200, 409], answers
        winner = next(who for who, (status, _) in answers.items() if status == 200)
        loser = next(who for who in answers if who != winner)
        won = answers[loser][1]["won"]
        assert [(item["who"], item["target"]) for item in won] == [(winner, f"{winner}s-rule")]
        rules = await tier.read("/v1/rules")
        assert [rule_row["name"] for rule_row in rules["rules"]] == [f"{winner}s-rule"]


@then("a change resent to the next leader gets its first answer")
def step_tier_resend(context):
    trio.run(_resend)


async def _resend():
    async with control_tier() as tier:
        body = _add_rule("night", 0, "c-1")
        status, first = await tier.change("POST", "/v1/rules", body)
        assert status == 200 and not first["repeated"]
        await tier.kill_control(await tier.leader())
        status, second = await tier.change("POST", "/v1/rules", body)
        assert (status, second) == (200, first | {"repeated": True})
        status, third = await tier.change("POST", "/v1/rules", _add_rule("day", 1, "c-2"))
        assert (status, third["revision"]) == (200, 2)


@then("rules, revision, history and answers are restored after all hosts restart")
def step_tier_restart(context):
    trio.run(_restart)


async def _restart():
    async with control_tier(compact_entries=150) as tier:
        for number in range(250):
            body = _set_hedge_budget(number, f"c-{number}", (number + 1) / 1000)
            status, answer = await tier.change("PUT", "/v1/settings", body)
            assert status == 200, answer
            await tier.propose(KeepHouse())
        status, last = await tier.change("POST", "/v1/rules", _add_rule("night", 250, "last"))
        assert status == 200
        before = {path: await tier.read(path) for path in RESTORED_PATHS}
        leader = await tier.leader()
        assert tier.hosts[leader].server.host.log.status().snapshot_index > 0
        names = list(tier.hosts)
        for name in names:
            await tier.kill_control(name)
        for name in names:
            await tier.start_control(name)
        after = {path: await tier.read(path) for path in RESTORED_PATHS}
        assert after == before
        status, answer = await tier.change("POST", "/v1/rules", _add_rule("night", 250, "last"))
        assert (status, answer) == (200, last | {"repeated": True})


RESTORED_PATHS = ("/v1/rules", "/v1/settings", "/v1/history?limit=200", "/v1/rules/night")


@then("a second host can be lost right after a repair without losing a change")
def step_tier_repair(context):
    trio.run(_repair)


async def _repair():
    async with control_tier() as tier:
        await tier.change("POST", "/v1/rules", _add_rule("night", 0, "c-1"))
        lost = await tier.follower()
        await tier.kill_control(lost)
        await tier.repair(lost, "control-4", 1)
        leader = await tier.leader()
        status, _ = await tier.change("POST", "/v1/rules", _add_rule("day", 2, "c-3"))
        assert status == 200
        await tier.kill_control(leader)
        status, _ = await tier.change("POST", "/v1/rules", _add_rule("dusk", 3, "c-4"))
        assert status == 200
        rules = await tier.read("/v1/rules")
        assert [rule_row["name"] for rule_row in rules["rules"]] == ["night", "day", "dusk"]


@then("a planned stop of the leader transfers the leadership before its host is stopped")
def step_tier_stop(context):
    trio.run(_planned_stop)


async def _planned_stop():
    async with control_tier() as tier:
        old = await tier.leader()
        body = {"change_id": "c-1", "expected_revision": 0}
        status, answer = await tier.change("POST", f"/v1/hosts/{old}/stop", body)
        assert status == 200, answer
        host = tier.hosts[old].server.host
        await tier.until(lambda: host.leadership is None)
        new = await tier.leader()
        assert new != old
        other = next(name for name in tier.hosts if name not in (old, new))
        body = {"change_id": "c-2", "expected_revision": 1}
        status, answer = await tier.change("POST", f"/v1/hosts/{other}/stop", body)
        assert (status, answer["error"]) == (409, "stop_refused")
        await tier.kill_control(old)
        status, _ = await tier.change("POST", "/v1/rules", _add_rule("night", 1, "c-3"))
        assert status == 200
        await tier.start_control(old)
        controls = tier.state(new).hosts.controls
        await tier.until(lambda: controls[old].mark == "")


@then("an accepted change is reported as accepted when the leadership moves meanwhile")
def step_tier_moved_leadership(context):
    trio.run(_moved_leadership)


async def _moved_leadership():
    async with control_tier(lease=20_000.0) as tier:
        # Its lease lasts, and it never confirms the change.
        await tier.start_entry("entry-1")
        tier.kill_entry("entry-1")
        old = await tier.leader()
        host = tier.hosts[old].server.host
        replies = []

        async def change():
            path = "/v1/rules?wait=in_force&timeout_ms=15000"
            replies.append(await tier.call(old, "POST", path, _add_rule("night", 0, "c-1")))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            await tier.until(lambda: tier.state(old).revision == 1)
            await host.log.transfer_leadership()
        status, answer = replies[0]
        assert (status, answer.get("revision")) == (200, 1), answer
        assert answer["in_force"] is False, answer


@then("a partitioned leader gives up its leadership, and does not disturb the others on its return")
def step_tier_partitioned_leader(context):
    trio.run(_partitioned_leader)


async def _partitioned_leader():
    async with control_tier() as tier:
        old = await tier.leader()
        host = tier.hosts[old].server.host
        node = host.log
        links, serve = node._links, node.serve_peer
        # Messages between the hosts are lost in both directions; no connection is closed.
        real_send, real_receive = links.send, node._driver.receive
        links.send = lambda to, message: None
        node._driver.receive = lambda sender, message: None
        await tier.until(lambda: not host.log.holds_lease())
        others = [name for name in tier.hosts if name != old]
        await tier.until(lambda: any(tier.hosts[n].server.host.leadership for n in others))
        await tier.until(lambda: host.leadership is None)
        status, answer = await tier.call(old, "GET", "/v1/rules")
        assert (status, answer["error"]) == (503, "no_leader")
        new = next(name for name in others if tier.hosts[name].server.host.leadership)
        status, _ = await tier.call(new, "POST", "/v1/rules", _add_rule("night", 0, "c-1"))
        assert status == 200
        await trio.sleep(1.5)
        term = tier.hosts[new].server.host.log.status().term
        links.send, node._driver.receive = real_send, real_receive
        assert node.serve_peer == serve
        await tier.until(lambda: host.state.revision == 1)
        assert tier.hosts[new].server.host.log.status().term == term
        assert await tier.leader() == new
