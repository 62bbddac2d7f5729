"""Members of the replicated log in one process: virtual time, lossy network, forgetful disks."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from hashlib import sha256
from random import Random
from typing import Any, NamedTuple

from alderhatch.core.raft.effects import (
    Apply,
    InstallSnapshot,
    Persist,
    Proposed,
    ReadReady,
    Refused,
    RestoreState,
    Role,
    RoleChanged,
    Send,
    SendChunk,
    StoreChunk,
    TakeSnapshot,
)
from alderhatch.core.raft.events import (
    ChangeMembership,
    PeerConnected,
    Persisted,
    Proposal,
    Propose,
    ReadBarrier,
    Received,
    SnapshotCorrupted,
    SnapshotInstalled,
    SnapshotSaved,
    StorageFailed,
    Tick,
)
from alderhatch.core.raft.log_entry import EntryKind, HardState, LogEntry, SnapshotMeta
from alderhatch.core.raft.membership import Member, Membership
from alderhatch.core.raft.messages import SnapshotChunk
from alderhatch.core.raft.raft_config import RaftConfig
from alderhatch.core.raft.raft_log import RaftLog
from alderhatch.core.raft.raft_node import NEVER, RaftNode
from features.support.raft_checks import Checks, Violation

CFG = RaftConfig(
    heartbeat=50,
    election_timeout=300,
    retry=200,
    max_append_bytes=500,
    max_inflight=4,
    chunk_bytes=100,
    compact_entries=25,
    keep_entries=5,
    max_lag_to_promote=8,
)


def digest_of(state: str, command: bytes) -> str:
    return sha256(state.encode() + command).hexdigest()


class Disk:
    """What a host has synced, and what a crash may take."""

    def __init__(self, hard_state: HardState, entries: list[LogEntry]) -> None:
        self.hard_state = hard_state
        self.entries = {entry.index: entry for entry in entries}
        self.snapshot: tuple[SnapshotMeta, bytes] | None = None
        self.pending: list[Any] = []

    def write(self, effect: Any, data: bytes) -> None:
        match effect:
            case Persist(_, hard_state, entries):
                self.hard_state = hard_state or self.hard_state
                for entry in entries:
                    for index in [one for one in self.entries if one >= entry.index]:
                        del self.entries[index]
                    self.entries[entry.index] = entry
            case TakeSnapshot() | InstallSnapshot():
                meta = meta_of(effect, data)
                if self.snapshot is None or self.snapshot[0].index < meta.index:
                    self.snapshot = (meta, data)
                if isinstance(effect, InstallSnapshot):
                    self.entries.clear()

    def load(self) -> RaftLog:
        if self.snapshot is None:
            return RaftLog(None, tuple(self.entries[one] for one in sorted(self.entries)))
        meta = self.snapshot[0]
        known = self.entries.get(meta.index)
        keeps = not self.entries or min(self.entries) > meta.index
        if not keeps and (known is None or known.term != meta.term):
            self.entries.clear()
        kept = tuple(self.entries[one] for one in sorted(self.entries) if one > meta.index)
        return RaftLog(meta, kept)


def meta_of(effect: TakeSnapshot | InstallSnapshot, data: bytes) -> SnapshotMeta:
    if isinstance(effect, InstallSnapshot):
        return effect.snapshot
    checksum = sha256(data).hexdigest()
    return SnapshotMeta(effect.index, effect.term, effect.membership, len(data), checksum)


class Host:
    """One member with its disk, its clock and its state."""

    def __init__(self, member: Member, disk: Disk, clock_rate: float) -> None:
        self.member = member
        self.disk = disk
        self.clock_rate = clock_rate
        self.life = 0
        self.node: RaftNode | None = None
        self.state = ""
        self.applied = 0
        self.persist_delay = 1.0
        self.tick_at = NEVER
        self.chunks = b""
        self.frozen_until = 0.0


class _Event(NamedTuple):
    at: float
    order: int
    kind: str
    args: tuple[Any, ...]


class Cluster:
    """Runs the members and checks after each step what must always hold."""

    def __init__(self, size: int, seed: int, cfg: RaftConfig = CFG) -> None:
        self.cfg = cfg
        self.random = Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay = (0.5, 3.0)
        self.cut: set[tuple[str, str]] = set()
        self.hosts: dict[str, Host] = {}
        self.refused: dict[int, Refused] = {}
        self.acknowledged: dict[int, int] = {}
        self.reads_ready: dict[int, int] = {}
        self.leaders: dict[int, str] = {}
        self.max_acknowledged = 0
        self.lease_checks = 0
        self.asks_new_leaders = False
        self.chunks_sent = 0
        self.chunks_arrived: defaultdict[str, list[tuple[str, int]]] = defaultdict(list)
        self.lose_chunk = lambda number: False
        self.on_send = lambda sender, to, message: None
        self.sent_by: Counter[str] = Counter()
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._tags = itertools.count(1)
        self._committed: dict[int, LogEntry] = {}
        self._committed_in: dict[int, int] = {}
        self._states: dict[int, str] = {0: ""}
        self._proposed: dict[tuple[str, int, int], int] = {}
        self._read_floor: dict[int, int] = {}
        self._checks = Checks(self.hosts, self._committed)
        names = [f"control-{number}" for number in range(1, size + 1)]
        members = tuple(Member(f"{one}.1", one, "127.0.0.1", 1) for one in names)
        first = LogEntry(1, 1, EntryKind.MEMBERSHIP, b"", Membership(members))
        for member in members:
            self._add_host(member, Disk(HardState(1, ""), [first]))

    # Hosts

    def _add_host(self, member: Member, disk: Disk) -> None:
        drift = self.cfg.clock_drift
        rate = 1 + self.random.uniform(-drift, drift) * 0.95
        self.hosts[member.member_id] = Host(member, disk, rate)
        self.start(member.member_id)

    def add_empty(self, member_id: str) -> Member:
        member = Member(member_id, member_id.split(".")[0], "127.0.0.1", 1)
        self._add_host(member, Disk(HardState(), []))
        return member

    def start(self, member_id: str) -> None:
        host = self.hosts[member_id]
        if host.node is not None:
            return
        log = host.disk.load()
        host.state, host.applied = "", 0
        if host.disk.snapshot is not None:
            host.state = host.disk.snapshot[1].rstrip(b".").decode()
            host.applied = log.base_index
        host.node = RaftNode(
            member_id,
            self.cfg,
            Random(self.random.random()),
            host.disk.hard_state,
            log,
            self._clock(host),
        )
        for peer in self.running():
            if peer is not host:
                self._later(1, "step", peer, peer.life, PeerConnected(member_id))
        self._schedule_tick(host)

    def crash(self, member_id: str, loses_all_unsynced: bool = False) -> None:
        host = self.hosts[member_id]
        if host.node is None:
            return
        kept = 0 if loses_all_unsynced else self.random.randint(0, len(host.disk.pending))
        for effect, data in host.disk.pending[:kept]:
            host.disk.write(effect, data)
        host.disk.pending.clear()
        host.node = None
        host.life += 1
        host.tick_at = NEVER
        host.frozen_until = 0.0

    def freeze(self, member_id: str, span: float) -> None:
        """Let a process stand still while its clock goes on; a caller asks it as it wakes."""
        host = self.hosts[member_id]
        host.frozen_until = self.now + span
        self._later(span, "read", host, host.life)

    def running(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.node is not None]

    def node(self, member_id: str) -> RaftNode:
        node = self.hosts[member_id].node
        assert node is not None, f"{member_id} is down"
        return node

    def leader(self) -> Host | None:
        leading = [one for one in self.running() if one.node and one.node.role is Role.LEADER]
        return max(leading, key=lambda one: one.node.term if one.node else 0, default=None)

    def _clock(self, host: Host) -> float:
        return self.now * host.clock_rate

    # Network

    def isolate(self, member_id: str) -> None:
        for other in self.hosts:
            if other != member_id:
                self.cut |= {(member_id, other), (other, member_id)}

    def heal(self) -> None:
        self.cut.clear()
        for one in self.running():
            for other in self.running():
                if one is not other:
                    self._later(1, "step", one, one.life, PeerConnected(other.member.member_id))

    def _transmit(self, host: Host, to: str, message: Any) -> None:
        self.sent_by[host.member.member_id] += 1
        self.on_send(host.member.member_id, to, message)
        self._checks.on_send(host, to, message, self.leaders)
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(*self.delay)
                self._later(delay, "deliver", host.member.member_id, to, message)

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        host = self.hosts.get(to)
        if host is None or host.node is None or (sender, to) in self.cut:
            return
        if isinstance(message, SnapshotChunk):
            self.chunks_arrived[to].append((message.snapshot.checksum, message.offset))
        self._step(host, Received(sender, message))

    # Time

    def _later(self, delay: float, kind: str, *args: Any) -> None:
        heapq.heappush(self._events, _Event(self.now + delay, next(self._order), kind, args))

    def _schedule_tick(self, host: Host) -> None:
        if host.node is None or host.node.next_tick_at == NEVER:
            return
        at = max(host.node.next_tick_at / host.clock_rate, self.now) + 0.01
        if at < host.tick_at:
            host.tick_at = at
            self._later(at - self.now, "tick", host, host.life)

    def run(self, span: float) -> None:
        end = self.now + span
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            self._happen(event)
            self._check_leases()
        self.now = end

    def run_until(self, done: Any, limit: float = 30_000) -> bool:
        end = self.now + limit
        while self.now < end:
            if done():
                return True
            self.run(10)
        return bool(done())

    def _happen(self, event: _Event) -> None:
        host = self.hosts.get(event.args[1]) if event.kind == "deliver" else event.args[0]
        if host is not None and self.now < host.frozen_until:
            self._later(host.frozen_until - self.now, event.kind, *event.args)
            return
        match event.kind:
            case "deliver":
                self._deliver(*event.args)
            case "read":
                host, life = event.args
                if host.life == life and host.node is not None:
                    self.read(host.member.member_id)
            case "tick":
                host, life = event.args
                if host.life == life:
                    host.tick_at = NEVER
                    self._step(host, Tick())
            case "step":
                host, life, what = event.args
                if host.life == life and host.node is not None:
                    self._step(host, what)
            case "written":
                host, life, effect, data = event.args
                if host.life == life and host.node is not None:
                    self._written(host, effect, data)

    # Requests

    def _ask(self, member_id: str, event: Any) -> None:
        host = self.hosts[member_id]
        if self.now < host.frozen_until:
            self._later(host.frozen_until - self.now, "step", host, host.life, event)
        else:
            self._step(host, event)

    def propose(self, member_id: str, command: bytes) -> int:
        tag = next(self._tags)
        self._ask(member_id, Propose((Proposal(tag, command),)))
        return tag

    def read(self, member_id: str) -> int:
        tag = next(self._tags)
        self._read_floor[tag] = self.max_acknowledged
        self._ask(member_id, ReadBarrier(tag))
        return tag

    def change(self, member_id: str, change: Any) -> int:
        tag = next(self._tags)
        self._ask(member_id, ChangeMembership(tag, change))
        return tag

    def fail_disk(self, member_id: str) -> None:
        host = self.hosts[member_id]
        host.disk.pending.clear()
        host.life += 1
        self._step(host, StorageFailed("no space left"))

    def event(self, member_id: str, event: Any) -> None:
        self._ask(member_id, event)

    # Effects

    def _step(self, host: Host, event: Any) -> None:
        assert host.node is not None
        for effect in host.node.step(event, self._clock(host)):
            self._carry_out(host, effect)
        self._schedule_tick(host)

    def _carry_out(self, host: Host, effect: Any) -> None:
        member_id = host.member.member_id
        match effect:
            case Send(to, message):
                self._transmit(host, to, message)
            case SendChunk(to, term, snapshot, offset, length):
                self._send_chunk(host, to, SnapshotChunk(term, snapshot, offset, b""), length)
            case Persist():
                self._write_later(host, effect, b"")
            case TakeSnapshot(index):
                assert index == host.applied
                data = host.state.encode() + b"." * self.random.randint(0, 400)
                self._write_later(host, effect, data)
            case StoreChunk(_, offset, data):
                host.chunks = host.chunks[:offset] + data
            case InstallSnapshot():
                self._write_later(host, effect, host.chunks)
            case RestoreState(snapshot):
                assert host.disk.snapshot is not None and host.disk.snapshot[0] == snapshot
                host.state = host.disk.snapshot[1].rstrip(b".").decode()
                host.applied = snapshot.index
                self._check_state(host)
            case Apply(entries):
                for entry in entries:
                    self._apply(host, entry)
                self._checks.on_commit(host, entries)
            case Proposed(tag, index, term):
                self._proposed[(member_id, index, term)] = tag
            case Refused(tag):
                self.refused[tag] = effect
            case ReadReady(tag, index):
                self.reads_ready[tag] = index
                if index < self._read_floor[tag]:
                    raise Violation(f"stale read at {member_id}: {index}")
            case RoleChanged(Role.LEADER, term):
                self._check_leader(host, term)

    def _send_chunk(self, host: Host, to: str, chunk: SnapshotChunk, length: int) -> None:
        if host.disk.snapshot is None or host.disk.snapshot[0] != chunk.snapshot:
            return
        data = host.disk.snapshot[1][chunk.offset : chunk.offset + length]
        self.chunks_sent += 1
        if self.lose_chunk(self.chunks_sent):
            return
        self._transmit(host, to, chunk._replace(data=data))

    def _write_later(self, host: Host, effect: Any, data: bytes) -> None:
        host.disk.pending.append((effect, data))
        delay = host.persist_delay * self.random.uniform(0.5, 10)
        self._later(delay, "written", host, host.life, effect, data)

    def _written(self, host: Host, effect: Any, data: bytes) -> None:
        """Writes reach the disk in their order, all up to this one."""
        while any(one is effect for one, _ in host.disk.pending):
            first, first_data = host.disk.pending.pop(0)
            self._finish_write(host, first, first_data)

    def _finish_write(self, host: Host, effect: Any, data: bytes) -> None:
        if isinstance(effect, InstallSnapshot) and (
            sha256(data).hexdigest() != effect.snapshot.checksum
        ):
            self._step(host, SnapshotCorrupted(effect.snapshot))
            return
        if isinstance(effect, InstallSnapshot):
            self._checks.on_install(host, effect.snapshot)
        host.disk.write(effect, data)
        match effect:
            case Persist(number):
                self._step(host, Persisted(number))
            case TakeSnapshot():
                self._step(host, SnapshotSaved(meta_of(effect, data)))
            case InstallSnapshot(snapshot):
                self._step(host, SnapshotInstalled(snapshot))

    # Checks

    def _apply(self, host: Host, entry: LogEntry) -> None:
        member_id = host.member.member_id
        if entry.index != host.applied + 1:
            raise Violation(f"{member_id} applied {entry.index} after {host.applied}")
        first = self._committed.setdefault(entry.index, entry)
        self._committed_in.setdefault(entry.index, host.node.term if host.node else 0)
        if first != entry:
            raise Violation(f"{member_id} committed {entry}, another member {first}")
        host.state = digest_of(host.state, entry.command)
        host.applied = entry.index
        self._check_state(host)
        tag = self._proposed.pop((member_id, entry.index, entry.term), None)
        if tag is not None:
            self.acknowledged[tag] = entry.index
            self.max_acknowledged = max(self.max_acknowledged, entry.index)

    def _check_state(self, host: Host) -> None:
        known = self._states.setdefault(host.applied, host.state)
        if known != host.state:
            raise Violation(f"{host.member.member_id} has another state at {host.applied}")

    def _check_leader(self, host: Host, term: int) -> None:
        member_id = host.member.member_id
        if self.leaders.setdefault(term, member_id) != member_id:
            raise Violation(f"term {term} has two leaders: {self.leaders[term]}, {member_id}")
        assert host.node is not None
        self._checks.on_elected(host, self._lease_holders())
        if self.asks_new_leaders:
            self._later(0.0, "read", host, host.life)
        log = host.node.log
        for index, entry in self._committed.items():
            # Late votes may elect somebody in a term that is over, who lacks what came after it.
            if self._committed_in[index] >= term or index <= log.base_index:
                continue
            if log.term_at(index) != entry.term:
                raise Violation(f"leader {member_id} of term {term} lacks entry {index}")

    def _lease_holders(self) -> list[Host]:
        return [host for host in self.running() if self._holds_lease(host)]

    def _holds_lease(self, host: Host) -> bool:
        now = self._clock(host)
        return host.node is not None and now < host.node.lease_until(now)

    def _check_leases(self) -> None:
        holders = self._lease_holders()
        self.lease_checks += 1
        if len(holders) > 1:
            raise Violation(f"two leases at {self.now}: {[one.member for one in holders]}")
        for host in holders:
            assert host.node is not None
            if host.node.commit_index < self.max_acknowledged:
                raise Violation(f"{host.member.member_id} holds a lease with an old state")

    def check_logs(self) -> None:
        """Log matching: the same index and term mean the same entries up to there."""
        self._checks.check_members()
        self._checks.check_disks()
        logs = [host.node.log for host in self.running() if host.node]
        for one, other in itertools.combinations(logs, 2):
            first = max(one.base_index, other.base_index)
            last = min(one.last_index, other.last_index)
            while last > first and one.term_at(last) != other.term_at(last):
                last -= 1
            if one.entries_between(first + 1, last) != other.entries_between(first + 1, last):
                raise Violation("two logs have the same end but differ before it")

    def settle(self) -> None:
        """Heal everything, then check that all go on and nothing acknowledged is lost."""
        self.loss = self.duplication = 0.0
        self.delay = (0.5, 3.0)
        for member_id, host in self.hosts.items():
            host.persist_delay = 1.0
            host.frozen_until = 0.0
            if host.node is not None and host.node.failure is not None:
                self.crash(member_id)
            self.start(member_id)
        self.heal()
        tag: list[int] = []

        def is_settled() -> bool:
            leader = self.leader()
            if leader is None or leader.node is None:
                return False
            if not tag or tag[-1] in self.refused or self.now > asked[-1] + 3000:
                tag.append(self.propose(leader.member.member_id, b"last"))
                asked.append(self.now)
            done = self.acknowledged.get(tag[-1], 0)
            members = leader.node.membership.members
            if not done or not self._holds_lease(leader):
                return False
            return all(self.hosts[one.member_id].applied >= done for one in members)

        asked: list[float] = []
        if not self.run_until(is_settled, 60_000):
            raise Violation("the members do not agree on anything after all was mended")
        self.check_logs()
        if set(range(1, self.max_acknowledged + 1)) - set(self._committed):
            raise Violation("an acknowledged entry is in no log")
