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
    HARSH_SEEDS,
    KINDS,
    WAITS,
    Action,
    run_schedule,
    run_seed,
)

ACTIONS = st.lists(
    st.builds(
        Action,
        st.sampled_from(KINDS),
        st.integers(0, 20),
        st.integers(0, 100),
        st.sampled_from(WAITS),
    ),
    min_size=5,
    max_size=60,
)


@then("{count:d} random raft schedules break no promise")
def step_random_schedules(context, count):
    @settings(max_examples=count)
    @for_all(st.integers(0, 2**32), st.sampled_from((3, 5, 7)), ACTIONS)
    def keeps_promises(seed, size, actions):
        run_schedule(seed, size, actions)

    keeps_promises()


@then("{count:d} harsh raft schedules break no promise")
def step_harsh_schedules(context, count):
    acknowledged = sum(len(run_seed(HARSH_SEEDS + one).acknowledged) for one in range(count))
    assert acknowledged >= count


@then("the raft schedule of seed {seed:d} breaks no promise")
def step_kept_seed(context, seed):
    run_seed(seed)


@given("a raft follower that restarts with 10 entries on disk")
def step_follower_with_entries(context):
    members = tuple(Member(one, one, "127.0.0.1", 1) for one in "abc")
    entries = [LogEntry(1, 1, EntryKind.MEMBERSHIP, b"", Membership(members))]
    entries += [LogEntry(index, 1, EntryKind.COMMAND, b"x") for index in range(2, 11)]
    log = RaftLog(None, tuple(entries))
    context.raft_node = RaftNode("a", CFG, Random(1), HardState(1, "b"), log, 0.0)
    context.raft_membership = Membership(members)


@when("the raft follower is sent a snapshot up to entry 5")
def step_sent_snapshot(context):
    snapshot = SnapshotMeta(5, 1, context.raft_membership, 4, "checksum")
    chunk = SnapshotChunk(1, snapshot, 0, b"data")
    context.raft_effects = context.raft_node.step(Received("b", chunk), 1.0)


@then("the raft follower keeps its 10 entries and says that it has the snapshot")
def step_keeps_entries(context):
    node = context.raft_node
    assert not [one for one in context.raft_effects if isinstance(one, InstallSnapshot)]
    assert (node.log.last_index, node.commit_index) == (10, 5)
    assert Send("b", SnapshotReply(1, 5, 0, True)) in context.raft_effects


def _leader_id(cluster):
    assert cluster.run_until(lambda: cluster.leader() is not None)
    return cluster.leader().member.member_id


def _follower_id(cluster):
    leader = _leader_id(cluster)
    return next(one.member.member_id for one in cluster.running() if one.member.member_id != leader)


def _propose_and_wait(cluster, count):
    """Propose until each command is acknowledged, as an operator's program would."""
    for number in range(count):
        for _ in range(20):
            tag = cluster.propose(_leader_id(cluster), b"command %d" % number)
            if cluster.run_until(lambda tag=tag: tag in cluster.acknowledged, 2000):
                break
        else:
            raise AssertionError("no command is acknowledged any more")


@given("a raft cluster of {size:d} members with {count:d} commands")
def step_cluster(context, size, count):
    context.raft = Cluster(size, seed=size)
    _propose_and_wait(context.raft, count)
    context.raft.run(500)
    context.raft_term = context.raft.node(_leader_id(context.raft)).term


@when(
    "the raft {who} is cut off {way} for {seconds:d} seconds while commands go on, and comes back"
)
def step_cut_off(context, who, way, seconds):
    cluster = context.raft
    chosen = _leader_id(cluster) if who == "leader" else _follower_id(cluster)
    for other in cluster.hosts:
        if other != chosen and way != "outwards":
            cluster.cut.add((other, chosen))
        if other != chosen and way != "inwards":
            cluster.cut.add((chosen, other))
    if who == "leader":
        assert cluster.run_until(lambda: _leads_alone(cluster, chosen))
    for _ in range(60):
        _propose_and_wait(cluster, 1)
        cluster.run(seconds * 1000 / 60)
    cluster.heal()
    cluster.run(2000)


def _leads_alone(cluster, old):
    leader = cluster.leader()
    old_leads = cluster.node(old).role is Role.LEADER
    return leader is not None and leader.member.member_id != old and not old_leads


@then("the raft term rose by at most {count:d}")
def step_term(context, count):
    term = context.raft.node(_leader_id(context.raft)).term
    assert term - context.raft_term <= count, (context.raft_term, term)


@then("at no time two raft members held a lease")
def step_one_lease(context):
    # The cluster checks the leases after each step and fails at once.
    assert context.raft.lease_checks > 100


@then("all raft members have the same state, with every acknowledged command")
def step_same_state(context):
    before = context.raft.max_acknowledged
    context.raft.settle()
    assert context.raft.max_acknowledged > before


@when("the raft leader is cut off and asked to read every 10 ms for 3 seconds")
def step_read_when_cut_off(context):
    cluster = context.raft
    old = _leader_id(cluster)
    cluster.isolate(old)
    host = cluster.hosts[old]
    context.late_reads = []
    context.reads_in_lease = 0
    for _ in range(300):
        clock = cluster.now * host.clock_rate
        holds = clock < host.node.lease_until(clock)
        tag = cluster.read(old)
        if tag in cluster.reads_ready:
            context.reads_in_lease += holds
            context.late_reads += [] if holds else [cluster.now]
        cluster.run(10)


@then("no raft read was answered after the lease had run out")
def step_no_late_read(context):
    assert context.reads_in_lease > 5
    assert context.late_reads == []


@then("another raft member leads and acknowledges a command")
def step_another_leads(context):
    before = context.raft.max_acknowledged
    _propose_and_wait(context.raft, 1)
    assert context.raft.max_acknowledged > before


@when("one raft member hears nothing from the leader, one is down and two restart at each moment")
def step_restart_in_lease(context):
    for moment in range(0, 400, 5):
        cluster = Cluster(5, seed=moment)
        _propose_and_wait(cluster, 5)
        cluster.run(500)
        leader = _leader_id(cluster)
        deaf, down, *others = [one for one in cluster.hosts if one != leader]
        cluster.crash(down)
        cluster.cut.add((leader, deaf))
        cluster.run(250 + moment)
        cluster.isolate(leader)
        for one in others:
            cluster.crash(one)
            cluster.start(one)
        cluster.run(1500)
        context.raft = cluster


@given("a raft leader of term 4 whose log ends with a command of term 2")
def step_old_entry(context):
    members = tuple(Member(one, one, "127.0.0.1", 1) for one in "abc")
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


@then("the raft commit index stays where it was")
def step_not_committed(context):
    assert context.raft_node.commit_index == 0


@when("a majority acknowledges the raft leader's own first entry")
def step_ack_new(context):
    message = Received("b", AppendReply(4, True, 2, 3))
    context.raft_effects = context.raft_node.step(message, 1007.0)


@then("both raft entries are committed")
def step_both_committed(context):
    applied = [one for one in context.raft_effects if isinstance(one, Apply)]
    assert [entry.index for one in applied for entry in one.entries] == [1, 2, 3]


@when("a raft host is lost for good and replaced, and then the {second} is lost for good")
def step_repair(context, second):
    cluster = context.raft
    lost = _follower_id(cluster)
    cluster.crash(lost)
    name = lost.split(".")[0]
    _change(cluster, AddLearner(cluster.add_empty(f"{name}.2")))
    assert cluster.run_until(
        lambda: cluster.node(_leader_id(cluster)).match_index(f"{name}.2") > 100
    )
    _change(cluster, Remove(lost))
    _change(cluster, Promote(f"{name}.2"))
    del cluster.hosts[lost]
    leader = _leader_id(cluster)
    followers = [one for one in cluster.hosts if one not in (leader, f"{name}.2")]
    next_lost = leader if second == "leader" else followers[0]
    cluster.crash(next_lost)
    context.raft_lost = next_lost


def _change(cluster, change):
    """Ask until the change is accepted, as ``LogNode`` does while a learner catches up."""
    for _ in range(100):
        tag = cluster.change(_leader_id(cluster), change)
        if (
            cluster.run_until(lambda tag=tag: _is_known(cluster, tag))
            and tag not in cluster.refused
        ):
            return
        assert cluster.refused[tag].refusal in ("not_caught_up", "not_ready"), cluster.refused[tag]
        cluster.run(20)
    raise AssertionError(f"never accepted: {change}")


def _is_known(cluster, tag):
    return tag in cluster.acknowledged or tag in cluster.refused


@then("the raft cluster acknowledges new commands")
def step_goes_on(context):
    before = context.raft.max_acknowledged
    _propose_and_wait(context.raft, 30)
    assert context.raft.max_acknowledged >= before + 30
    assert context.raft.hosts[context.raft_lost].node is None


@when("an empty raft member that can't be reached is added and promoted at once")
def step_promote_empty(context):
    cluster = context.raft
    member = cluster.add_empty("control-9.1")
    cluster.isolate(member.member_id)
    _change(cluster, AddLearner(member))
    context.raft_tag = cluster.change(_leader_id(cluster), Promote(member.member_id))


@then('the raft change is refused as "{refusal}"')
def step_refused(context, refusal):
    assert context.raft.refused[context.raft_tag].refusal == refusal


@when("two raft members are removed at the same moment")
def step_two_removed(context):
    cluster = context.raft
    leader = _leader_id(cluster)
    others = [one for one in cluster.hosts if one != leader]
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


@then("the removed raft member is no voter and sends nothing any more")
def step_removed_is_quiet(context):
    cluster = context.raft
    before = cluster.sent_by[context.raft_removed]
    cluster.run(5000)
    assert cluster.node(context.raft_removed).role is Role.LEARNER
    assert cluster.sent_by[context.raft_removed] == before


@when("the raft leader hands over")
def step_hand_over(context):
    cluster = context.raft
    context.raft_old = _leader_id(cluster)
    cluster.event(context.raft_old, TransferLeadership(0))


@then("another raft member leads within {span:d} ms")
def step_leads_within(context, span):
    # Virtual time: the span counts messages and writes, not this machine's speed.
    cluster = context.raft
    cluster.run(span)
    leader = cluster.leader()
    assert leader is not None and leader.member.member_id != context.raft_old
    assert leader.node.term > context.raft_term


@when("the disk of the raft leader fails")
def step_disk_fails(context):
    cluster = context.raft
    context.raft_old = _leader_id(cluster)
    cluster.fail_disk(context.raft_old)


@then("the failed raft member acknowledges, votes and leads no more")
def step_failed_is_silent(context):
    cluster = context.raft
    before = cluster.sent_by[context.raft_old]
    leader = cluster.leader().member.member_id
    refused = cluster.propose(context.raft_old, b"to a failed member")
    cluster.isolate(leader)
    cluster.run(5000)
    assert refused in cluster.refused
    assert cluster.sent_by[context.raft_old] == before
    assert cluster.node(context.raft_old).role is not Role.LEADER
    cluster.heal()


@when("every raft disk takes {span:d} ms for a write while commands go on")
def step_slow_disks(context, span):
    cluster = context.raft
    for host in cluster.hosts.values():
        host.persist_delay = span / 10
    for number in range(40):
        cluster.propose(_leader_id(cluster), b"slow %d" % number)
        cluster.run(100)
    cluster.run(10 * span)


@when("every raft disk takes up to {span:d} ms for a write and the leader is lost")
def step_slow_election(context, span):
    cluster = context.raft
    for host in cluster.hosts.values():
        host.persist_delay = span / 10
    context.raft_old = _leader_id(cluster)
    cluster.crash(context.raft_old)


@when("a raft follower misses 200 commands and each 2nd piece of its snapshot is lost")
def step_snapshot_pieces(context):
    cluster = context.raft
    late = _follower_id(cluster)
    cluster.isolate(late)
    _propose_and_wait(cluster, 200)
    cluster.lose_chunk = lambda number: number % 2 == 1
    context.raft_late = late
    cluster.heal()
    last = cluster.max_acknowledged
    assert cluster.run_until(lambda: cluster.hosts[late].applied >= last)


@then("no raft piece arrived that the follower had already")
def step_no_piece_twice(context):
    offsets = context.raft.chunks_arrived[context.raft_late]
    assert len(offsets) > 1
    assert len(set(offsets)) == len(offsets), offsets


@when("a raft follower answers no append while {count:d} commands are proposed")
def step_silent_peer(context, count):
    cluster = context.raft
    silent = _follower_id(cluster)
    leader = _leader_id(cluster)
    cluster.cut.add((silent, leader))
    context.raft_sent = []
    cluster.on_send = lambda sender, to, message: (
        context.raft_sent.append(cluster.now)
        if to == silent and isinstance(message, Append)
        else None
    )
    for number in range(count):
        cluster.propose(leader, b"flood %d" % number)
        cluster.run(2)


@then("the raft leader sent it at most {count:d} appends in each {span:d} ms")
def step_flow(context, count, span):
    sent = context.raft_sent
    assert sent
    for start in sent:
        assert sum(start <= at < start + span for at in sent) <= count


@when("the raft leader is lost and another one leads")
def step_leader_lost(context):
    cluster = context.raft
    context.lost = _leader_id(cluster)
    cluster.crash(context.lost)
    while cluster.leader() is None:
        cluster.run(1)


@then("the new raft leader never takes the lost one for running, but soon all others")
def step_lost_not_heard(context):
    cluster = context.raft
    host = cluster.leader()
    for _ in range(100):
        heard = host.node.responsive_members(cluster._clock(host))
        assert context.lost not in heard, heard
        cluster.run(1)
    assert len(heard) == len(cluster.hosts) - 1, heard
