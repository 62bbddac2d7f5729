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
PATIENCE_S = 30
VERSION = 17
VIEW = TierView([], [], 1.0)
VIEW_OF_MANY = TierView([HostRecord("other", "zone", "127.0.0.1:1", True, 1.0)], [], 1.0, 100)


def host_of_tier(context, kind):
    hosts = context.tier_hosts = getattr(context, "tier_hosts", [])
    hosts.append(SimpleNamespace(kind=kind, place=None))


@given("a host of a tier that names itself as the leader but does not lead")
def step_self(context):
    host_of_tier(context, "names itself")


@given("a host of a tier that names the next one")
def step_next(context):
    host_of_tier(context, "names the next")


@given("two hosts of a tier that name each other as the leader")
def step_each_other(context):
    host_of_tier(context, "names the next")
    host_of_tier(context, "names the one before")


@given("a host of a tier that takes connections and says nothing")
def step_mute(context):
    host_of_tier(context, "mute")


@given("a host of a tier that has a configuration and no leader")
def step_kept(context):
    host_of_tier(context, "keeps")


@given("a host of a tier of 100 that has a configuration and no leader")
def step_kept_of_many(context):
    host_of_tier(context, "keeps")


@given("a host of a tier that leads")
def step_leads(context):
    host_of_tier(context, "leads")


def answer_of(hosts, index):
    match hosts[index].kind:
        case "names itself":
            return Redirect(hosts[index].place, [])
        case "names the next":
            return Redirect(hosts[index + 1].place, [])
        case "keeps":
            return Redirect(None, [])
        case "names the one before":
            return Redirect(hosts[index - 1].place, [])
        case _:
            return ConfigurationNews(VERSION, b"packed")


async def serve_host(hosts, index, nursery):
    async def handle(link):
        await link.receive()
        if hosts[index].kind == "keeps":
            view = VIEW_OF_MANY if len(hosts) == 1 else VIEW
            await link.send(KeptNews(ConfigurationNews(VERSION, b"packed"), view, []))
        await link.send(answer_of(hosts, index))
        while hosts[index].kind == "leads":
            await link.send(Pulse(True))
            await trio.sleep(0.2)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    hosts[index].place = Place(f"host-{index}", "127.0.0.1", port)
    if hosts[index].kind == "mute":
        nursery.start_soon(trio.serve_listeners, lambda _: trio.sleep_forever(), listeners)
        return
    me = Peer(f"host-{index}", "control")
    nursery.start_soon(serve_links, listeners, CODEC, SECRET, me, handle)


class Beliefs:
    """What the host that looks believes, as far as a test needs it."""

    def __init__(self, version=0):
        self.name = "me"
        self.controls = []
        self.records = {}
        self.view = None
        self.is_started = version > 0
        self.version = version
        self.stands_by = False
        self.found = trio.Event()

    def apply_configuration(self, stored):
        self.version = stored.version
        self.found.set()

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


def look(context, known, introduced=False, version=0):
    state = Beliefs(version)

    async def main():
        with trio.fail_after(PATIENCE_S):
            async with trio.open_nursery() as nursery:
                hosts = context.tier_hosts
                for index in range(len(hosts)):
                    await serve_host(hosts, index, nursery)
                me = Place("me", "127.0.0.1", 1)
                client = TierClient(
                    lambda: Join(me, "zone", "127.0.0.1:1", 1.0, None, version > 0),
                    lambda: Report(True, 0, None, [], 0),
                    lambda: [one.place for one in hosts[:known]],
                    state,
                    CODEC,
                    SECRET,
                )
                nursery.start_soon(client.run)
                if introduced:
                    client.add_leader_hint(hosts[-1].place)
                if version:
                    # Another round begins, so what came with the first one has been taken.
                    await trio.sleep(3 * tier_client.REDIAL_INTERVAL / SECOND)
                else:
                    await state.found.wait()
                context.configured = state.version
                context.stands_by = state.stands_by
                context.followed = client.leader
                nursery.cancel_scope.cancel()

    trio.run(main)


@when("a third host that knows both looks for the leader")
def step_look(context):
    look(context, known=len(context.tier_hosts))


@when("a third host that knows nobody is told of the leader")
def step_told(context):
    look(context, known=0, introduced=True)


@when("a third host that knows only the first, and asks once a minute, looks for the leader")
def step_look_once(context):
    with patch.object(tier_client, "REDIAL_INTERVAL", 60 * SECOND):
        look(context, known=1)


@then("it follows the one that leads, and has its configuration")
def step_follows(context):
    assert context.followed == context.tier_hosts[-1].place
    assert context.configured == VERSION


@when("a third host that serves by a newer one looks for the leader")
def step_look_newer(context):
    look(context, known=len(context.tier_hosts), version=VERSION + 1)


@then("it has that configuration, and goes on looking for a leader")
def step_kept_taken(context):
    assert context.configured == VERSION
    assert context.followed is None


@then("it still serves by the newer one")
def step_newer(context):
    assert context.configured == VERSION + 1


@then("it stands by, without a leader")
def step_stands_by(context):
    assert context.followed is None
    assert context.stands_by


@then("it does not stand by")
def step_serves(context):
    assert not context.stands_by
