from __future__ import annotations

import trio
from behave import given, then

from alderhatch.clock import SECOND
from alderhatch.core.control.feed import ControlPlace
from alderhatch.entry._control_host_selector import ControlHostSelector
from alderhatch.settings.models import NamedEndpoint
from features.support.control_commands import rule
from features.support.control_tier import LOOPBACK, TcpProxy, control_tier

ADD_RULE = {"change_id": "c-1", "expected_revision": 0, "rule": rule("night")}


@then("a change is in force only after the partitioned entry has stopped serving")
def step_partitioned_entry(context):
    trio.run(_partitioned_entry)


async def _partitioned_entry():
    async with control_tier() as tier:
        proxies = []
        for name in tier.hosts:
            proxy = TcpProxy(tier.ports[name][0])
            await tier.nursery.start(proxy.run)
            proxies.append(proxy)
        controls = [
            NamedEndpoint(name=name, address=LOOPBACK, port=one.listen_port)
            for name, one in zip(tier.hosts, proxies, strict=True)
        ]
        partitioned = await tier.start_entry("entry-1", controls=controls)
        connected = await tier.start_entry("entry-2")
        await partitioned.wait_ready()
        # Its host reaches control only through the proxies, whichever hosts control announces.
        partitioned._host_selector = ControlHostSelector(controls, 0)
        partitioned._host_selector.set_learned = lambda announced: None
        for proxy in proxies:
            # Open connections become silent, and new ones are never answered.
            proxy.silent = True
            proxy.port = 9
        served_until = []

        async def record_end():
            while partitioned.may_serve():
                await trio.sleep(0.001)
            served_until.append(trio.current_time())

        tier.nursery.start_soon(record_end)
        path = "/v1/rules?wait=in_force&timeout_ms=20000"
        status, answer = await tier.change("POST", path, ADD_RULE)
        in_force_at = trio.current_time()
        assert status == 200 and answer["in_force"], answer
        assert served_until and served_until[0] <= in_force_at
        assert partitioned.view.revision == 0 and connected.view.revision == 1
        assert not partitioned.may_serve() and connected.may_serve()


@then("an entry whose connection goes silent keeps its lease through another control host")
def step_silent_link(context):
    trio.run(_silent_link)


async def _silent_link():
    async with control_tier(lease=4000.0) as tier:
        follower = await tier.follower()
        proxy = TcpProxy(tier.ports[follower][0])
        await tier.nursery.start(proxy.run)
        controls = [NamedEndpoint(name="silent", address=LOOPBACK, port=proxy.listen_port)]
        client = await tier.start_entry("entry-1", controls=controls)
        lapses = []

        async def watch():
            while True:
                if not client.may_serve():
                    lapses.append(trio.current_time())
                await trio.sleep(0.005)

        tier.nursery.start_soon(watch)
        assert client.control_host == "silent"
        proxy.silent = True
        await tier.until(lambda: client.control_host not in (None, "silent"))
        await trio.sleep(1.5 * tier.lease / SECOND)
        assert client.may_serve() and lapses == []


@then('a booking resent to another entry after "{event}" gets the status "{status}"')
def step_booking(context, event, status):
    trio.run(_booking, event, status)


async def _booking(event, status):
    async with control_tier() as tier:
        first = await tier.start_entry("entry-1")
        second = await tier.start_entry("entry-2")
        if event == "its caller disconnected during the claim":
            await _claim_and_cancel(tier, first)
        answer = await first.claim("trafikk", "booking-1", "body")
        assert answer.status == "granted"
        ledger = tier.state(await tier.leader()).ledger
        match event:
            case "its outcome was stored":
                first.record_outcome("trafikk", "booking-1", b"booked")
                await tier.until(lambda: not ledger.counts().in_progress)
            case "its outcome was stored and the leader died":
                first.record_outcome("trafikk", "booking-1", b"booked")
                await tier.until(lambda: not ledger.counts().in_progress)
                await tier.kill_control(await tier.leader())
            case "the first entry died":
                tier.kill_entry("entry-1")
                await tier.until(lambda: not ledger.counts().in_progress)
            case "the first entry released it" | "its caller disconnected during the claim":
                first.release_claim("trafikk", "booking-1")
                await tier.until(lambda: not ledger.counts().in_progress)
        resent = await second.claim("trafikk", "booking-1", "body", timeout=10_000.0)
        assert resent.status == status, resent
        assert (resent.outcome == b"booked") == (status == "stored")


async def _claim_and_cancel(tier, client):
    """Claim and cancel before the answer arrives, as if the caller closed its connection."""
    with trio.move_on_after(0.001):
        await client.claim("trafikk", "booking-1", "body")
    ledger = tier.state(await tier.leader()).ledger
    await tier.until(lambda: ledger.counts().records and not ledger.counts().in_progress)


@then("a planned stop is shown at every entry, and after deregistration the others have its share")
def step_entry_stop_planned(context):
    trio.run(_entry_stop)


async def _entry_stop():
    async with control_tier() as tier:
        clients = [await tier.start_entry(f"entry-{n}") for n in range(3)]
        await tier.until(lambda: [one.share for one in clients] == [3, 3, 3])
        body = {"change_id": "c-1", "expected_revision": 0}
        path = "/v1/hosts/entry-0/stop?wait=in_force"
        status, answer = await tier.change("POST", path, body)
        assert status == 200 and answer["in_force"], answer
        assert all(one.view.roster["entry-0"].leaving for one in clients)
        assert [one.stop_planned for one in clients] == [True, False, False]
        leaving, *others = clients
        assert leaving.may_serve()
        with trio.fail_after(10):
            await leaving.leave(5000.0)
        await tier.until(lambda: all("entry-0" not in one.view.roster for one in others))
        tier.kill_entry("entry-0")
        await tier.until(lambda: [one.share for one in others] == [2, 2])


@then("a restarted entry gets its lease only after the old process's lease has expired")
def step_entry_restarts(context):
    trio.run(_entry_restarts)


async def _entry_restarts():
    async with control_tier() as tier:
        old = await tier.start_entry("entry-1", incarnation="run-1")
        tier.kill_entry("entry-1")
        old_end = old.serve_until
        new = await tier.start_entry("entry-1", incarnation="run-2")
        assert trio.current_time() * SECOND >= old_end
        assert new.may_serve()
        entries = tier.state(await tier.leader()).hosts.entries
        assert entries["entry-1"].incarnation == "run-2"


@then("an entry keeps its service after all control hosts of its settings were replaced")
def step_all_replaced(context):
    trio.run(_all_replaced)


async def _all_replaced():
    async with control_tier() as tier:
        configured = list(tier.hosts)
        client = await tier.start_entry("entry-1", controls=tier.endpoints(configured))
        for number, name in enumerate(configured):
            await tier.kill_control(name)
            await tier.repair(name, f"control-{number + 4}", number)
        await tier.until(lambda: client.view.revision == len(configured))
        await tier.until(lambda: client.control_host in tier.hosts and client.may_serve())
        # The new hosts know each other as well: all of them restart, and each one finds the leader.
        names = list(tier.hosts)
        assert not set(names) & set(configured)
        for name in names:
            await tier.kill_control(name)
        for name in names:
            await tier.start_control(name)
        for number, name in enumerate(names):
            await tier.start_entry(f"other-{number}", controls=tier.endpoints([name]))
        await tier.until(lambda: client.control_host in names and client.may_serve())


def _endpoints(names):
    ports = {name: 7000 + number for number, name in enumerate("abcde")}
    return [
        NamedEndpoint(name=one, address=LOOPBACK, port=ports[one])
        for one in names.split()
        if one in ports
    ]


@given('an entry with the control hosts "{configured}" to which control announced "{announced}"')
def step_announced(context, configured, announced):
    context.host_selector = ControlHostSelector(_endpoints(configured), 0)
    context.host_selector.set_learned(
        [ControlPlace(*_endpoint_fields(one)) for one in _endpoints(announced)]
    )


def _endpoint_fields(endpoint):
    return endpoint.name, endpoint.address, endpoint.port


@then('while none of them grants a lease, the next ones tried are "{tried}"')
def step_tried(context, tried):
    expected = tried.split()
    assert [context.host_selector.next_host().name for _ in expected] == expected


@given('an entry with the control hosts "{configured}" to which control announced {count:d} others')
def step_announced_many(context, configured, count):
    context.host_selector = ControlHostSelector(_endpoints(configured), 0)
    others = [ControlPlace(f"other-{number}", LOOPBACK, 8000 + number) for number in range(count)]
    context.host_selector.set_learned(others)


@then('it keeps {count:d} of them and still tries "{name}"')
def step_keeps(context, count, name):
    tried = [context.host_selector.next_host().name for _ in range(count + 1)]
    assert len(set(tried)) == count + 1 and tried[-1] == name
