"""A leader and entries whose messages are lost, repeated late or overtaken, in virtual time.

Entries' clocks run up to 8 % fast or slow. After every event the promises are checked: no more
connections to any server than it allows, no entry that serves on an older version than one which
the leader has called in force, and no version that goes down.
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

LEASE = 3000.0
RATES = (1.0, 0.92, 1.08)
LINK_PORT = 7300
OWNERS = (0, 2, 1, 3)
SERVERS = tuple(
    Server(f"srv-{number}", "10.0.1.1", 9000 + number, f"zone-{number % 4}", 4, limit)
    for number, limit in enumerate((30, 30, 30, 30, 12, 1, 30, 60))
)
"""In three zones with entries and one without."""


class ModelEntry:
    def __init__(self, number, incarnation, zones=3):
        self.name = f"entry-{number}"
        self.key = EntryKey(self.name, f"run-{incarnation}")
        zone = f"zone-{number % zones}"
        identity = EntryIdentity(*self.key, zone, "10.0.0.1", 8080, "10.0.0.1", LINK_PORT)
        self.lease = EntryLease(identity)
        self.rate = RATES[number % len(RATES)]
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
        self.promised = 0
        self.incarnations = 0
        self.alone = set()
        self.table = LeaseTable(LEASE, [], None, 0.0)

    # What may happen

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
        gone = self.table.take_expired(self.now)
        if gone:
            self.take_out(gone)

    def take_out(self, gone):
        self.applier.one(RemoveEntries(gone))
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

    def settle(self, number):
        if number in self.entries:
            self.entries[number].lease.share_settled()

    def toggle_alone(self, number):
        """Let an entry sit out the rounds from now on, or take part again."""
        self.alone ^= {number}

    def round(self, span):
        """Let time pass while all entries but those alone renew without any fault."""
        self.tick(span)
        for number, entry in list(self.entries.items()):
            if number in self.alone:
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
        action = ChangeSettings({"owners_per_server": OWNERS[number % len(OWNERS)]})
        self.applier.one(change(f"o-{self.applier.index}", self.state.revision, action))
        self._sync()

    def change_leader(self):
        self.term += 1
        hosts = self.state.hosts
        registered = [EntryKey(one.name, one.incarnation) for one in hosts.entries.values()]
        since = None if hosts.last_removal is None else self.applier.now - hosts.last_removal
        self.table = LeaseTable(LEASE, registered, since, self.now)
        self._set_plan()

    def _sync(self):
        entries = self.state.hosts.entries.values()
        registered = {one.name: EntryKey(one.name, one.incarnation) for one in entries}
        self.table.sync(registered, self.now)
        self._set_plan()

    def _set_plan(self):
        plan = self.plan()
        self.table.set_plan(None if plan is None else plan.digest)

    def plan(self):
        return owner_plan_of_hosts(self.state.hosts, self.state.settings.owners_per_server)

    # What must hold

    def check(self):
        version = self.state.feed.version
        if not self.table.unconfirmed_entries(version, self.now):
            self.promised = max(self.promised, version)
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
                assert held >= self.promised, (entry.name, held, self.promised)

    def run_without_faults(self):
        """Let time pass without any fault."""
        for _ in range(120):
            self.tick(100.0)
            for number in list(self.entries):
                self.settle(number)
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
            case "settle":
                model.settle(number % 5)
            case "alone":
                model.toggle_alone(number % 5)
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
