"""Entries and leaders in the order of time, under weather that lasts for a while.

Messages that are chosen one by one seldom line up to what hurts: a renewal that is overtaken, an
answer that comes as the lease ends, a leader that changes in between. Here each message has its
delay, entries renew as the real ones do, and connections are counted apart from what entries say.
"""

from __future__ import annotations

import heapq
import itertools
from random import Random

from alderhatch.core.control.lease_messages import GrantReply
from alderhatch.core.control.operations import RemoveEntries

from .lease_model import LEASE, SERVERS, LeaseModel, ModelEntry

STEP = 50.0
ANSWER_TIMEOUT = 750.0
CLOSE_DELAYS = (0.0, 100.0, 1500.0)
DELAYS = (5.0, 5.0, 100.0, 900.0, 4000.0)
LOSSES = (0.0, 0.0, 0.1, 0.5)
WEIGHTS = {
    "weather": 4,
    "cut": 5,
    "heal": 4,
    "change": 6,
    "owners": 1,
    "leader": 2,
    "kill": 1,
    "join": 2,
    "leave": 1,
    "hurry": 4,
    "twin": 2,
}
MAX_ENTRIES = 5
TWIN = 10
CUT_SHORT = 0.05
"""The share of answers that lack their last update."""


class LeaseSimulation(LeaseModel):
    def __init__(self, seed):
        super().__init__()
        self.random = Random(seed)
        self.delay = 5.0
        self.loss = 0.0
        self.cut = set()
        self.due = {}
        self.open = {}
        self.closing = {}
        self.close_delay = 100.0
        self._events = []
        self._order = itertools.count()

    # Time

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.tick(STEP)
            while self._events and self._events[0][0] <= self.now:
                _, _, act, args = heapq.heappop(self._events)
                act(*args)
            for number, entry in list(self.entries.items()):
                if self.now >= self.due.get(number, 0.0):
                    self.renew(number, entry)
                self.connect(entry)
            self.check()

    def later(self, act, *args):
        if self.random.random() >= self.loss:
            at = self.now + self.random.uniform(0.0, self.delay)
            heapq.heappush(self._events, (at, next(self._order), act, args))

    def take_out(self, gone):
        """The removal is on the log for a while before it counts; a lost one is tried again."""
        heapq.heappush(
            self._events,
            (self.now + self.random.uniform(0.0, 900.0), next(self._order), self.removed, (gone,)),
        )

    def removed(self, gone):
        super().take_out(gone)

    # Messages

    def renew(self, number, entry):
        self.due[number] = self.now + ANSWER_TIMEOUT
        renewal = entry.lease.renewal(entry.clock(self.now))
        if number not in self.cut:
            self.later(self.arrive, number, entry, renewal)

    def arrive(self, number, entry, renewal):
        """A renewal reaches whoever leads now, whenever it was sent."""
        grant = self.table.renew(renewal, self.state.feed.version, self.now)
        if grant is None:
            return
        if grant.lease <= 0 and self.entries.get(number) is entry:
            self.applier.one(renewal.registration())
            self._sync()
        updates = self.state.updates_since(renewal.version)
        if self.random.random() < CUT_SHORT:
            updates = updates[:-1]
        if number not in self.cut:
            self.later(self.answer, number, entry, GrantReply(self.term, grant, updates))

    def answer(self, number, entry, reply):
        version = entry.lease.view.version
        entry.lease.apply_grant(reply, entry.clock(self.now))
        if entry.lease.view.version == version and reply.grant.lease:
            self.due[number] = self.now + LEASE / 3
        else:
            self.due[number] = self.now

    # Connections

    def connect(self, entry):
        """Open up to the share at once; close what is over it after a while, then say so."""
        lease = entry.lease
        settled = [self.connect_to(server, entry) for server in SERVERS]
        if lease.share and all(settled):
            lease.share_settled()

    def connect_to(self, server, entry):
        """Return whether no more connections to a server are open than are wanted."""
        place = (entry.key, server.server_id)
        wanted = entry.lease.connection_limit(server)
        over = entry.lease.share and self.open.get(place, 0) > wanted
        if over and self.now < self.closing.setdefault(place, self.now + self.close_delay):
            return False
        self.closing.pop(place, None)
        self.open[place] = wanted
        return True

    def close_all(self, entry):
        for server in SERVERS:
            self.open.pop((entry.key, server.server_id), None)

    # What may happen

    def happen(self, kind):
        number = self.random.randrange(MAX_ENTRIES)
        match kind:
            case "weather":
                self.delay = self.random.choice(DELAYS)
                self.loss = self.random.choice(LOSSES)
                self.close_delay = self.random.choice(CLOSE_DELAYS)
            case "cut":
                self.cut.add(number)
            case "heal":
                self.cut.clear()
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
            case "twin" if number in self.entries and number + TWIN not in self.entries:
                # The process hangs, and another is started under its name.
                self.cut.add(number)
                self.incarnations += 1
                self.entries[number + TWIN] = ModelEntry(number, self.incarnations)
            case "hurry":
                for one in self.entries:
                    self.due[one] = self.now

    def kill(self, number):
        entry = self.entries.get(number)
        if entry is not None:
            self.close_all(entry)
        super().kill(number)

    def leave(self, number):
        """A planned stop: all connections are closed, and the process exits a little later."""
        entry = self.entries[number]
        entry.lease.give_up_share()
        self.close_all(entry)
        self.due[number] = self.now
        self.later(self.say_goodbye, number, entry)

    def say_goodbye(self, number, entry):
        if self.entries.get(number) is entry:
            self.kill(number)
            self.applier.one(RemoveEntries([entry.key]))
            self._sync()

    # What must hold

    def check(self):
        super().check()
        for server in SERVERS:
            held = [n for (_, server_id), n in self.open.items() if server_id == server.server_id]
            assert sum(held) <= server.max_connections, (server, self.open)
        for entry in self.entries.values():
            assert not (entry.lease.is_leaving and entry.lease.share), entry.name

    def run_without_faults(self):
        self.delay, self.loss = 5.0, 0.0
        self.cut.clear()
        for number in [one for one in self.entries if one + TWIN in self.entries]:
            self.kill(number)
        self.run(5 * LEASE)


def run_simulation(seed):
    model = LeaseSimulation(seed)
    for number in range(3):
        model.join(number)
    model.run(500.0)
    for _ in range(model.random.randint(10, 50)):
        model.happen(model.random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0])
        model.run(model.random.choice((50.0, 100.0, 400.0, 1500.0, 3500.0)))
    model.run_without_faults()
    return model
