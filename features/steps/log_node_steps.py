from __future__ import annotations

import errno
import shutil
from collections import Counter

import trio
from behave import then, when

from alderhatch.clock import SECOND
from alderhatch.control._log_links import PeerAddress
from alderhatch.errors import AlderhatchError, ErrorKind
from alderhatch.link import Link
from alderhatch.storage.files import DiskFiles
from features.support.log_cluster import CFG, LogCluster, LogHost, run_log_cluster

FULL = "disk is full"


class FillingFiles(DiskFiles):
    """A folder on a disk that can be made full."""

    full: set[str] = set()  # noqa: RUF012

    def _open(self, name, flags):
        file = super()._open(name, flags)
        write = file.write

        def write_if_room(data):
            if str(self.folder) in self.full:
                write(data[: len(data) // 2])
                raise OSError(errno.ENOSPC, FULL)
            write(data)

        file.write = write_if_room
        return file


async def _propose_all(cluster, count, acknowledged, pause=0.0):
    for number in range(count):
        command = b"command %d" % len(acknowledged)
        await cluster.propose(command)
        acknowledged.append(command)
        await trio.sleep(pause if number else 0)


def _without_repeats(commands):
    return list(dict.fromkeys(commands))


async def _record(context, cluster):
    await cluster.settle()
    context.log_resent = cluster.resent
    leader = await cluster.leader()
    context.log_status = leader.status()
    context.log_states = {
        host.name: list(host.machine.commands)
        for host in cluster.hosts.values()
        if host.node is not None and host.name in leader.status().voters
    }


def _check_nothing_lost(context):
    for name, commands in context.log_states.items():
        missing = set(context.acknowledged) - set(commands)
        assert not missing, (name, missing)
        assert _without_repeats(commands) == context.acknowledged, name


@when("{size:d} log hosts are founded and take {count:d} commands")
def step_take(context, size, count):
    context.acknowledged = []
    context.barriers = {}

    async def scenario(cluster):
        await _propose_all(cluster, count, context.acknowledged)
        await _record(context, cluster)
        for node in cluster.running():
            try:
                context.barriers[node.status().role] = await node.read_barrier()
            except AlderhatchError as exc:
                context.barriers[node.status().role] = exc.failure.kind

    run_log_cluster(size, scenario)
    context.log_size = size


@then("each log host has applied the same commands in the same order")
def step_same(context):
    assert len(context.log_states) == len(context.log_status.voters)
    first, *others = context.log_states.values()
    assert all(other == first for other in others), context.log_states
    assert _without_repeats(first) == context.acknowledged, first
    # Whoever isn't told what became of a command sends it again, and it may have been taken before.
    resent = context.log_resent
    repeated = {one: count for one, count in Counter(first).items() if count > 1 + resent[one]}
    assert not repeated, (repeated, resent)


@when("{size:d} log hosts take {count:d} commands, and the outcome of one of them is lost")
def step_lost_outcome(context, size, count):
    context.acknowledged = []

    async def scenario(cluster):
        cluster.loses_outcome_of = context.lost_outcome = b"command %d" % (count // 2)
        await _propose_all(cluster, count, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(size, scenario)


@then("that command was sent again, and stands in the log twice")
def step_twice(context):
    assert context.log_resent[context.lost_outcome] == 1
    for commands in context.log_states.values():
        assert commands.count(context.lost_outcome) == 2


@then("a log read barrier at the leader covers them, and the others refuse it")
def step_barrier(context):
    wanted = {"leader": context.log_status.commit_index}
    if context.log_size > 1:
        wanted["follower"] = ErrorKind.NO_LEADER
    assert context.barriers == wanted, context.barriers


@when("{size:d} log hosts take {count:d} commands, are all stopped and started again")
def step_restart_all(context, size, count):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, count, context.acknowledged)
        for name in cluster.hosts:
            await cluster.stop(name)
        await cluster.start_all()
        await _record(context, cluster)
        context.log_entries = context.log_status.last_index - context.log_status.snapshot_index

    run_log_cluster(size, scenario)


@then("the log lost no acknowledged command and its journal is compacted")
def step_compacted(context):
    _check_nothing_lost(context)
    assert context.log_status.snapshot_index > 300
    assert context.log_entries < 100


@when("the log leader of {size:d} is killed while {count:d} commands are proposed")
def step_kill_leader(context, size, count):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, count // 2, context.acknowledged)
        leader = await cluster.leader()
        context.old_term = leader.term
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_propose_all, cluster, count // 2, context.acknowledged, 0.01)
            await trio.sleep(0.05)
            await cluster.stop(leader.name)
        await cluster.start(leader.name)
        await _record(context, cluster)

    run_log_cluster(size, scenario)


@then("the log lost no acknowledged command and its term rose")
def step_term_rose(context):
    _check_nothing_lost(context)
    assert len(context.log_states) == 3
    assert context.log_status.term > context.old_term


async def _replace_disk(cluster, name):
    host = cluster.hosts[name]
    await cluster.stop(name)
    shutil.rmtree(host.folder)
    await cluster.start(name)


async def _follower_names(cluster):
    leader = await cluster.leader()
    return [name for name in cluster.hosts if name != leader.name]


async def _until_done(cluster, do):
    """Ask the leader, whoever that is, until it has done it."""
    while True:
        try:
            await do(await cluster.leader())
            return
        except AlderhatchError as exc:
            if exc.failure.kind is not ErrorKind.NO_LEADER:
                raise


@when("the disk of a log follower of 3 is replaced, it is repaired, and another host is lost")
def step_repair(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 150, context.acknowledged)
        name, other = await _follower_names(cluster)
        await _replace_disk(cluster, name)
        await _until_done(cluster, lambda node: node.add_learner(name))
        await _until_done(cluster, lambda node: node.promote(name))
        await cluster.stop(other)
        await _propose_all(cluster, 20, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the log lost no acknowledged command and takes new ones")
def step_takes_new(context):
    _check_nothing_lost(context)
    assert len(context.log_states) >= 2


@when("the disk of the first log host of 3 is replaced without a repair, and another host stops")
def step_no_repair(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 20, context.acknowledged)
        await _replace_disk(cluster, "control-1")
        await cluster.leader()
        await cluster.stop("control-2")
        await trio.sleep(0.5)
        context.alone = [node.holds_lease() for node in cluster.running()]
        context.alone_clusters = [
            cluster.hosts[name].node.status().commit_index for name in ("control-1", "control-3")
        ]
        with trio.move_on_after(1.0) as scope:
            await cluster.propose(b"while no majority is there")
        context.blocked = scope.cancelled_caught
        await cluster.start("control-2")
        await _propose_all(cluster, 5, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the log acknowledges nothing until that other host is back")
def step_blocked(context):
    assert context.blocked
    assert context.alone == [False, False]
    assert context.alone_clusters[0] == 0
    for name in ("control-2", "control-3"):
        assert context.log_states[name] == context.acknowledged


async def _join_fourth(cluster):
    new = LogHost("control-4", cluster.hosts["control-1"].folder.parent / "4")
    await cluster.choose_port(new)
    cluster.hosts["control-4"] = new
    await cluster.start("control-4")
    await _until_done(cluster, lambda node: node.add_learner("control-4", "127.0.0.1", new.port))


@when("a fourth log host joins 3 as learner, is promoted, and another one is removed")
def step_fourth(context):
    context.acknowledged = []

    async def scenario(cluster: LogCluster):
        await _propose_all(cluster, 120, context.acknowledged)
        removed = (await _follower_names(cluster))[-1]
        await _join_fourth(cluster)
        await _until_done(cluster, lambda node: node.promote("control-4"))
        await _until_done(cluster, lambda node: node.remove_member(removed))
        context.removed = removed
        await _propose_all(cluster, 5, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the log has the other three as voters, with every acknowledged command")
def step_voters(context):
    wanted = {"control-1", "control-2", "control-3", "control-4"} - {context.removed}
    assert set(context.log_status.voters) == wanted
    assert len(context.log_states) == 3
    _check_nothing_lost(context)


@when("a fourth log host joins 3 as learner, stops with another one, and is to be promoted")
def step_gone_replacement(context):
    context.acknowledged = []

    async def scenario(cluster: LogCluster):
        await _propose_all(cluster, 20, context.acknowledged)
        await _join_fourth(cluster)
        leader = await cluster.leader()
        while not leader.caught_up("control-4"):
            await trio.sleep(0.01)
            leader = await cluster.leader()
        lost = next(name for name in ("control-1", "control-2") if name != leader.name)
        await cluster.stop("control-4")
        await cluster.stop(lost)
        await trio.sleep(2 * CFG.raft.election_timeout / SECOND)
        context.gone_counts = leader.caught_up("control-4")
        try:
            await leader.promote("control-4", in_place_of=lost)
        except AlderhatchError as exc:
            context.refusal = exc.failure.kind
        context.names = {one.name for one in leader.membership.voters}
        await _propose_all(cluster, 5, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("it gets no vote, and the log takes new commands")
def step_no_vote(context):
    assert not context.gone_counts
    assert context.refusal is ErrorKind.NO_LEADER, context.refusal
    assert context.names == {"control-1", "control-2", "control-3"}, context.names
    _check_nothing_lost(context)
    assert len(context.acknowledged) == 25


@when("the log leader of 3 hands over and is stopped while commands come in")
def step_planned_stop(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 20, context.acknowledged)
        leader = await cluster.leader()
        context.old_term = leader.term
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_propose_all, cluster, 50, context.acknowledged, 0.005)
            await trio.sleep(0.05)
            await leader.transfer_leadership()
            assert not leader.is_leader
            await cluster.stop(leader.name)
        await cluster.start(leader.name)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@when("5 log hosts are founded and the leader hands over at once")
def step_early_hand_over(context):
    context.log_terms = []

    async def scenario(cluster):
        leader = await cluster.leader()
        context.log_terms.append(leader.term)
        await leader.transfer_leadership()
        context.log_terms.append((await cluster.leader()).term)

    # Patient members, so that a busy machine brings about no election of its own.
    raft = CFG.raft._replace(election_timeout=1500)
    run_log_cluster(5, scenario, cfg=CFG._replace(raft=raft, probe=30_000, silence=5000))


@then("the log has a new leader in the next term")
def step_next_term(context):
    first, second = context.log_terms
    assert second == first + 1, context.log_terms


@when("the disk of the log leader of 3 is full")
def step_full(context):
    context.acknowledged = []

    async def scenario(cluster):
        for host in cluster.hosts.values():
            host.files = FillingFiles
        for name in cluster.hosts:
            await cluster.stop(name)
        await cluster.start_all()
        await _propose_all(cluster, 20, context.acknowledged)
        old = await cluster.leader()
        folder = str(cluster.hosts[old.name].folder)
        FillingFiles.full.add(folder)
        await _propose_all(cluster, 20, context.acknowledged)
        context.log_failed = old.status()
        context.refused_kind = None
        try:
            await old.propose(b"to the failed host")
        except AlderhatchError as exc:
            context.refused_kind = exc.failure.kind
        FillingFiles.full.discard(folder)
        await cluster.stop(old.name)
        await cluster.start(old.name)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the failed log host says so, refuses commands and leads no more")
def step_failed(context):
    assert FULL in context.log_failed.storage_failure
    assert context.log_failed.role != "leader"
    assert context.refused_kind is ErrorKind.STORAGE_FAILED
    assert context.log_status.leader != context.log_failed.host


@then("the failed log host has everything after it was started with an empty enough disk")
def step_failed_back(context):
    commands = context.log_states[context.log_failed.host]
    assert _without_repeats(commands) == context.acknowledged


@when("the link of the log leader of 3 to a follower goes silent")
def step_silent(context):
    context.acknowledged = []
    context.silent = {}
    lost = []
    send = Link.send

    async def send_or_lose(self, message):
        if self in lost:
            return
        await send(self, message)

    async def scenario(cluster):
        await _propose_all(cluster, 5, context.acknowledged)
        leader = await cluster.leader()
        name = (await _follower_names(cluster))[0]
        outbox = leader._links.remotes[name].outbox
        Link.send = send_or_lose
        lost.append(outbox.link)
        before = cluster.hosts[name].node.status().applied_index
        await _propose_all(cluster, 5, context.acknowledged)
        await cluster.settle()
        context.silent = {
            "news": cluster.hosts[name].node.status().applied_index - before,
            "same_leader": (await cluster.leader()).name == leader.name,
            "new_link": leader._links.remotes[name].outbox is not outbox,
        }
        await _record(context, cluster)

    try:
        run_log_cluster(3, scenario)
    finally:
        Link.send = send


@then("the log follower gets new commands over a new link")
def step_new_link(context):
    assert context.silent["news"] >= 5, context.silent
    assert context.silent["new_link"], context.silent
    _check_nothing_lost(context)


@when("a log host of another cluster dials a log host")
def step_other_cluster(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 5, context.acknowledged)
        name = "control-2"
        stranger = type(cluster.hosts[name])("control-9", cluster.hosts[name].folder.parent / "9")
        await cluster.choose_port(stranger)
        founders = cluster.founders
        cluster.hosts["control-9"] = stranger
        cluster.founders = ["control-9"]
        await cluster.start("control-9")
        cluster.founders = founders
        node = cluster.hosts["control-9"].node
        await node.propose(b"of another cluster")
        leader = await _leader_of(cluster, founders)
        context.refused = None
        try:
            await leader.add_learner("control-9", "127.0.0.1", stranger.port)
        except AlderhatchError as exc:
            context.refused = exc.failure.kind
        target = cluster.hosts[name]
        node._links.add_peer(PeerAddress(name, "127.0.0.1", target.port))
        await trio.sleep(0.5)
        context.stranger_commands = list(stranger.machine.commands)
        context.own_voters = leader.status().voters
        context.own_commands = list(target.machine.commands)

    run_log_cluster(3, scenario)


async def _leader_of(cluster, names):
    while True:
        for name in names:
            if cluster.hosts[name].node.holds_lease():
                return cluster.hosts[name].node
        await trio.sleep(0.01)


@then("the log host refuses it and keeps its state")
def step_refused(context):
    assert context.refused is ErrorKind.INVALID_CHANGE, context.refused
    assert context.own_voters == ("control-1", "control-2", "control-3")
    assert context.own_commands == context.acknowledged, context.own_commands
    assert context.stranger_commands == [b"of another cluster"]
