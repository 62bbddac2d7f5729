from __future__ import annotations

import zlib
from contextlib import suppress
from random import Random
from types import SimpleNamespace

import trio
import trio.testing
from behave import given, then, when

from alderhatch import task_faults
from alderhatch.codec import Codec
from alderhatch.control._log_links import LinkHandlers, LogLinks, PeerAddress
from alderhatch.control.log_messages import PEER_MESSAGE_TYPES, PeerHello, PeerHelloReply
from alderhatch.control.log_node_config import LogNodeConfig
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.listed_servers import distinct_servers
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.raft.log_entry import EntryKind, LogEntry, SnapshotMeta
from alderhatch.core.raft.membership import Membership
from alderhatch.core.raft.message_values import MAX_NUMBER, invalid_field
from alderhatch.core.raft.messages import (
    Append,
    AppendReply,
    Heartbeat,
    PreVote,
    PreVoteReply,
    SnapshotChunk,
)
from alderhatch.errors import AlderhatchError
from alderhatch.link import LinkClosedError, Peer, open_link, serve_links
from alderhatch.node.server_list import ServerListReader
from alderhatch.node.state_checkpoint import CheckpointStore, KeptState
from alderhatch.node.tier_messages import (
    ConfigurationNews,
    KeptNews,
    Redirect,
    ServerNews,
    TierView,
)
from alderhatch.signal import Signal
from alderhatch.task_faults import TaskKind
from features.steps.kept_verdicts_steps import CODEC, SECRET, host_state, starting_client
from features.support.raft_cluster import Cluster
from features.support.tier_hosts import TierOfHosts

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20.0
NO_ADDRESS = "\ufffd\ufffd"
SERVER = ServerRecord("i-sound", "kitchen", "10.1.0.1", 80, "zone-0", 2, False)
HOST = HostRecord("host-1", "zone-0", "10.0.0.1:7380", True, 1.0, 7381)
BAD_SERVERS = {
    "a server whose address is no address": {"address": NO_ADDRESS},
    "a server with a port of 70000": {"port": 70_000},
    "a server whose ID isn't ASCII": {"server_id": "i-é"},
    "a server without a zone": {"zone": ""},
    "a server in a zone of 300 letters": {"zone": "z" * 300},
    "a server with no slots": {"slots": 0},
    "a server that is cold for ever": {"warm_up": float("inf")},
}
BAD_HOSTS = {
    "a host whose address is no address": {"caller_address": f"{NO_ADDRESS}:7380"},
    "a host with a port of 70000": {"caller_address": "10.0.0.2:70000"},
    "a host of endless processor time": {"processor": float("inf")},
}
PACKED = zlib.compress(b"{}")


# From a leader


@given("a leader whose messages contain {what}")
def step_messages(context, what):
    servers, view = servers_and_view(what)
    context.messages = [ConfigurationNews(3, PACKED), view, ServerNews(True, servers, [])]


@given("a host without a leader, whose kept state contains {what}")
def step_kept(context, what):
    servers, view = servers_and_view(what)
    context.messages = [
        KeptNews(ConfigurationNews(3, PACKED), view, servers),
        Redirect(None, []),
    ]


def servers_and_view(what):
    other_server = SERVER._replace(**{"server_id": "i-bad"} | BAD_SERVERS.get(what, {}))
    other_host = HOST._replace(**{"name": "host-2"} | BAD_HOSTS.get(what, {}))
    servers = [other_server, SERVER] if what in BAD_SERVERS else [SERVER]
    hosts = [other_host, HOST] if what in BAD_HOSTS else [HOST]
    return servers, TierView(hosts, [], 1.0, len(hosts))


@when("a host follows it")
@when("a host that has just started asks it")
def step_follow(context):
    async def handle(link):
        await link.receive()
        for message in context.messages:
            await link.send(message)
        await trio.sleep_forever()

    async def main():
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                port = listeners[0].socket.getsockname()[1]
                peer = Peer("host-0", "control")
                nursery.start_soon(serve_links, listeners, CODEC, SECRET, peer, handle)
                state = context.state = host_state()
                nursery.start_soon(starting_client(state, port).run)
                while not state.records:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("the host uses the sound servers and hosts of these messages, and no others")
def step_usable(context):
    assert list(context.state.records.values()) == [SERVER], context.state.records
    assert context.state.hosts == [HOST], context.state.hosts


# From a host that joins


@given("a leader and 3 hosts, one of which has text for an address")
def step_bad_host(context):
    context.tier = TierOfHosts(3)
    context.tier.hosts[0].address = NO_ADDRESS
    for host in context.tier.hosts:
        host.serving = True


@when("all of them join")
def step_join(context):
    async def serve(host):
        try:
            await context.tier.server.serve(host.link)
        except AlderhatchError as exc:
            context.refused = exc
        host.link.closed.set()

    async def script(tier):
        tier._serve = serve
        await tier.join_all(100.0)
        await trio.sleep(3.0)

    context.tier.run_script(script)


@then("the views name the other 2")
def step_views(context):
    assert context.refused.failure.field == "Join"
    for host in context.tier.hosts[1:]:
        names = [one.name for one in host.received(TierView)[-1].hosts]
        assert sorted(names) == ["host-0001", "host-0002"], names


# From the disk


@given("a host whose checkpoint {what}")
def step_checkpoint(context, what):
    context.state = host_state()
    hosts = [HOST]
    context.read_error = None
    match what:
        case "has a host whose address is no address":
            hosts.append(HOST._replace(name="host-2", caller_address=NO_ADDRESS))
        case "raises an error while it is applied":
            context.state.apply_view = failing
        case "raises an error while it is read":
            context.read_error = OverflowError("a mistake")
    view = TierView(hosts, [], 1.0)
    context.checkpoint = KeptState(ConfigurationNews(3, PACKED), view)


def failing(*_):
    raise OverflowError("a mistake")


@when("the host starts")
def step_start(context):
    def read(folder):
        if context.read_error is not None:
            raise context.read_error
        return context.checkpoint

    context.faults_before = task_faults.counts[TaskKind.CHECKPOINT]

    async def main():
        await CheckpointStore(None, context.state, read).restore()

    trio.run(main)


@then("it goes on, with {rest} of the checkpoint")
def step_restored(context, rest):
    faults = task_faults.counts[TaskKind.CHECKPOINT] - context.faults_before
    seen = (context.state.stored.version, [one.name for one in context.state.hosts], faults)
    expected = {
        "the rest": (3, ["host-1"], 0),
        "what precedes": (3, [], 1),
        "nothing": (0, [], 1),
    }
    assert seen == expected[rest], seen


# Entries that contradict others


@given("a sound server that is listed, and an entry with its ID at {where}")
def step_twin(context, where):
    changes = {"address": "10.9.9.9"} if where == "another address" else {"upstream": "laundry"}
    context.entry = SERVER._replace(**changes)


@given("a sound server that is listed, and an entry with its ID as draining")
def step_draining_twin(context):
    context.entry = SERVER._replace(draining=True)


@given("a sound server that is listed, and an entry of another ID at a host's address for callers")
def step_own_address(context):
    context.entry = SERVER._replace(server_id="i-own", address="10.0.0.1", port=7380)


@when("the list names the entry {order} the server, {before}")
def step_list_both(context, order, before):
    both = [SERVER, context.entry] if order == "after" else [context.entry, SERVER]
    lists = [[SERVER], both] if before == "after it was listed alone" else [both]
    server = SimpleNamespace(
        leads=True, role_changed=Signal(), update_server_list=lambda records: None
    )

    async def main():
        context.state = state = host_state()
        state.apply_configuration(StoredConfiguration(3, PACKED))
        state.apply_view(TierView([HOST], [], 1.0))
        source = ListsInTurn(lists)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ServerListReader(source, state, server, Random(1)).run)
            with trio.fail_after(TIMEOUT_S):
                await source.ended.wait()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class ListsInTurn:
    """A source that returns each of some lists once, and the last one again."""

    def __init__(self, lists):
        self._lists = list(lists)
        self._last_reads = 0
        self.ended = trio.Event()

    async def read(self):
        if len(self._lists) > 1:
            return self._lists.pop(0)
        self._last_reads += 1
        if self._last_reads > 1:
            self.ended.set()
        return self._lists[0]


@then("the server is still used at its address")
def step_still_used(context):
    assert context.state.records == {SERVER.server_id: SERVER}, context.state.records


@then("the server is draining")
def step_draining(context):
    assert context.state.records[SERVER.server_id].draining
    # From the first read on, as requests may arrive before the second one.
    assert distinct_servers([SERVER, context.entry], {})[SERVER.server_id].draining


@then("the server is the only one")
def step_only(context):
    assert list(context.state.records) == [SERVER.server_id], context.state.records


# Messages of the replicated log

MEMBERSHIP = Membership(())
MESSAGES = {
    "a negative term": PreVote(-1, 0, 0),
    "an index above all sizes": Heartbeat(1, 1, MAX_NUMBER + 1),
    "an entry that leaves a gap": Append(2, 4, 1, (LogEntry(6, 2, EntryKind.NOOP),), 0),
    "an entry of a later term": Append(2, 4, 1, (LogEntry(5, 3, EntryKind.NOOP),), 0),
    "a chunk beyond its snapshot": SnapshotChunk(
        2, SnapshotMeta(5, 1, MEMBERSHIP, 3, "0"), 2, b"xx"
    ),
    "a snapshot before all entries": SnapshotChunk(
        2, SnapshotMeta(0, 1, MEMBERSHIP, 3, "0"), 0, b"xx"
    ),
}


@given("a message of another member with {what}")
def step_log_message(context, what):
    context.message = MESSAGES[what]


@then("it is refused, and names {field}")
def step_refused(context, field):
    assert invalid_field(context.message) == field, invalid_field(context.message)


@given("a member of the log that is linked to another one")
def step_linked(context):
    context.handled = []


@when("the other one sends a {kind} with a negative term")
def step_send_negative(context, kind):
    codec = Codec(*PEER_MESSAGE_TYPES)
    handlers = LinkHandlers(
        lambda sender, message: context.handled.append(message), lambda _: None, lambda _: True
    )
    own, other = Peer("me", "control"), Peer("other", "control")
    links = LogLinks(own, SECRET, LogNodeConfig(), lambda: PeerHello("m-1", "c-1"), handlers)

    async def send_until_closed(link, hello, message):
        await link.send(hello)
        await link.send(message)
        with suppress(LinkClosedError):
            while True:
                await link.receive()
        context.closed.set()

    async def reply(link):
        await link.receive()
        await send_until_closed(link, PeerHelloReply("m-2", "c-1"), PreVoteReply(-1, True))

    async def main():
        context.closed = trio.Event()
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
                port = listeners[0].socket.getsockname()[1]
                if kind == "request":
                    await nursery.start(serve_links, listeners, codec, SECRET, own, links.serve)
                    async with open_link(LOOPBACK, port, codec, SECRET, other) as link:
                        message = PreVote(-1, 0, 0)
                        await send_until_closed(link, PeerHello("m-2", "c-1"), message)
                else:
                    await nursery.start(serve_links, listeners, codec, SECRET, other, reply)
                    links.add_peer(PeerAddress("other", LOOPBACK, port))
                    nursery.start_soon(links.run)
                await context.closed.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)


@then("the member takes no step with it, and closes that link")
def step_no_step(context):
    assert context.handled == [], context.handled


@given("a leader of three members")
def step_log_leader(context):
    context.cluster = Cluster(3, 1)
    assert context.cluster.run_until(lambda: context.cluster.leader() is not None)
    context.cluster.run(1000.0)


@when("both others say that they have one entry more than the leader, and are cut off")
def step_claim(context):
    cluster = context.cluster
    leader = cluster.leader()
    node = cluster.node(leader.member.member_id)
    reply = AppendReply(node.term, True, node.log.last_index, node.log.last_index + 1)
    for other in cluster.running():
        if other is not leader:
            cluster._deliver(other.member.member_id, leader.member.member_id, reply)
    cluster.isolate(leader.member.member_id)
    context.node = node


@then("a change that is proposed then isn't committed")
def step_not_committed(context):
    node = context.node
    before = node.commit_index
    context.cluster.propose(node.member_id, b"change")
    context.cluster.run(100.0)
    assert node.log.last_index > before
    assert node.commit_index == before, (before, node.commit_index)
