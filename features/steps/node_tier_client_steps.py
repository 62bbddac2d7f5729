from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import patch

import trio
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.codec import Codec
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.link import Peer, serve_links
from alderhatch.node import tier_client
from alderhatch.node.tier_client import TierClient
from alderhatch.node.tier_messages import (
    TIER_MESSAGE_TYPES,
    ConfigurationNews,
    Join,
    KeptNews,
    Place,
    Pulse,
    Redirect,
    Report,
    TierView,
)

SECRET = b"the secret of a tier of the tests"
CODEC = Codec(*TIER_MESSAGE_TYPES)
TIMEOUT_S = 30
VERSION = 17
VIEW = TierView([], [], 1.0)
LARGE_TIER_VIEW = TierView([HostRecord("other", "zone", "127.0.0.1:1", True, 1.0)], [], 1.0, 100)


def add_host(context, kind):
    hosts = context.tier_hosts = getattr(context, "tier_hosts", [])
    hosts.append(SimpleNamespace(kind=kind, place=None))


@given("a host of a tier that names itself as the leader but does not lead")
def step_names_itself(context):
    add_host(context, "names itself")


@given("a host of a tier that names the next one")
def step_names_next(context):
    add_host(context, "names the next")


@given("two hosts of a tier that name each other as the leader")
def step_each_other(context):
    add_host(context, "names the next")
    add_host(context, "names the one before")


@given("a host of a tier that accepts connections and never answers")
def step_silent(context):
    add_host(context, "silent")


@given("a host of a tier that has a configuration and no leader")
def step_retains(context):
    add_host(context, "retains state")


@given("a host of a tier of 100 that has a configuration and no leader")
def step_retains_large(context):
    add_host(context, "retains state")


@given("a host of a tier that leads")
def step_leads(context):
    add_host(context, "leads")


def answer_from(hosts, index):
    match hosts[index].kind:
        case "names itself":
            return Redirect(hosts[index].place, [])
        case "names the next":
            return Redirect(hosts[index + 1].place, [])
        case "retains state":
            return Redirect(None, [])
        case "names the one before":
            return Redirect(hosts[index - 1].place, [])
        case _:
            return ConfigurationNews(VERSION, b"packed")


async def serve_host(hosts, index, nursery):
    async def handle(link):
        await link.receive()
        if hosts[index].kind == "retains state":
            view = LARGE_TIER_VIEW if len(hosts) == 1 else VIEW
            await link.send(KeptNews(ConfigurationNews(VERSION, b"packed"), view, []))
        await link.send(answer_from(hosts, index))
        while hosts[index].kind == "leads":
            await link.send(Pulse(True))
            await trio.sleep(0.2)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    hosts[index].place = Place(f"host-{index}", "127.0.0.1", port)
    if hosts[index].kind == "silent":
        nursery.start_soon(trio.serve_listeners, lambda _: trio.sleep_forever(), listeners)
        return
    me = Peer(f"host-{index}", "control")
    nursery.start_soon(serve_links, listeners, CODEC, SECRET, me, handle)


class StubNodeState:
    """The parts of ``NodeState`` that a searching host needs in a test."""

    def __init__(self, version=0):
        self.name = "me"
        self.controls = []
        self.records = {}
        self.view = None
        self.is_started = version > 0
        self.version = version
        self.stands_by = False
        self.configured_event = trio.Event()

    def apply_configuration(self, stored):
        self.version = stored.version
        self.configured_event.set()

    def apply_evacuations(self, evacuations):
        self.evacuations = evacuations

    def apply_view(self, view):
        self.view = view

    def apply_servers(self, changed, gone):
        pass

    def mark_list_fresh(self):
        pass

    def on_new_leader(self):
        pass

    def apply_standing(self, stands_by):
        self.stands_by = stands_by


def search_leader(context, known_hosts, is_announced=False, version=0):
    state = StubNodeState(version)

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                hosts = context.tier_hosts
                for index in range(len(hosts)):
                    await serve_host(hosts, index, nursery)
                me = Place("me", "127.0.0.1", 1)
                client = TierClient(
                    lambda: Join(me, "zone", "127.0.0.1:1", 1.0, None, version > 0),
                    lambda: Report(True, 0, None, [], 0),
                    lambda: [one.place for one in hosts[:known_hosts]],
                    state,
                    CODEC,
                    SECRET,
                )
                nursery.start_soon(client.run)
                if is_announced:
                    client.add_leader_hint(hosts[-1].place)
                if version:
                    # Wait for another round, so that the state from the first one is applied.
                    await trio.sleep(3 * tier_client.REDIAL_INTERVAL / SECOND)
                else:
                    await state.configured_event.wait()
                context.configured = state.version
                context.stands_by = state.stands_by
                context.followed = client.leader
                nursery.cancel_scope.cancel()

    trio.run(main)


@when("a third host that knows both searches for the leader")
def step_search(context):
    search_leader(context, known_hosts=len(context.tier_hosts))


@when("a third host that knows no other host receives the leader's announcement")
def step_announced(context):
    search_leader(context, known_hosts=0, is_announced=True)


@when("a third host that knows only the first searches for the leader once a minute")
def step_search_slowly(context):
    with patch.object(tier_client, "REDIAL_INTERVAL", 60 * SECOND):
        search_leader(context, known_hosts=1)


@then("it follows the one that leads, and has its configuration")
def step_follows(context):
    assert context.followed == context.tier_hosts[-1].place
    assert context.configured == VERSION


@when("a third host that has a newer one searches for the leader")
def step_search_newer(context):
    search_leader(context, known_hosts=len(context.tier_hosts), version=VERSION + 1)


@then("it has that configuration, and continues to search for a leader")
def step_retained_applied(context):
    assert context.configured == VERSION
    assert context.followed is None


@then("it still has the newer one")
def step_newer(context):
    assert context.configured == VERSION + 1


@then("it is a standby host without a leader")
def step_stands_by(context):
    assert context.followed is None
    assert context.stands_by


@then("it is not a standby host")
def step_active(context):
    assert not context.stands_by
