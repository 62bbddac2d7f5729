"""Random schedules of faults for the in-memory cluster, and the sweep over many seeds."""

from __future__ import annotations

import sys
from random import Random
from typing import NamedTuple

from alderhatch.core.raft.effects import Role
from alderhatch.core.raft.events import AddLearner, Promote, Remove, TransferLeadership
from alderhatch.core.raft.raft_config import RaftConfig

from .raft_cluster import CFG, Cluster

KINDS = (
    "propose",
    "propose",
    "propose",
    "read",
    "crash",
    "crash_all",
    "bounce_writing",
    "bounce_writing",
    "bounce",
    "start",
    "start",
    "heal",
    "isolate",
    "cut_one_way",
    "heal",
    "weather",
    "slow_disk",
    "fail_disk",
    "transfer",
    "replace",
    "promote",
    "remove",
)

ROUGH_KINDS = (
    "propose",
    "propose",
    "bounce",
    "bounce",
    "bounce_all",
    "bounce_all",
    "bounce_writing",
    "isolate",
    "cut_one_way",
    "heal",
    "heal",
    "weather",
    "slow_disk",
    "transfer",
    "replace",
    "promote",
    "promote",
    "remove",
    "read",
)
"""Hosts restart at once and often, so that more happens in the same time."""
HARSH_KINDS = (
    "propose",
    "propose_all",
    "propose_all",
    "split",
    "split",
    "heal",
    "heal",
    "freeze",
    "freeze_leader",
    "read",
    "bounce",
    "deaf",
    "deaf",
    "bounce_writing",
    "weather",
    "slow_disk",
    "transfer",
    "transfer_cut",
    "replace",
    "promote",
    "remove",
    "remove",
    "start",
)
"""Two parts go on by themselves, processes stand still, and hand-overs go wrong."""
HARSH_SEEDS = 2_000_000
"""Seeds from here on use the harsh kinds, and ask each new leader at once."""
ROUGH_SEEDS = 1_000_000
"""Seeds from here on use the rough kinds, and keep next to nothing behind a snapshot."""
ROUGH_CFG = CFG._replace(compact_entries=4, keep_entries=1, max_inflight=2, chunk_bytes=40)
WAITS = (0, 3, 5, 8, 20, 100, 400, 1500)


class Action(NamedTuple):
    """One step of a schedule."""

    kind: str
    host: int
    """Chooses among the hosts that the kind may be done to."""
    amount: int
    """How much of it, from 0 to 100."""
    wait: int
    """How many milliseconds pass afterwards."""


def random_actions(random: Random, count: int, kinds: tuple[str, ...] = KINDS) -> list[Action]:
    return [
        Action(
            random.choice(kinds),
            random.randint(0, 20),
            random.randint(0, 100),
            random.choice(WAITS),
        )
        for _ in range(count)
    ]


def run_schedule(
    seed: int, size: int, actions: list[Action], cfg: RaftConfig = CFG, is_harsh: bool = False
) -> Cluster:
    cluster = Cluster(size, seed, cfg)
    cluster.asks_new_leaders = is_harsh
    cluster.run(800)
    for number, action in enumerate(actions):
        _do(cluster, action, number)
        cluster.run(action.wait)
        cluster.check_logs()
    cluster.settle()
    return cluster


def run_seed(seed: int) -> Cluster:
    """Run the schedule, and the size of cluster, that a seed stands for."""
    random = Random(seed)
    is_harsh = seed >= HARSH_SEEDS
    is_rough = seed >= ROUGH_SEEDS and not is_harsh
    kinds = HARSH_KINDS if is_harsh else ROUGH_KINDS if is_rough else KINDS
    actions = random_actions(random, random.randint(10, 120), kinds)
    cfg = ROUGH_CFG if is_rough or (is_harsh and seed % 2) else CFG
    return run_schedule(seed, random.choice((3, 5, 7)), actions, cfg, is_harsh)


def _do(cluster: Cluster, action: Action, number: int) -> None:
    ids = sorted(cluster.hosts)
    chosen = ids[action.host % len(ids)]
    leader = cluster.leader()
    leader_id = leader.member.member_id if leader else chosen
    is_up = cluster.hosts[chosen].node is not None
    match action.kind:
        case "propose":
            target = leader_id if action.host % 4 else chosen
            if cluster.hosts[target].node is not None:
                for one in range(1 + action.amount // 5):
                    cluster.propose(target, f"{number}.{one}".encode())
        case "propose_all":
            # Also those that were replaced and don't know it yet, the more the longer ago.
            for host in cluster.running():
                if host.node is not None and host.node.role is Role.LEADER:
                    for one in range(1 + (action.amount + host.node.term) % 9):
                        cluster.propose(host.member.member_id, f"{number}.{one}".encode())
        case "split":
            _split(cluster, ids, leader_id, action)
        case "freeze" if is_up:
            cluster.freeze(chosen, 10.0 + action.amount * 15)
        case "freeze_leader" if leader is not None:
            cluster.freeze(leader_id, 10.0 + action.amount * 15)
        case "deaf" if chosen != leader_id:
            _make_deaf(cluster, leader_id, chosen, action.amount)
        case "transfer_cut" if leader is not None:
            # The request to take over arrives, or doesn't, and the old leader hears no more.
            cluster.event(leader_id, TransferLeadership(0))
            cluster.run(action.amount * 0.05)
            cluster.isolate(leader_id)
        case "read":
            for host in cluster.running():
                cluster.read(host.member.member_id)
        case "crash" if is_up:
            cluster.crash(chosen)
        case "crash_all":
            for host in cluster.running():
                cluster.crash(host.member.member_id)
        case "bounce_writing":
            # Every host with unsynced writes loses them all and is back at once.
            for host in cluster.running():
                if host.disk.pending and host.member.member_id != leader_id:
                    _bounce(cluster, host.member.member_id)
            if action.amount % 3 == 0 and leader is not None:
                cluster.isolate(leader_id)
        case "bounce_all":
            for host in cluster.running():
                _bounce(cluster, host.member.member_id)
        case "bounce" if is_up:
            _bounce(cluster, chosen)
        case "start":
            for one in ids[: 1 + action.amount % len(ids)]:
                cluster.start(one)
        case "isolate":
            cluster.isolate(leader_id if action.amount % 2 else chosen)
        case "cut_one_way":
            for other in ids:
                if other != chosen and action.amount % 3:
                    cluster.cut.add((chosen, other))
                elif other != chosen:
                    cluster.cut.add((other, chosen))
        case "heal":
            cluster.heal()
        case "weather":
            cluster.loss = (action.amount % 4) * 0.1
            cluster.duplication = (action.amount % 3) * 0.2
            cluster.delay = (0.5, 1.0 + action.amount * (3 if action.host % 2 else 0.2))
        case "slow_disk":
            cluster.hosts[chosen].persist_delay = 1.0 + action.amount * 5
        case "fail_disk" if is_up and action.amount < 30:
            cluster.fail_disk(chosen)
        case "transfer" if leader is not None:
            cluster.event(leader_id, TransferLeadership(0))
        case "replace" if leader is not None and leader.node and len(ids) < 10:
            _replace(cluster, leader_id, chosen, number)
        case "promote" if leader is not None and leader.node:
            for learner in leader.node.membership.learners:
                cluster.change(leader_id, Promote(learner.member_id))
        case "remove" if (
            leader is not None and leader.node and len(leader.node.membership.voters) > 3
        ):
            cluster.change(leader_id, Remove(chosen))


def _split(cluster: Cluster, ids: list[str], leader_id: str, action: Action) -> None:
    """Part the hosts in two; the leader is now and then with the few."""
    others = [one for one in ids if one != leader_id]
    start = action.host % max(1, len(others))
    size = len(ids) // 2 - action.amount % 2 if action.amount % 3 else len(ids) // 2 + 1
    turned = others[start:] + others[:start]
    part = {leader_id, *turned[: max(0, size - 1)]}
    for one in ids:
        for other in ids:
            if (one in part) != (other in part):
                cluster.cut.add((one, other))


def _make_deaf(cluster: Cluster, leader_id: str, chosen: str, amount: int) -> None:
    """One member alone hears nothing of the leader; then the others forget that they heard it."""
    cluster.cut.add((leader_id, chosen))
    cluster.run(amount * 10.0)
    for host in cluster.running():
        if host.member.member_id not in (leader_id, chosen) and amount % 3:
            _bounce(cluster, host.member.member_id)
    if amount % 3:
        cluster.isolate(leader_id)


def _bounce(cluster: Cluster, member_id: str) -> None:
    cluster.crash(member_id, loses_all_unsynced=True)
    cluster.start(member_id)


def _replace(cluster: Cluster, leader_id: str, chosen: str, number: int) -> None:
    """An empty disk comes in under a new identity; now and then the old one is gone for good."""
    leader = cluster.node(leader_id)
    name = chosen.split(".")[0]
    member = cluster.add_empty(f"{name}.{number + 2}")
    cluster.change(leader_id, AddLearner(member))
    if leader_id != chosen and leader.role is Role.LEADER and number % 2:
        cluster.change(leader_id, Remove(chosen))


def main() -> int:
    """Run as many seeds as the command line says, from the one it says."""
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
