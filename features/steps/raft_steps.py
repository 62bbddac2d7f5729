from __future__ import annotations

from random import Random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from alderhatch.core.raft.effects import Apply, InstallSnapshot, Role, Send
from alderhatch.core.raft.events import (
    AddLearner,
    Persisted,
    Promote,
    Received,
    Remove,
    Tick,
    TransferLeadership,
)
from alderhatch.core.raft.log_entry import EntryKind, HardState, LogEntry, SnapshotMeta
from alderhatch.core.raft.membership import Member, Membership
from alderhatch.core.raft.messages import (
    Append,
    AppendReply,
    PreVoteReply,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
)
from alderhatch.core.raft.raft_log import RaftLog
from alderhatch.core.raft.raft_node import RaftNode
from features.support.raft_cluster import CFG, Cluster
from features.support.raft_schedule import (
    ACTION_KINDS,
    PARTITION_SEEDS,
    WAITS_MS,
    Action,
    run_schedule,
    run_seed,
)

ACTIONS = st.lists(
    st.builds(
        Action,
        st.sampled_from(ACTION_KINDS),
        st.integers(0, 20),
        st.integers(0, 100),
        st.sampled_from(WAITS_MS),
    ),
    min_size=5,
    max_size=60,
)


@then("{count:d} random raft schedules violate no invariant")
def step_random_schedules(context, count):
    @settings(max_examples=count)
    @for_all(st.integers(0, 2**32), st.sampled_from((3, 5, 7)), ACTIONS)
    def keeps_invariants(seed, size, actions):
        run_schedule(seed, size, actions)

    keeps_invariants()


@then("{count:d} raft schedules with partitions violate no invariant")
def step_partition_schedules(context, count):
    acknowledged = sum(
        len(run_seed(PARTITION_SEEDS + offset).acknowledged) for offset in range(count)
    )
    assert acknowledged >= count


@then("the raft schedule with seed {seed:d} violates no invariant")
def step_regression_seed(context, seed):
    run_seed(seed)


@given("a raft follower that restarts with 10 entries on disk")
def step_follower_with_entries(context):
    members = tuple(Member(letter, letter, "127.0.0.1", 1) for letter in "abc")
    entries = [LogEntry(1, 1, EntryKind.MEMBERSHIP, b"", Membership(members))]
    entries += [LogEntry(index, 1, EntryKind.COMMAND, b"x") for index in range(2, 11)]
    log = RaftLog(None, tuple(entries))
    context.raft_node = RaftNode("a", CFG, Random(1), HardState(1, "b"), log, 0.0)
    context.raft_membership = Membership(members)


@when("the raft follower receives a snapshot up to entry 5")
def step_sent_snapshot(context):
    snapshot = SnapshotMeta(5, 1, context.raft_membership, 4, "checksum")
    chunk = SnapshotChunk(1, snapshot, 0, b"data")
    context.raft_effects = context.raft_node.step(Received("b", chunk), 1.0)


@then("the raft follower keeps its 10 entries and confirms the snapshot")
def step_keeps_entries(context):
    node = context.raft_node
    assert not [effect for effect in context.raft_effects if isinstance(effect, InstallSnapshot)]
    assert (node.log.last_index, node.commit_index) == (10, 5)
    assert Send("b", SnapshotReply(1, 5, 0, True)) in context.raft_effects


def _leader_id(cluster):
    assert cluster.run_until(lambda: cluster.leader() is not None)
    return cluster.leader().member.member_id


def _follower_id(cluster):
    leader = _leader_id(cluster)
    return next(
        running_host.member.member_id
        for running_host in cluster.running()
        if running_host.member.member_id != leader
    )


def _propose_and_wait(cluster, count):
    """Propose each command until it is acknowledged, as an operator's program does."""
    for number in range(count):
        for _ in range(20):
            tag = cluster.propose(_leader_id(cluster), b"command %d" % number)
            if cluster.run_until(lambda tag=tag: tag in cluster.acknowledged, 2000):
                break
        else:
            raise AssertionError("a command was not acknowledged after 20 attempts")


@given("a raft cluster of {size:d} members with {count:d} commands")
def step_cluster(context, size, count):
    context.raft = Cluster(size, seed=size)
    _propose_and_wait(context.raft, count)
    context.raft.run(500)
    context.raft_term = context.raft.node(_leader_id(context.raft)).term


@when(
    "the raft {member_role} loses {direction} traffic for {seconds:d} s under load, and reconnects"
)
def step_partitioned(context, member_role, direction, seconds):
    cluster = context.raft
    chosen_id = _leader_id(cluster) if member_role == "leader" else _follower_id(cluster)
    for other in cluster.hosts:
        if other != chosen_id and direction != "outgoing":
            cluster.cut_links.add((other, chosen_id))
        if other != chosen_id and direction != "incoming":
            cluster.cut_links.add((chosen_id, other))
    if member_role == "leader":
        assert cluster.run_until(lambda: _has_replaced_leader(cluster, chosen_id))
    for _ in range(60):
        _propose_and_wait(cluster, 1)
        cluster.run(seconds * 1000 / 60)
    cluster.heal()
    cluster.run(2000)


def _has_replaced_leader(cluster, old_id):
    leader = cluster.leader()
    old_leads = cluster.node(old_id).role is Role.LEADER
    return leader is not None and leader.member.member_id != old_id and not old_leads


@then("the raft term has risen by at most {count:d}")
def step_term(context, count):
    term = context.raft.node(_leader_id(context.raft)).term
    assert term - context.raft_term <= count, (context.raft_term, term)


@then("no two raft members held a lease at the same time")
def step_one_lease(context):
    # The cluster checks the leases after each event and fails at once if two overlap.
    assert context.raft.lease_checks > 100


@then("all raft members reach the same state, with every acknowledged command")
def step_same_state(context):
    before = context.raft.max_acknowledged
    context.raft.check_recovery()
    assert context.raft.max_acknowledged > before


@when("the raft leader is partitioned and receives a read every 10 ms for 3 seconds")
def step_read_when_partitioned(context):
    cluster = context.raft
    old_id = _leader_id(cluster)
    cluster.isolate(old_id)
    host = cluster.hosts[old_id]
    context.reads_after_lease = []
    context.reads_in_lease = 0
    for _ in range(300):
        clock = cluster.now * host.clock_rate
        lease_is_valid = clock < host.node.lease_until(clock)
        tag = cluster.read(old_id)
        if tag in cluster.reads_ready:
            context.reads_in_lease += lease_is_valid
            context.reads_after_lease += [] if lease_is_valid else [cluster.now]
        cluster.run(10)


@then("no raft read was served after the lease had expired")
def step_no_read_after_lease(context):
    assert context.reads_in_lease > 5
    assert context.reads_after_lease == []


@then("another raft member leads and acknowledges a command")
def step_another_leads(context):
    before = context.raft.max_acknowledged
    _propose_and_wait(context.raft, 1)
    assert context.raft.max_acknowledged > before


@when("one raft member gets no leader messages, one is down and two restart after various delays")
def step_restart_in_lease(context):
    for offset_ms in range(0, 400, 5):
        cluster = Cluster(5, seed=offset_ms)
        _propose_and_wait(cluster, 5)
        cluster.run(500)
        leader = _leader_id(cluster)
        unreached, down, *others = [other_id for other_id in cluster.hosts if other_id != leader]
        cluster.crash(down)
        cluster.cut_links.add((leader, unreached))
        cluster.run(250 + offset_ms)
        cluster.isolate(leader)
        for restarted in others:
            cluster.crash(restarted)
            cluster.start(restarted)
        cluster.run(1500)
        context.raft = cluster


@given("a raft leader of term 4 whose log ends with a command of term 2")
def step_old_entry(context):
    members = tuple(Member(letter, letter, "127.0.0.1", 1) for letter in "abc")
    entries = (
        LogEntry(1, 1, EntryKind.MEMBERSHIP, b"", Membership(members)),
        LogEntry(2, 2, EntryKind.COMMAND, b"old"),
    )
    node = RaftNode("a", CFG, Random(1), HardState(3, ""), RaftLog(None, entries), 0.0)
    node.step(Tick(), 1000.0)
    node.step(Received("b", PreVoteReply(4, True)), 1001.0)
    node.step(Persisted(1), 1002.0)
    node.step(Received("b", VoteReply(4, True)), 1003.0)
    node.step(Persisted(2), 1004.0)
    assert (node.role, node.term, node.log.last_index) == (Role.LEADER, 4, 3)
    context.raft_node = node


@when("a majority acknowledges the raft log up to that command")
def step_ack_old(context):
    context.raft_node.step(Received("b", AppendReply(4, True, 1, 2)), 1005.0)
    context.raft_node.step(Received("c", AppendReply(4, True, 1, 2)), 1006.0)


@then("the raft commit index does not change")
def step_not_committed(context):
    assert context.raft_node.commit_index == 0


@when("a majority acknowledges the first raft entry of the leader's term")
def step_ack_new(context):
    message = Received("b", AppendReply(4, True, 2, 3))
    context.raft_effects = context.raft_node.step(message, 1007.0)


@then("all raft entries are committed")
def step_all_committed(context):
    applied = [effect for effect in context.raft_effects if isinstance(effect, Apply)]
    assert [entry.index for effect in applied for entry in effect.entries] == [1, 2, 3]


@when("a raft host is permanently lost and replaced, and then the {second} is lost")
def step_replacement(context, second):
    cluster = context.raft
    lost_member = _follower_id(cluster)
    cluster.crash(lost_member)
    name = lost_member.split(".")[0]
    _change(cluster, AddLearner(cluster.add_empty_member(f"{name}.2")))
    assert cluster.run_until(
        lambda: cluster.node(_leader_id(cluster)).match_index(f"{name}.2") > 100
    )
    _change(cluster, Remove(lost_member))
    _change(cluster, Promote(f"{name}.2"))
    del cluster.hosts[lost_member]
    leader = _leader_id(cluster)
    followers = [other_id for other_id in cluster.hosts if other_id not in (leader, f"{name}.2")]
    second_lost = leader if second == "leader" else followers[0]
    cluster.crash(second_lost)
    context.raft_lost = second_lost


def _change(cluster, change):
    """Request a change until it is accepted, as ``LogNode`` does while a learner catches up."""
    for _ in range(100):
        tag = cluster.change(_leader_id(cluster), change)
        if (
            cluster.run_until(lambda tag=tag: _is_decided(cluster, tag))
            and tag not in cluster.refused
        ):
            return
        assert cluster.refused[tag].refusal in ("not_caught_up", "not_ready"), cluster.refused[tag]
        cluster.run(20)
    raise AssertionError(f"change not accepted after 100 attempts: {change}")


def _is_decided(cluster, tag):
    return tag in cluster.acknowledged or tag in cluster.refused


@then("the raft cluster acknowledges new commands")
def step_new_commands(context):
    before = context.raft.max_acknowledged
    _propose_and_wait(context.raft, 30)
    assert context.raft.max_acknowledged >= before + 30
    assert context.raft.hosts[context.raft_lost].node is None


@when("an empty, unreachable raft member is added and promoted at once")
def step_promote_empty(context):
    cluster = context.raft
    member = cluster.add_empty_member("control-9.1")
    cluster.isolate(member.member_id)
    _change(cluster, AddLearner(member))
    context.raft_tag = cluster.change(_leader_id(cluster), Promote(member.member_id))


@then('the raft change is refused as "{refusal}"')
def step_refused(context, refusal):
    assert context.raft.refused[context.raft_tag].refusal == refusal


@when("two raft members are removed at the same time")
def step_two_removed(context):
    cluster = context.raft
    leader = _leader_id(cluster)
    others = [other_id for other_id in cluster.hosts if other_id != leader]
    cluster.change(leader, Remove(others[0]))
    context.raft_tag = cluster.change(leader, Remove(others[1]))
    cluster.run(200)


@then("the raft membership has {count:d} voters")
def step_voters(context, count):
    node = context.raft.node(_leader_id(context.raft))
    assert len(node.membership.voters) == count


@when("a raft follower is removed and 3 seconds pass")
def step_removed(context):
    context.raft_removed = _follower_id(context.raft)
    _change(context.raft, Remove(context.raft_removed))
    context.raft.run(3000)


@then("the removed raft member is not a voter and no longer sends messages")
def step_removed_is_silent(context):
    cluster = context.raft
    before = cluster.sent_counts[context.raft_removed]
    cluster.run(5000)
    assert cluster.node(context.raft_removed).role is Role.LEARNER
    assert cluster.sent_counts[context.raft_removed] == before


@when("the raft leader transfers its leadership")
def step_transfer_leadership(context):
    cluster = context.raft
    context.raft_old_leader = _leader_id(cluster)
    cluster.submit(context.raft_old_leader, TransferLeadership(0))


@then("another raft member leads within {duration_ms:d} ms")
def step_leads_within(context, duration_ms):
    # Virtual time: the limit covers simulated messages and writes, whatever the machine's speed.
    cluster = context.raft
    cluster.run(duration_ms)
    leader = cluster.leader()
    assert leader is not None and leader.member.member_id != context.raft_old_leader
    assert leader.node.term > context.raft_term


@when("the disk of the raft leader fails")
def step_disk_fails(context):
    cluster = context.raft
    context.raft_old_leader = _leader_id(cluster)
    cluster.fail_disk(context.raft_old_leader)


@then("the failed raft member no longer acknowledges, votes or leads")
def step_failed_is_silent(context):
    cluster = context.raft
    before = cluster.sent_counts[context.raft_old_leader]
    leader = cluster.leader().member.member_id
    refused = cluster.propose(context.raft_old_leader, b"to a failed member")
    cluster.isolate(leader)
    cluster.run(5000)
    assert refused in cluster.refused
    assert cluster.sent_counts[context.raft_old_leader] == before
    assert cluster.node(context.raft_old_leader).role is not Role.LEADER
    cluster.heal()


@when("every raft disk takes up to {duration_ms:d} ms for a write under load")
def step_slow_disks(context, duration_ms):
    cluster = context.raft
    for host in cluster.hosts.values():
        host.persist_delay = duration_ms / 10
    for number in range(40):
        cluster.propose(_leader_id(cluster), b"slow %d" % number)
        cluster.run(100)
    cluster.run(10 * duration_ms)


@when("every raft disk takes up to {duration_ms:d} ms for a write and the leader is lost")
def step_slow_election(context, duration_ms):
    cluster = context.raft
    for host in cluster.hosts.values():
        host.persist_delay = duration_ms / 10
    context.raft_old_leader = _leader_id(cluster)
    cluster.crash(context.raft_old_leader)


@when("a raft follower misses 200 commands and every 2nd chunk of its snapshot is lost")
def step_snapshot_chunks(context):
    cluster = context.raft
    lagging = _follower_id(cluster)
    cluster.isolate(lagging)
    _propose_and_wait(cluster, 200)
    cluster.drops_chunk = lambda number: number % 2 == 1
    context.raft_lagging = lagging
    cluster.heal()
    last = cluster.max_acknowledged
    assert cluster.run_until(lambda: cluster.hosts[lagging].applied >= last)


@then("the raft follower received no chunk twice")
def step_no_chunk_twice(context):
    offsets = context.raft.delivered_chunks[context.raft_lagging]
    assert len(offsets) > 1
    assert len(set(offsets)) == len(offsets), offsets


@when("a raft follower acknowledges no append while {count:d} commands are proposed")
def step_unresponsive_peer(context, count):
    cluster = context.raft
    unresponsive = _follower_id(cluster)
    leader = _leader_id(cluster)
    cluster.cut_links.add((unresponsive, leader))
    context.raft_sent = []
    cluster.on_send = lambda sender, to, message: (
        context.raft_sent.append(cluster.now)
        if to == unresponsive and isinstance(message, Append)
        else None
    )
    for number in range(count):
        cluster.propose(leader, b"flood %d" % number)
        cluster.run(2)


@then("the raft leader sent it at most {count:d} appends in each {duration_ms:d} ms")
def step_flow_control(context, count, duration_ms):
    sent = context.raft_sent
    assert sent
    for start in sent:
        assert sum(start <= at < start + duration_ms for at in sent) <= count


@when("the raft leader is lost and another member leads")
def step_leader_lost(context):
    cluster = context.raft
    context.lost_member = _leader_id(cluster)
    cluster.crash(context.lost_member)
    while cluster.leader() is None:
        cluster.run(1)


@then("the new raft leader never counts the lost member as responsive, but soon all others")
def step_lost_not_responsive(context):
    cluster = context.raft
    host = cluster.leader()
    for _ in range(100):
        responsive = host.node.responsive_members(cluster._clock(host))
        assert context.lost_member not in responsive, responsive
        cluster.run(1)
    assert len(responsive) == len(cluster.hosts) - 1, responsive
