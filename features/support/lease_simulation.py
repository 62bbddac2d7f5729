"""A discrete-event simulation of entries and leaders on a network whose quality changes over time.

Random schedules of single messages rarely produce the critical sequences: a renewal that is
overtaken, an answer that arrives as the lease ends, a change of leader in between. In this
simulation each message has a delay, entries renew as in production, and open connections are
counted independently of the shares that entries report.
"""

from __future__ import annotations

import heapq
import itertools
from random import Random

from alderhatch.core.control.lease_messages import GrantReply
from alderhatch.core.control.operations import RemoveEntries

from .lease_model import LEASE_MS, SERVERS, LeaseModel, ModelEntry

STEP_MS = 50.0
ANSWER_TIMEOUT_MS = 750.0
CLOSE_DELAYS_MS = (0.0, 100.0, 1500.0)
MESSAGE_DELAYS_MS = (5.0, 5.0, 100.0, 900.0, 4000.0)
LOSS_RATES = (0.0, 0.0, 0.1, 0.5)
EVENT_WEIGHTS = {
    "network": 4,
    "partition": 5,
    "heal": 4,
    "change": 6,
    "owners": 1,
    "leader": 2,
    "kill": 1,
    "join": 2,
    "leave": 1,
    "renew-all": 4,
    "duplicate": 2,
}
MAX_ENTRIES = 5
DUPLICATE_OFFSET = 10
TRUNCATED_FRACTION = 0.05
"""Fraction of answers that lack their last update."""


class LeaseSimulation(LeaseModel):
    def __init__(self, seed):
        super().__init__()
        self.random = Random(seed)
        self.delay = 5.0
        self.loss = 0.0
        self.partitioned = set()
        self.renewal_due = {}
        self.open_connections = {}
        self.closing_at = {}
        self.close_delay = 100.0
        self._events = []
        self._order = itertools.count()

    # Time

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.tick(STEP_MS)
            while self._events and self._events[0][0] <= self.now:
                _, _, callback, args = heapq.heappop(self._events)
                callback(*args)
            for number, entry in list(self.entries.items()):
                if self.now >= self.renewal_due.get(number, 0.0):
                    self.renew(number, entry)
                self.connect(entry)
            self.check()

    def schedule(self, callback, *args):
        if self.random.random() >= self.loss:
            at = self.now + self.random.uniform(0.0, self.delay)
            heapq.heappush(self._events, (at, next(self._order), callback, args))

    def remove_expired(self, expired):
        """Apply the removal after its commit delay; it is never lost, as the leader retries it."""
        heapq.heappush(
            self._events,
            (
                self.now + self.random.uniform(0.0, 900.0),
                next(self._order),
                self.apply_removal,
                (expired,),
            ),
        )

    def apply_removal(self, expired):
        super().remove_expired(expired)

    # Messages

    def renew(self, number, entry):
        self.renewal_due[number] = self.now + ANSWER_TIMEOUT_MS
        renewal = entry.lease.renewal(entry.clock(self.now))
        if number not in self.partitioned:
            self.schedule(self.receive_renewal, number, entry, renewal)

    def receive_renewal(self, number, entry, renewal):
        """Deliver a renewal to the current leader, regardless of when it was sent."""
        grant = self.table.renew(renewal, self.state.feed.version, self.now)
        if grant is None:
            return
        if grant.lease <= 0 and self.entries.get(number) is entry:
            self.applier.one(renewal.registration())
            self._sync()
        updates = self.state.updates_since(renewal.version)
        if self.random.random() < TRUNCATED_FRACTION:
            updates = updates[:-1]
        if number not in self.partitioned:
            self.schedule(self.receive_grant, number, entry, GrantReply(self.term, grant, updates))

    def receive_grant(self, number, entry, reply):
        version = entry.lease.view.version
        entry.lease.apply_grant(reply, entry.clock(self.now))
        if entry.lease.view.version == version and reply.grant.lease:
            self.renewal_due[number] = self.now + LEASE_MS / 3
        else:
            self.renewal_due[number] = self.now

    # Connections

    def connect(self, entry):
        """Open connections up to the share, close excess ones after a delay, then confirm this."""
        lease = entry.lease
        settled = [self.connect_to(server, entry) for server in SERVERS]
        if lease.share and all(settled):
            lease.share_settled()

    def connect_to(self, server, entry):
        """Return whether the open connections to a server are within the limit."""
        connection = (entry.key, server.server_id)
        wanted = entry.lease.connection_limit(server)
        over = entry.lease.share and self.open_connections.get(connection, 0) > wanted
        if over and self.now < self.closing_at.setdefault(connection, self.now + self.close_delay):
            return False
        self.closing_at.pop(connection, None)
        self.open_connections[connection] = wanted
        return True

    def close_all(self, entry):
        for server in SERVERS:
            self.open_connections.pop((entry.key, server.server_id), None)

    # Events

    def apply_event(self, kind):
        number = self.random.randrange(MAX_ENTRIES)
        match kind:
            case "network":
                self.delay = self.random.choice(MESSAGE_DELAYS_MS)
                self.loss = self.random.choice(LOSS_RATES)
                self.close_delay = self.random.choice(CLOSE_DELAYS_MS)
            case "partition":
                self.partitioned.add(number)
            case "heal":
                self.partitioned.clear()
            case "change":
                self.change_configuration()
            case "owners":
                self.change_owners(number)
            case "leader":
                self.change_leader()
            case "kill":
                self.kill(number)
            case "join" if number not in self.entries:
                self.join(number)
            case "leave" if number in self.entries:
                self.leave(number)
            case "duplicate" if (
                number in self.entries and number + DUPLICATE_OFFSET not in self.entries
            ):
                # The process hangs, and another one with the same entry name is started.
                self.partitioned.add(number)
                self.incarnations += 1
                self.entries[number + DUPLICATE_OFFSET] = ModelEntry(number, self.incarnations)
            case "renew-all":
                for one in self.entries:
                    self.renewal_due[one] = self.now

    def kill(self, number):
        entry = self.entries.get(number)
        if entry is not None:
            self.close_all(entry)
        super().kill(number)

    def leave(self, number):
        """Stop as planned: close all connections; the process exits after a short delay."""
        entry = self.entries[number]
        entry.lease.give_up_share()
        self.close_all(entry)
        self.renewal_due[number] = self.now
        self.schedule(self.deregister, number, entry)

    def deregister(self, number, entry):
        if self.entries.get(number) is entry:
            self.kill(number)
            self.applier.one(RemoveEntries([entry.key]))
            self._sync()

    # Guarantees

    def check(self):
        super().check()
        for server in SERVERS:
            held = [
                n
                for (_, server_id), n in self.open_connections.items()
                if server_id == server.server_id
            ]
            assert sum(held) <= server.max_connections, (server, self.open_connections)
        for entry in self.entries.values():
            assert not (entry.lease.is_leaving and entry.lease.share), entry.name

    def run_without_faults(self):
        self.delay, self.loss = 5.0, 0.0
        self.partitioned.clear()
        for number in [one for one in self.entries if one + DUPLICATE_OFFSET in self.entries]:
            self.kill(number)
        self.run(5 * LEASE_MS)


def run_simulation(seed):
    model = LeaseSimulation(seed)
    for number in range(3):
        model.join(number)
    model.run(500.0)
    for _ in range(model.random.randint(10, 50)):
        model.apply_event(
            model.random.choices(list(EVENT_WEIGHTS), list(EVENT_WEIGHTS.values()))[0]
        )
        model.run(model.random.choice((50.0, 100.0, 400.0, 1500.0, 3500.0)))
    model.run_without_faults()
    return model
