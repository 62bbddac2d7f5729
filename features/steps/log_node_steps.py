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

DISK_FULL_MESSAGE = "disk is full"


class LimitedDiskFiles(DiskFiles):
    """Files on a disk that a test can make full."""

    full_folders: set[str] = set()  # noqa: RUF012

    def _open(self, name, flags):
        file = super()._open(name, flags)
        write = file.write

        def write_unless_full(data):
            if str(self.folder) in self.full_folders:
                write(data[: len(data) // 2])
                raise OSError(errno.ENOSPC, DISK_FULL_MESSAGE)
            write(data)

        file.write = write_unless_full
        return file


async def _propose_all(cluster, count, acknowledged, pause=0.0):
    for number in range(count):
        command = b"command %d" % len(acknowledged)
        await cluster.propose(command)
        acknowledged.append(command)
        await trio.sleep(pause if number else 0)


async def _refusal_of(node):
    """Return the kind of error with which a failed host refuses a command; None if it does not."""
    try:
        await node.propose(b"to the failed host")
    except AlderhatchError as exc:
        return exc.failure.kind
    return None


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


@when("{size:d} log hosts bootstrap the log and {count:d} commands are committed")
def step_commit(context, size, count):
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
def step_same_commands(context):
    assert len(context.log_states) == len(context.log_status.voters)
    first, *others = context.log_states.values()
    assert all(other == first for other in others), context.log_states
    assert _without_repeats(first) == context.acknowledged, first
    # A command with an unknown outcome is proposed again and may then be committed twice.
    resent = context.log_resent
    repeated = {
        proposed: count
        for proposed, count in Counter(first).items()
        if count > 1 + resent[proposed]
    }
    assert not repeated, (repeated, resent)


@when("{size:d} log hosts commit {count:d} commands, and the outcome of one of them is lost")
def step_lost_outcome(context, size, count):
    context.acknowledged = []

    async def scenario(cluster):
        cluster.lost_outcome_command = context.lost_outcome = b"command %d" % (count // 2)
        await _propose_all(cluster, count, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(size, scenario)


@then("that command was proposed again and is in the log twice")
def step_in_log_twice(context):
    assert context.log_resent[context.lost_outcome] == 1
    for commands in context.log_states.values():
        assert commands.count(context.lost_outcome) == 2


@then("a read barrier on the log leader covers them, and the other log hosts refuse it")
def step_barrier(context):
    expected = {"leader": context.log_status.commit_index}
    if context.log_size > 1:
        expected["follower"] = ErrorKind.NO_LEADER
    assert context.barriers == expected, context.barriers


@when("{size:d} log hosts commit {count:d} commands, are all stopped and are started again")
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


@when("the leader of {size:d} log hosts is killed while {count:d} commands are proposed")
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


@then("the log lost no acknowledged command and its term increased")
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


async def _retry_on_leader(cluster, action):
    """Call ``action`` with the current leader until it succeeds."""
    while True:
        try:
            await action(await cluster.leader())
            return
        except AlderhatchError as exc:
            if exc.failure.kind is not ErrorKind.NO_LEADER:
                raise


@when("the disk of a follower of 3 log hosts is replaced and repaired, and another host is lost")
def step_repair(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 150, context.acknowledged)
        name, other = await _follower_names(cluster)
        await _replace_disk(cluster, name)
        await _retry_on_leader(cluster, lambda node: node.add_learner(name))
        await _retry_on_leader(cluster, lambda node: node.promote(name))
        await cluster.stop(other)
        await _propose_all(cluster, 20, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the log lost no acknowledged command and accepts new ones")
def step_accepts_new(context):
    _check_nothing_lost(context)
    assert len(context.log_states) >= 2


@when("the disk of the first of 3 log hosts is replaced without a repair, and another host stops")
def step_no_repair(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 20, context.acknowledged)
        await _replace_disk(cluster, "control-1")
        await cluster.leader()
        await cluster.stop("control-2")
        await trio.sleep(0.5)
        context.leases = [node.holds_lease() for node in cluster.running()]
        context.commit_indexes = [
            cluster.hosts[name].node.status().commit_index for name in ("control-1", "control-3")
        ]
        with trio.move_on_after(1.0) as scope:
            await cluster.propose(b"without a majority")
        context.blocked = scope.cancelled_caught
        await cluster.start("control-2")
        await _propose_all(cluster, 5, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the log acknowledges no command until that other host is back")
def step_no_acknowledgement(context):
    assert context.blocked, "a command was acknowledged"
    assert context.leases == [False, False], context.leases
    assert context.commit_indexes[0] == 0, context.commit_indexes
    for name in ("control-2", "control-3"):
        assert context.log_states[name] == context.acknowledged, name


async def _join_fourth(cluster):
    new = LogHost("control-4", cluster.hosts["control-1"].folder.parent / "4")
    await cluster.choose_port(new)
    cluster.hosts["control-4"] = new
    await cluster.start("control-4")
    await _retry_on_leader(
        cluster, lambda node: node.add_learner("control-4", "127.0.0.1", new.port)
    )


@when("a fourth log host joins 3 as a learner, is promoted, and another one is removed")
def step_fourth_host(context):
    context.acknowledged = []

    async def scenario(cluster: LogCluster):
        await _propose_all(cluster, 120, context.acknowledged)
        removed = (await _follower_names(cluster))[-1]
        await _join_fourth(cluster)
        await _retry_on_leader(cluster, lambda node: node.promote("control-4"))
        await _retry_on_leader(cluster, lambda node: node.remove_member(removed))
        context.removed = removed
        await _propose_all(cluster, 5, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the other three are voters of the log and have every acknowledged command")
def step_voters(context):
    expected = {"control-1", "control-2", "control-3", "control-4"} - {context.removed}
    assert set(context.log_status.voters) == expected
    assert len(context.log_states) == 3
    _check_nothing_lost(context)


@when("a fourth log host joins 3 as a learner, stops with another one, and is to be promoted")
def step_stopped_replacement(context):
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
        context.stopped_caught_up = leader.caught_up("control-4")
        try:
            await leader.promote("control-4", in_place_of=lost)
        except AlderhatchError as exc:
            context.refusal = exc.failure.kind
        context.voter_names = {voter.name for voter in leader.membership.voters}
        await _propose_all(cluster, 5, context.acknowledged)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("it gets no vote, and the log accepts new commands")
def step_no_vote(context):
    assert not context.stopped_caught_up
    assert context.refusal is ErrorKind.NO_LEADER, context.refusal
    assert context.voter_names == {"control-1", "control-2", "control-3"}, context.voter_names
    _check_nothing_lost(context)
    assert len(context.acknowledged) == 25


@when("the leader of 3 log hosts transfers its leadership and stops while commands arrive")
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


@when("5 log hosts bootstrap the log and the leader transfers its leadership at once")
def step_early_transfer(context):
    context.log_terms = []

    async def scenario(cluster):
        leader = await cluster.leader()
        context.log_terms.append(leader.term)
        await leader.transfer_leadership()
        context.log_terms.append((await cluster.leader()).term)

    # The long timeouts avoid further elections on a busy machine.
    raft = CFG.raft._replace(election_timeout=1500)
    run_log_cluster(5, scenario, cfg=CFG._replace(raft=raft, probe=30_000, silence=5000))


@then("the log has a new leader in the next term")
def step_next_term(context):
    first, second = context.log_terms
    assert second == first + 1, context.log_terms


@when("the disk of the leader of 3 log hosts is full")
def step_full_disk(context):
    context.acknowledged = []

    async def scenario(cluster):
        for host in cluster.hosts.values():
            host.files = LimitedDiskFiles
        for name in cluster.hosts:
            await cluster.stop(name)
        await cluster.start_all()
        await _propose_all(cluster, 20, context.acknowledged)
        old = await cluster.leader()
        folder = str(cluster.hosts[old.name].folder)
        LimitedDiskFiles.full_folders.add(folder)
        await _propose_all(cluster, 20, context.acknowledged)
        context.log_failed = old.status()
        context.refused_kind = await _refusal_of(old)
        LimitedDiskFiles.full_folders.discard(folder)
        await cluster.stop(old.name)
        await cluster.start(old.name)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("the failed log host reports it, refuses commands and is no longer the leader")
def step_failure_reported(context):
    assert DISK_FULL_MESSAGE in context.log_failed.storage_failure
    assert context.log_failed.role != "leader"
    assert context.refused_kind is ErrorKind.STORAGE_FAILED
    assert context.log_status.leader != context.log_failed.host


@then("the failed log host has every command after a restart with free disk space")
def step_failed_host_restored(context):
    commands = context.log_states[context.log_failed.host]
    assert _without_repeats(commands) == context.acknowledged


POISON = b"poison"


def poison(machine):
    """Let a state machine fail at one command."""
    apply = machine.apply

    def apply_or_fail(index, command):
        if command == POISON:
            raise LookupError("a command of a later build")
        return apply(index, command)

    machine.apply = apply_or_fail


@when("{whom} of 3 log hosts can't apply a command")
def step_poison(context, whom):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 10, context.acknowledged)
        leader = await cluster.leader()
        followers = [node for node in cluster.running() if node is not leader]
        failing = leader if whom == "the leader" else followers[0]
        host = cluster.hosts[failing.name]
        poison(host.machine)
        await cluster.propose(POISON)
        context.acknowledged.append(POISON)
        while failing.status().storage_failure is None:
            await trio.sleep(0.01)
        context.log_failed = failing.status()
        context.failed_commands = list(host.machine.commands)
        context.refused_kind = await _refusal_of(failing)
        await _propose_all(cluster, 10, context.acknowledged)
        context.failed_later = failing.status()
        assert host.machine.commands == context.failed_commands
        await cluster.stop(failing.name)
        await cluster.start(failing.name)
        await _record(context, cluster)

    run_log_cluster(3, scenario)


@then("that member has stopped with the reason, and acknowledges nothing")
def step_poisoned(context):
    assert "a command of a later build" in context.log_failed.storage_failure
    assert context.log_failed.role != "leader"
    assert context.refused_kind is ErrorKind.STORAGE_FAILED
    assert context.failed_later.last_index == context.log_failed.last_index
    assert context.failed_later.term == context.log_failed.term


@then("the log goes on without it, and it has every command after a restart")
def step_poisoned_restored(context):
    _check_nothing_lost(context)
    assert _without_repeats(context.log_states[context.log_failed.host]) == context.acknowledged


@when("the link of the leader of 3 log hosts to a follower goes silent")
def step_silent(context):
    context.acknowledged = []
    context.silent = {}
    dropped_links = []
    send = Link.send

    async def send_or_drop(self, message):
        if self in dropped_links:
            return
        await send(self, message)

    async def scenario(cluster):
        await _propose_all(cluster, 5, context.acknowledged)
        leader = await cluster.leader()
        name = (await _follower_names(cluster))[0]
        outbox = leader._links.peers[name].outbox
        Link.send = send_or_drop
        dropped_links.append(outbox.link)
        before = cluster.hosts[name].node.status().applied_index
        await _propose_all(cluster, 5, context.acknowledged)
        await cluster.settle()
        context.silent = {
            "new_commands": cluster.hosts[name].node.status().applied_index - before,
            "same_leader": (await cluster.leader()).name == leader.name,
            "new_link": leader._links.peers[name].outbox is not outbox,
        }
        await _record(context, cluster)

    try:
        run_log_cluster(3, scenario)
    finally:
        Link.send = send


@then("the follower receives new commands over a new link")
def step_new_link(context):
    assert context.silent["new_commands"] >= 5, context.silent
    assert context.silent["new_link"], context.silent
    _check_nothing_lost(context)


@when("a log host of another cluster dials a log host")
def step_other_cluster(context):
    context.acknowledged = []

    async def scenario(cluster):
        await _propose_all(cluster, 5, context.acknowledged)
        name = "control-2"
        foreign = type(cluster.hosts[name])("control-9", cluster.hosts[name].folder.parent / "9")
        await cluster.choose_port(foreign)
        founders = cluster.founders
        cluster.hosts["control-9"] = foreign
        cluster.founders = ["control-9"]
        await cluster.start("control-9")
        cluster.founders = founders
        node = cluster.hosts["control-9"].node
        await node.propose(b"of another cluster")
        leader = await _leader_of(cluster, founders)
        context.refused = None
        try:
            await leader.add_learner("control-9", "127.0.0.1", foreign.port)
        except AlderhatchError as exc:
            context.refused = exc.failure.kind
        target = cluster.hosts[name]
        node._links.add_peer(PeerAddress(name, "127.0.0.1", target.port))
        await trio.sleep(0.5)
        context.foreign_commands = list(foreign.machine.commands)
        context.own_voters = leader.status().voters
        context.own_commands = list(target.machine.commands)

    run_log_cluster(3, scenario)


async def _leader_of(cluster, names):
    while True:
        for name in names:
            if cluster.hosts[name].node.holds_lease():
                return cluster.hosts[name].node
        await trio.sleep(0.01)


@then("the log host refuses it and keeps its own state")
def step_refused(context):
    assert context.refused is ErrorKind.INVALID_CHANGE, context.refused
    assert context.own_voters == ("control-1", "control-2", "control-3")
    assert context.own_commands == context.acknowledged, context.own_commands
    assert context.foreign_commands == [b"of another cluster"]
