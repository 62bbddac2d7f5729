from __future__ import annotations

import trio
from behave import given, then

from alderhatch.clock import SECOND
from alderhatch.core.control.feed import ControlPlace
from alderhatch.entry._control_host_selector import ControlHostSelector
from alderhatch.settings.models import NamedEndpoint
from features.support.control_commands import rule
from features.support.control_tier import LOOPBACK, Forwarder, control_tier

ADD = {"change_id": "c-1", "expected_revision": 0, "rule": rule("night")}


@then("a change is in force only after the entry that is cut off has stopped serving")
def step_entry_cut_off(context):
    trio.run(_entry_cut_off)


async def _entry_cut_off():
    async with control_tier() as tier:
        forwarders = []
        for name in tier.hosts:
            forwarder = Forwarder(tier.ports[name][0])
            await tier.nursery.start(forwarder.run)
            forwarders.append(forwarder)
        controls = [
            NamedEndpoint(name=name, address=LOOPBACK, port=one.own_port)
            for name, one in zip(tier.hosts, forwarders, strict=True)
        ]
        cut = await tier.start_entry("entry-1", controls=controls)
        well = await tier.start_entry("entry-2")
        await cut.wait_ready()
        # Its host reaches control through the forwarders alone, whatever it is told of.
        cut._host_selector = ControlHostSelector(controls, 0)
        cut._host_selector.set_learned = lambda told: None
        for forwarder in forwarders:
            # Old connections go silent, and new ones are never answered.
            forwarder.silent = True
            forwarder.port = 9
        served_until = []

        async def note_end():
            while cut.may_serve():
                await trio.sleep(0.001)
            served_until.append(trio.current_time())

        tier.nursery.start_soon(note_end)
        path = "/v1/rules?wait=in_force&timeout_ms=20000"
        status, answer = await tier.change("POST", path, ADD)
        told_at = trio.current_time()
        assert status == 200 and answer["in_force"], answer
        assert served_until and served_until[0] <= told_at
        assert cut.view.revision == 0 and well.view.revision == 1
        assert not cut.may_serve() and well.may_serve()


@then("an entry whose connection goes silent keeps its lease through another control host")
def step_silent_link(context):
    trio.run(_silent_link)


async def _silent_link():
    async with control_tier(lease=4000.0) as tier:
        follower = await tier.follower()
        forwarder = Forwarder(tier.ports[follower][0])
        await tier.nursery.start(forwarder.run)
        controls = [NamedEndpoint(name="silent", address=LOOPBACK, port=forwarder.own_port)]
        client = await tier.start_entry("entry-1", controls=controls)
        lapses = []

        async def watch():
            while True:
                if not client.may_serve():
                    lapses.append(trio.current_time())
                await trio.sleep(0.005)

        tier.nursery.start_soon(watch)
        assert client.control_host == "silent"
        forwarder.silent = True
        await tier.until(lambda: client.control_host not in (None, "silent"))
        await trio.sleep(1.5 * tier.lease / SECOND)
        assert client.may_serve() and lapses == []


@then('a booking resent at another entry after "{event}" is told "{status}"')
def step_booking(context, event, status):
    trio.run(_booking, event, status)


async def _booking(event, status):
    async with control_tier() as tier:
        first = await tier.start_entry("entry-1")
        second = await tier.start_entry("entry-2")
        if event == "its caller went away during the claim":
            await _claim_and_go(tier, first)
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
            case "the first entry released it" | "its caller went away during the claim":
                first.release_claim("trafikk", "booking-1")
                await tier.until(lambda: not ledger.counts().in_progress)
        again = await second.claim("trafikk", "booking-1", "body", timeout=10_000.0)
        assert again.status == status, again
        assert (again.outcome == b"booked") == (status == "stored")


async def _claim_and_go(tier, client):
    """Claim and be cancelled before the answer comes, as when the caller closes its connection."""
    with trio.move_on_after(0.001):
        await client.claim("trafikk", "booking-1", "body")
    ledger = tier.state(await tier.leader()).ledger
    await tier.until(lambda: ledger.counts().records and not ledger.counts().in_progress)


@then("a planned stop shows at every entry, and after the goodbye the others have its share")
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


@then("a restarted entry gets its lease only once the old process's lease has run out")
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


@then("an entry goes on after all the control hosts of its settings were replaced")
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
        # The hosts know of each other too: all restart, and each finds the way to the leader.
        names = list(tier.hosts)
        assert not set(names) & set(configured)
        for name in names:
            await tier.kill_control(name)
        for name in names:
            await tier.start_control(name)
        for number, name in enumerate(names):
            await tier.start_entry(f"other-{number}", controls=tier.endpoints([name]))
        await tier.until(lambda: client.control_host in names and client.may_serve())


def _places(names):
    ports = {name: 7000 + number for number, name in enumerate("abcde")}
    return [
        NamedEndpoint(name=one, address=LOOPBACK, port=ports[one])
        for one in names.split()
        if one in ports
    ]


@given('an entry with the control hosts "{configured}" that was told of "{told}"')
def step_told(context, configured, told):
    context.places = ControlHostSelector(_places(configured), 0)
    context.places.set_learned([ControlPlace(*_plain(one)) for one in _places(told)])


def _plain(endpoint):
    return endpoint.name, endpoint.address, endpoint.port


@then('while none of them grants a lease, the next ones tried are "{tried}"')
def step_tried(context, tried):
    expected = tried.split()
    assert [context.places.next_host().name for _ in expected] == expected


@given('an entry with the control hosts "{configured}" that was told of {count:d} others')
def step_told_many(context, configured, count):
    context.places = ControlHostSelector(_places(configured), 0)
    others = [ControlPlace(f"other-{number}", LOOPBACK, 8000 + number) for number in range(count)]
    context.places.set_learned(others)


@then('it remembers {count:d} of them and still tries "{name}"')
def step_remembers(context, count, name):
    tried = [context.places.next_host().name for _ in range(count + 1)]
    assert len(set(tried)) == count + 1 and tried[-1] == name
