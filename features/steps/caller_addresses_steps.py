from __future__ import annotations

import orjson
from behave import given, then, when

from alderhatch.entry.address_book import AddressBook, EntryAddress
from alderhatch.http.client import http_once
from features.entry_world import LOOPBACK, world


@given('the entries\' roster "{roster}"')
def step_roster(context, roster):
    book = context.address_book = AddressBook(ttl=200)
    rows = []
    for item in roster.split():
        port, zone, *leaving = item.split(":")
        rows.append(EntryAddress(LOOPBACK, int(port), zone, bool(leaving)))
    book.roster = tuple(rows)


@when('a caller in zone "{zone}" asks for the entries\' addresses')
@when('a caller in zone "" asks for the entries\' addresses')
def step_ask_addresses(context, zone=""):
    context.told = context.address_book.addresses_for(zone)


@then('the caller is told of the entries "{answer}" for {ttl:d} ms')
def step_told(context, answer, ttl):
    assert " ".join(f"{item.port}:{item.weight}" for item in context.told) == answer, context.told
    assert context.address_book.ttl == ttl


@given("a platform for the entry")
def step_platform(context):
    here = world(context)
    here.call(here.start_platform)


@when("the platform lists entry {number:d} as leaving")
def step_platform_leaving(context, number):
    here = world(context)
    here.platform.states = {entry.port: "live" for entry in here.entries}
    here.platform.states[here.entries[number - 1].port] = "leaving"


@when("soon entry {asked:d} tells callers only of entry {named:d}")
@then("soon entry {asked:d} tells callers only of entry {named:d}")
def step_tells_only(context, asked, named):
    here = world(context)
    expected = [here.entries[named - 1].port]

    async def told():
        while True:
            reply = await http_once(LOOPBACK, here.entries[asked - 1].port, "GET", "/addresses")
            body = orjson.loads(reply.body)
            if [item["port"] for item in body["addresses"]] == expected:
                return body
            await here.nap(0.01)

    assert here.call(told)["ttl_ms"] == here.entries[0].cfg.address_ttl_ms


@when("the platform's list breaks and is read {count:d} times")
def step_platform_breaks(context, count):
    here = world(context)
    here.platform.broken = True
    seen = here.platform.asked
    here.call(here.until, lambda: here.platform.asked >= seen + count * len(here.entries))
