from __future__ import annotations

import trio
from behave import given, then, when

from alderhatch.core.shard_map import Snapshot
from features.entry_world import world


def _change(upstream, changes):
    match changes:
        case "publishes a version":
            upstream.publish_version()
        case "is repartitioned":
            upstream.repartition()
        case "publishes a version and drops the last":
            last = upstream.newest.snapshot
            upstream.publish_version()
            upstream.drop_snapshot(last)
        case _:
            raise AssertionError(changes)


@given("queries are sent to the entry without a pause")
def step_load(context):
    here = world(context)
    here.call(here.start_load)


@when(
    "the upstream {changes} {count:d} times, each after {answers:d} more right answers of the entry"
)
def step_changes(context, changes, count, answers):
    here = world(context)

    async def change():
        for _ in range(count):
            wanted = here.load_counts["right"] + answers
            await here.until(lambda wanted=wanted: here.load_counts["right"] >= wanted)
            _change(here.upstream, changes)
        wanted = here.load_counts["right"] + answers
        await here.until(lambda: here.load_counts["right"] >= wanted)

    here.call(change)


@when("the queries to the entry end")
def step_load_ends(context):
    here = world(context)
    here.call(here.end_load)


@then("all answers of the entry were right")
def step_all_right(context):
    counts = world(context).load_counts
    assert counts["wrong"] == [] and counts["broken"] == [], counts
    assert counts["right"] > 0


@then("the newest answer of the entry is of the newest snapshot of the upstream")
def step_newest(context):
    here = world(context)
    here.call(here.until, lambda: _adopted(here))
    _, answer = here.call(here.query)
    assert Snapshot(**answer["snapshot"]) == here.upstream.newest.snapshot, answer["snapshot"]


def _adopted(here):
    newest = here.entries[0].map_pollers[0].newest
    return newest is not None and newest.snapshot == here.upstream.newest.snapshot


@when("the upstream is repartitioned while {count:d} queries of the entry are running")
def step_repartition_meanwhile(context, count):
    here = world(context)
    received = sum(server.counts.received for server in here.upstream.servers)

    async def change():
        await here.until(
            lambda: sum(item.counts.received for item in here.upstream.servers) > received
        )
        here.upstream.repartition()

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            return await here.queries_at_once(count)

    context.entry_replies = here.call(run)


@given("the upstream publishes a version that the first server of each shard lacks")
def step_behind(context):
    upstream = world(context).upstream
    snapshot = upstream.publish_version()
    for shard in upstream.newest.servers:
        upstream.holders(shard)[0].missing_snapshots.add(snapshot)


@given("the upstream publishes a version")
def step_publish(context):
    world(context).upstream.publish_version()


@when("the entry has adopted the newest snapshot of the upstream")
def step_adopted(context):
    here = world(context)
    here.call(here.until, lambda: _adopted(here))


@when("the upstream serves its first shard map again and the entry fetches it")
def step_old_map(context):
    here = world(context)
    upstream = here.upstream
    first = upstream.layouts.pop(Snapshot(1, 1))
    upstream.layouts[first.snapshot] = first
    here.call(here.entries[0].map_pollers[0].fetch)


@then("the entry's map is of version {version:d}")
def step_map_version(context, version):
    assert world(context).entries[0].map_pollers[0].newest.snapshot.version == version
