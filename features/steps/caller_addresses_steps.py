from __future__ import annotations

import orjson
from behave import given, then, when

from alderhatch.entry.address_book import AddressBook, EntryAddress
from alderhatch.http.client import http_once
from features.entry_world import LOOPBACK, world


@given('the entries\' roster "{roster}"')
def step_roster(context, roster):
    book = context.address_book = AddressBook(ttl=200)
    roster_entries = []
    for row in roster.split():
        port, zone, *leaving = row.split(":")
        roster_entries.append(EntryAddress(LOOPBACK, int(port), zone, bool(leaving)))
    book.roster = tuple(roster_entries)


@when('a caller in zone "{zone}" requests the entries\' addresses')
@when('a caller in zone "" requests the entries\' addresses')
def step_ask_addresses(context, zone=""):
    context.listed = context.address_book.addresses_for(zone)


@then('the caller receives the entries "{answer}" for {ttl:d} ms')
def step_told(context, answer, ttl):
    assert " ".join(f"{row.port}:{row.weight}" for row in context.listed) == answer, context.listed
    assert context.address_book.ttl == ttl


@given("a platform for the entry")
def step_platform(context):
    harness = world(context)
    harness.call(harness.start_platform)


@when("the platform lists entry {number:d} as leaving")
def step_platform_leaving(context, number):
    harness = world(context)
    harness.platform.states = {entry.port: "live" for entry in harness.entries}
    harness.platform.states[harness.entries[number - 1].port] = "leaving"


@when("soon entry {asked:d} advertises only entry {named:d} to callers")
@then("soon entry {asked:d} advertises only entry {named:d} to callers")
def step_tells_only(context, asked, named):
    harness = world(context)
    expected = [harness.entries[named - 1].port]

    async def listed():
        while True:
            reply = await http_once(LOOPBACK, harness.entries[asked - 1].port, "GET", "/addresses")
            body = orjson.loads(reply.body)
            if [row["port"] for row in body["addresses"]] == expected:
                return body
            await harness.sleep_for(0.01)

    assert harness.call(listed)["ttl_ms"] == harness.entries[0].cfg.address_ttl_ms


@when("the platform's list becomes unreadable and is requested {count:d} times")
def step_platform_breaks(context, count):
    harness = world(context)
    harness.platform.returns_invalid_list = True
    requests_before = harness.platform.fetch_count
    harness.call(
        harness.until,
        lambda: harness.platform.fetch_count >= requests_before + count * len(harness.entries),
    )
