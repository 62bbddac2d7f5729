from __future__ import annotations

from behave import given, then, when

from alderhatch.core.control.actions import ChangeSettings
from alderhatch.core.shard_map import Server
from features.support.control_commands import change
from features.support.lease_model import LeaseModel, ModelEntry

SERVERS = 40
ZONE = "zone-0"


def _server(number, limit=30):
    return Server(f"srv-{number}", "10.0.1.1", 9000, ZONE, 4, limit)


def _holders(model, server):
    limits = {one.name: one.lease.connection_limit(server) for one in model.entries.values()}
    return {name: limit for name, limit in limits.items() if limit}


@given("{count:d} entries with links in 2 zones that go by {owners:d} owners for each server")
def step_owners(context, count, owners):
    model = context.owner_model = LeaseModel()
    action = ChangeSettings({"owners_per_server": owners})
    model.applier.one(change("owners", model.state.revision, action))
    for number in range(count):
        model.entries[number] = ModelEntry(number, number, zones=2)
    model.run_without_faults()


@then(
    "a server that takes {limit:d} connections has {held:d} of them from {count:d} entries "
    "of its zone"
)
def step_held(context, limit, held, count):
    model = context.owner_model
    near = {one.name for number, one in model.entries.items() if number % 2 == 0}
    for number in range(SERVERS):
        holders = _holders(model, _server(number, limit))
        assert len(holders) == count and set(holders) <= near, holders
        assert sum(holders.values()) == held, holders


@when("an owner is lost")
def step_lost(context):
    model = context.owner_model
    before = {number: _holders(model, _server(number)) for number in range(SERVERS)}
    lost = next(iter(before[0]))
    model.kill(int(lost.removeprefix("entry-")))
    context.owned = {number: holders for number, holders in before.items() if lost in holders}
    context.kept = {number: holders for number, holders in before.items() if lost not in holders}
    context.lost = lost


@then("its servers keep their other owner for {duration_ms:d} ms, and have 2 owners in the end")
def step_change_hands(context, duration_ms):
    model = context.owner_model
    assert context.owned and context.kept
    end = model.now + duration_ms
    while model.now < end:
        model.round(200.0)
        for number, holders in context.owned.items():
            others = {name: limit for name, limit in holders.items() if name != context.lost}
            assert _holders(model, _server(number)) == others
    model.run_without_faults()
    for number in context.owned:
        assert len(_holders(model, _server(number))) == 2
    for number, holders in context.kept.items():
        assert _holders(model, _server(number)) == holders
