"""Random fault schedules for the simulated cluster, and a command that runs many seeds."""

from __future__ import annotations

import sys
from random import Random
from typing import NamedTuple

from alderhatch.core.raft.effects import Role
from alderhatch.core.raft.events import AddLearner, Promote, Remove, TransferLeadership
from alderhatch.core.raft.raft_config import RaftConfig

from .raft_cluster import CFG, Cluster

ACTION_KINDS = (
    "propose",
    "propose",
    "propose",
    "read",
    "crash",
    "crash_all",
    "restart_unsynced",
    "restart_unsynced",
    "restart",
    "start",
    "start",
    "heal",
    "isolate",
    "cut_one_way",
    "heal",
    "network_faults",
    "slow_disk",
    "fail_disk",
    "transfer",
    "replace",
    "promote",
    "remove",
)

RESTART_KINDS = (
    "propose",
    "propose",
    "restart",
    "restart",
    "restart_all",
    "restart_all",
    "restart_unsynced",
    "isolate",
    "cut_one_way",
    "heal",
    "heal",
    "network_faults",
    "slow_disk",
    "transfer",
    "replace",
    "promote",
    "promote",
    "remove",
    "read",
)
"""Hosts often crash and restart at once, so that more events fit into a schedule."""
PARTITION_KINDS = (
    "propose",
    "propose_all",
    "propose_all",
    "partition",
    "partition",
    "heal",
    "heal",
    "pause",
    "pause_leader",
    "read",
    "restart",
    "cut_from_leader",
    "cut_from_leader",
    "restart_unsynced",
    "network_faults",
    "slow_disk",
    "transfer",
    "transfer_and_isolate",
    "replace",
    "promote",
    "remove",
    "remove",
    "start",
)
"""Both sides of a partition keep running, processes pause, and leadership transfers fail."""
PARTITION_SEEDS = 2_000_000
"""Seeds from here on use ``PARTITION_KINDS``, and send each new leader a read at once."""
RESTART_SEEDS = 1_000_000
"""Seeds from here on use ``RESTART_KINDS``, and keep almost no entries before a snapshot."""
RESTART_CFG = CFG._replace(compact_entries=4, keep_entries=1, max_inflight=2, chunk_bytes=40)
WAITS_MS = (0, 3, 5, 8, 20, 100, 400, 1500)


class Action(NamedTuple):
    """One step of a schedule."""

    kind: str
    host: int
    """Selects the host that the action applies to."""
    amount: int
    """The strength of the action, from 0 to 100."""
    wait: int
    """The time in milliseconds that passes afterwards."""


def random_actions(
    random: Random, count: int, kinds: tuple[str, ...] = ACTION_KINDS
) -> list[Action]:
    return [
        Action(
            random.choice(kinds),
            random.randint(0, 20),
            random.randint(0, 100),
            random.choice(WAITS_MS),
        )
        for _ in range(count)
    ]


def run_schedule(
    seed: int,
    size: int,
    actions: list[Action],
    cfg: RaftConfig = CFG,
    is_partition_schedule: bool = False,
) -> Cluster:
    cluster = Cluster(size, seed, cfg)
    cluster.reads_from_new_leaders = is_partition_schedule
    cluster.run(800)
    for number, action in enumerate(actions):
        _perform(cluster, action, number)
        cluster.run(action.wait)
        cluster.check_logs()
    cluster.check_recovery()
    return cluster


def run_seed(seed: int) -> Cluster:
    """Run the schedule, on the size of cluster, that a seed determines."""
    random = Random(seed)
    is_partition_schedule = seed >= PARTITION_SEEDS
    is_restart_schedule = seed >= RESTART_SEEDS and not is_partition_schedule
    kinds = (
        PARTITION_KINDS
        if is_partition_schedule
        else RESTART_KINDS if is_restart_schedule else ACTION_KINDS
    )
    actions = random_actions(random, random.randint(10, 120), kinds)
    cfg = RESTART_CFG if is_restart_schedule or (is_partition_schedule and seed % 2) else CFG
    return run_schedule(seed, random.choice((3, 5, 7)), actions, cfg, is_partition_schedule)


def _perform(cluster: Cluster, action: Action, number: int) -> None:
    ids = sorted(cluster.hosts)
    chosen_id = ids[action.host % len(ids)]
    leader = cluster.leader()
    leader_id = leader.member.member_id if leader else chosen_id
    is_up = cluster.hosts[chosen_id].node is not None
    match action.kind:
        case "propose":
            target = leader_id if action.host % 4 else chosen_id
            if cluster.hosts[target].node is not None:
                for serial in range(1 + action.amount // 5):
                    cluster.propose(target, f"{number}.{serial}".encode())
        case "propose_all":
            # Leaders that don't know yet that they were replaced get commands as well.
            for host in cluster.running():
                if host.node is not None and host.node.role is Role.LEADER:
                    for serial in range(1 + (action.amount + host.node.term) % 9):
                        cluster.propose(host.member.member_id, f"{number}.{serial}".encode())
        case "partition":
            _partition(cluster, ids, leader_id, action)
        case "pause" if is_up:
            cluster.pause(chosen_id, 10.0 + action.amount * 15)
        case "pause_leader" if leader is not None:
            cluster.pause(leader_id, 10.0 + action.amount * 15)
        case "cut_from_leader" if chosen_id != leader_id:
            _cut_from_leader(cluster, leader_id, chosen_id, action.amount)
        case "transfer_and_isolate" if leader is not None:
            # ``TimeoutNow`` may or may not arrive before the old leader is isolated.
            cluster.submit(leader_id, TransferLeadership(0))
            cluster.run(action.amount * 0.05)
            cluster.isolate(leader_id)
        case "read":
            for host in cluster.running():
                cluster.read(host.member.member_id)
        case "crash" if is_up:
            cluster.crash(chosen_id)
        case "crash_all":
            for host in cluster.running():
                cluster.crash(host.member.member_id)
        case "restart_unsynced":
            # Each follower with unsynced writes loses them all and restarts at once.
            for host in cluster.running():
                if host.disk.pending and host.member.member_id != leader_id:
                    _restart(cluster, host.member.member_id)
            if action.amount % 3 == 0 and leader is not None:
                cluster.isolate(leader_id)
        case "restart_all":
            for host in cluster.running():
                _restart(cluster, host.member.member_id)
        case "restart" if is_up:
            _restart(cluster, chosen_id)
        case "start":
            for started_id in ids[: 1 + action.amount % len(ids)]:
                cluster.start(started_id)
        case "isolate":
            cluster.isolate(leader_id if action.amount % 2 else chosen_id)
        case "cut_one_way":
            for other in ids:
                if other != chosen_id and action.amount % 3:
                    cluster.cut_links.add((chosen_id, other))
                elif other != chosen_id:
                    cluster.cut_links.add((other, chosen_id))
        case "heal":
            cluster.heal()
        case "network_faults":
            cluster.loss = (action.amount % 4) * 0.1
            cluster.duplication = (action.amount % 3) * 0.2
            cluster.delay = (0.5, 1.0 + action.amount * (3 if action.host % 2 else 0.2))
        case "slow_disk":
            cluster.hosts[chosen_id].persist_delay = 1.0 + action.amount * 5
        case "fail_disk" if is_up and action.amount < 30:
            cluster.fail_disk(chosen_id)
        case "transfer" if leader is not None:
            cluster.submit(leader_id, TransferLeadership(0))
        case "replace" if leader is not None and leader.node and len(ids) < 10:
            _replace(cluster, leader_id, chosen_id, number)
        case "promote" if leader is not None and leader.node:
            for learner in leader.node.membership.learners:
                cluster.change(leader_id, Promote(learner.member_id))
        case "remove" if (
            leader is not None and leader.node and len(leader.node.membership.voters) > 3
        ):
            cluster.change(leader_id, Remove(chosen_id))


def _partition(cluster: Cluster, ids: list[str], leader_id: str, action: Action) -> None:
    """Partition the hosts in two groups; in some cases the leader is in the smaller one."""
    others = [peer_id for peer_id in ids if peer_id != leader_id]
    start = action.host % max(1, len(others))
    size = len(ids) // 2 - action.amount % 2 if action.amount % 3 else len(ids) // 2 + 1
    rotated = others[start:] + others[:start]
    group = {leader_id, *rotated[: max(0, size - 1)]}
    for one in ids:
        for other in ids:
            if (one in group) != (other in group):
                cluster.cut_links.add((one, other))


def _cut_from_leader(cluster: Cluster, leader_id: str, chosen_id: str, amount: int) -> None:
    """Cut one member off from the leader, then restart the others so that they may vote early."""
    cluster.cut_links.add((leader_id, chosen_id))
    cluster.run(amount * 10.0)
    for host in cluster.running():
        if host.member.member_id not in (leader_id, chosen_id) and amount % 3:
            _restart(cluster, host.member.member_id)
    if amount % 3:
        cluster.isolate(leader_id)


def _restart(cluster: Cluster, member_id: str) -> None:
    cluster.crash(member_id, loses_unsynced=True)
    cluster.start(member_id)


def _replace(cluster: Cluster, leader_id: str, chosen_id: str, number: int) -> None:
    """Add a member with an empty disk and a new ID; in some cases remove the old member."""
    leader = cluster.node(leader_id)
    name = chosen_id.split(".")[0]
    member = cluster.add_empty_member(f"{name}.{number + 2}")
    cluster.change(leader_id, AddLearner(member))
    if leader_id != chosen_id and leader.role is Role.LEADER and number % 2:
        cluster.change(leader_id, Remove(chosen_id))


def main() -> int:
    """Run the number of seeds given on the command line, from the given first seed."""
    count = int(sys.argv[1])
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    failed = 0
    acknowledged = 0
    for seed in range(first, first + count):
        try:
            acknowledged += len(run_seed(seed).acknowledged)
        except Exception as exc:
            failed += 1
            print(f"seed {seed}: {type(exc).__name__}: {exc}")
    print(f"{count - failed} passed, {failed} failed; {acknowledged} commands acknowledged")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
