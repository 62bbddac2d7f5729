"""A model of a leader and entries in virtual time, with lost, delayed and reordered messages.

Entries' clocks run up to 8 % fast or slow. The guarantees are checked after every event: no server
gets more connections than its limit, no entry serves on an older version than one that the leader
has reported as in force, and no version decreases.
"""

from __future__ import annotations

from fractions import Fraction

from alderhatch.core.control.actions import ChangeSettings
from alderhatch.core.control.control_state import ControlState
from alderhatch.core.control.entry_lease import EntryIdentity, EntryLease
from alderhatch.core.control.lease_messages import GrantReply
from alderhatch.core.control.lease_table import LeaseTable
from alderhatch.core.control.operations import EntryKey, RemoveEntries
from alderhatch.core.control.roster import owner_plan_of_hosts
from alderhatch.core.shard_map import Server

from .control_commands import Applier, change

LEASE_MS = 3000.0
CLOCK_RATES = (1.0, 0.92, 1.08)
LINK_PORT = 7300
OWNER_COUNTS = (0, 2, 1, 3)
SERVERS = tuple(
    Server(f"srv-{number}", "10.0.1.1", 9000 + number, f"zone-{number % 4}", 4, limit)
    for number, limit in enumerate((30, 30, 30, 30, 12, 1, 30, 60))
)
"""Servers in three availability zones with entries and one without."""


class ModelEntry:
    def __init__(self, number, incarnation, zones=3):
        self.name = f"entry-{number}"
        self.key = EntryKey(self.name, f"run-{incarnation}")
        zone = f"zone-{number % zones}"
        identity = EntryIdentity(*self.key, zone, "10.0.0.1", 8080, "10.0.0.1", LINK_PORT)
        self.lease = EntryLease(identity)
        self.rate = CLOCK_RATES[number % len(CLOCK_RATES)]
        self.version = 0

    def clock(self, now):
        return now * self.rate


class LeaseModel:
    def __init__(self):
        self.applier = Applier(ControlState())
        self.state = self.applier.state
        self.now = 0.0
        self.term = 1
        self.entries = {}
        self.renewals = []
        self.replies = []
        self.in_force_version = 0
        self.incarnations = 0
        self.isolated = set()
        self.table = LeaseTable(LEASE_MS, [], None, 0.0)

    # Events

    def join(self, number):
        self.incarnations += 1
        self.entries[number] = ModelEntry(number, self.incarnations)

    def kill(self, number):
        self.entries.pop(number, None)

    def tick(self, span):
        self.now += span
        self.applier.now += span
        for entry in self.entries.values():
            entry.lease.release_share_if_expired(entry.clock(self.now))
        expired = self.table.take_expired(self.now)
        if expired:
            self.remove_expired(expired)

    def remove_expired(self, expired):
        self.applier.one(RemoveEntries(expired))
        self._sync()

    def send(self, number):
        if number in self.entries:
            entry = self.entries[number]
            self.renewals.append((self.term, entry, entry.lease.renewal(entry.clock(self.now))))

    def deliver_renewal(self, index):
        if not self.renewals:
            return
        term, entry, renewal = self.renewals.pop(index % len(self.renewals))
        if term != self.term:
            return
        grant = self.table.renew(renewal, self.state.feed.version, self.now)
        if grant is None:
            return
        if grant.lease <= 0:
            self.applier.one(renewal.registration())
            self._sync()
        updates = self.state.updates_since(renewal.version)
        self.replies.append((entry, GrantReply(self.term, grant, updates)))

    def deliver_reply(self, index):
        if self.replies:
            entry, reply = self.replies.pop(index % len(self.replies))
            entry.lease.apply_grant(reply, entry.clock(self.now))

    def drop(self, index):
        if self.renewals:
            self.renewals.pop(index % len(self.renewals))
        if self.replies:
            self.replies.pop(index % len(self.replies))

    def confirm_share(self, number):
        if number in self.entries:
            self.entries[number].lease.share_settled()

    def toggle_isolated(self, number):
        """Exclude an entry from the rounds, or include it again."""
        self.isolated ^= {number}

    def round(self, span):
        """Advance the time and let all entries that are not isolated renew without faults."""
        self.tick(span)
        for number, entry in list(self.entries.items()):
            if number in self.isolated:
                continue
            entry.lease.share_settled()
            self.send(number)
            self.deliver_renewal(-1)
            if self.replies and self.replies[-1][0] is entry:
                self.deliver_reply(-1)

    def change_configuration(self):
        budget = (self.state.revision % 10) / 20
        action = ChangeSettings({"hedge_budget": budget + 0.01})
        self.applier.one(change(f"c-{self.applier.index}", self.state.revision, action))

    def change_owners(self, number):
        action = ChangeSettings({"owners_per_server": OWNER_COUNTS[number % len(OWNER_COUNTS)]})
        self.applier.one(change(f"o-{self.applier.index}", self.state.revision, action))
        self._sync()

    def change_leader(self):
        self.term += 1
        hosts = self.state.hosts
        registered = [
            EntryKey(record.name, record.incarnation) for record in hosts.entries.values()
        ]
        since = None if hosts.last_removal is None else self.applier.now - hosts.last_removal
        self.table = LeaseTable(LEASE_MS, registered, since, self.now)
        self._set_plan()

    def _sync(self):
        entries = self.state.hosts.entries.values()
        registered = {record.name: EntryKey(record.name, record.incarnation) for record in entries}
        self.table.sync(registered, self.now)
        self._set_plan()

    def _set_plan(self):
        plan = self.plan()
        self.table.set_plan(None if plan is None else plan.digest)

    def plan(self):
        return owner_plan_of_hosts(self.state.hosts, self.state.settings.owners_per_server)

    # Guarantees

    def check(self):
        version = self.state.feed.version
        if not self.table.unconfirmed_entries(version, self.now):
            self.in_force_version = max(self.in_force_version, version)
        leases = [entry.lease for entry in self.entries.values()]
        shares = [(lease.share, lease.plans) for lease in leases]
        if not any(plans for _, plans in shares):
            assert sum(Fraction(1, share) for share, _ in shares if share) <= 1, shares
        for server in SERVERS:
            held = sum(lease.open_connection_limit(server) for lease in leases)
            assert held <= server.max_connections, (server, held, shares)
        for entry in self.entries.values():
            held = entry.lease.view.version
            assert held >= entry.version, (entry.name, held, entry.version)
            entry.version = held
            if entry.lease.may_serve(entry.clock(self.now)):
                assert held >= self.in_force_version, (entry.name, held, self.in_force_version)

    def run_without_faults(self):
        """Advance the time without faults until the state is stable."""
        for _ in range(120):
            self.tick(100.0)
            for number in list(self.entries):
                self.confirm_share(number)
                self.send(number)
            while self.renewals:
                self.deliver_renewal(0)
            while self.replies:
                self.deliver_reply(0)
            self.check()


def run_events(events):
    model = LeaseModel()
    for kind, number in events:
        match kind:
            case "join":
                model.join(number % 5)
            case "kill":
                model.kill(number % 5)
            case "tick":
                model.tick(float(number * 37 % 1500))
            case "send":
                model.send(number % 5)
            case "renewal":
                model.deliver_renewal(number)
            case "reply":
                model.deliver_reply(number)
            case "drop":
                model.drop(number)
            case "confirm-share":
                model.confirm_share(number % 5)
            case "isolate":
                model.toggle_isolated(number % 5)
            case "round":
                model.round(float(200 + number * 37 % 1200))
            case "change":
                model.change_configuration()
            case "leader":
                model.change_leader()
            case "owners":
                model.change_owners(number)
        model.check()
    return model
