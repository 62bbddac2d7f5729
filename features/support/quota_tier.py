"""Hosts that share quotas, in virtual time: links between them, a leader, cuts and freezes."""

from __future__ import annotations

import heapq
from itertools import count
from math import inf
from random import Random

from alderhatch.clock import SECOND
from alderhatch.core.forwarding.organisation import Organisation
from alderhatch.core.forwarding.quota_allowance import ASK_TIMEOUT, Ask, QuotaToken
from alderhatch.core.forwarding.quota_host import QuotaHost
from alderhatch.core.forwarding.quota_owner import Sender

LINK_DELAY_MS = 1.5
BATCH_DELAY_MS = 1.0
CONFIRM_INTERVAL_MS = 300.0
VIEW_INTERVAL_MS = 100.0
LOST_AFTER_MS = 1000.0
TICK_MS = 100.0
NAME = "acme"


class TierHost:
    """One host; a restart replaces its process."""

    def __init__(self, tier, name):
        self.tier = tier
        self.name = name
        self.side = 0
        self.frozen_until = 0.0
        self.start = 0
        self.limits = {NAME: tier.limits[NAME]}
        self.view = ()
        self.reported_at = 0.0
        self.leader_since = -inf
        """When it found the leader."""
        self.linked = set()
        self.flushing = False
        self.begin()

    def begin(self):
        """Begin a new process, which knows the view that the one before has kept."""
        self.start += 1
        self.confirmed_at = -inf
        self.linked = set()
        self.flushing = False
        now = self.tier.now
        self.quotas = QuotaHost(self.name, self.tier.bounds, self.limits.get, self.tier.rng)
        self.quotas.owners.begin(now)
        self.quotas.set_hosts(self.view, self.view, -inf, now)
        self.at(now + self.tier.rng.uniform(0, TICK_MS), self.tick)
        self.at(now + self.tier.rng.uniform(0, CONFIRM_INTERVAL_MS), self.confirm)

    def at(self, when, action):
        """Call an action of the present process, later while the host is frozen."""
        start = self.start

        def run():
            if self.start != start:
                return
            if self.tier.now < self.frozen_until:
                self.tier.at(self.frozen_until, run)
                return
            action()

        self.tier.at(when, run)

    # The leader

    def confirm(self):
        """Ask the leader for a confirmation, and go on doing so."""
        now = self.tier.now
        if self.side == 0 and self.tier.leads and now >= self.leader_since:
            self.reported_at = now
            self.at(now + 2 * LINK_DELAY_MS, lambda: self.on_confirmed(now))
        self.at(now + CONFIRM_INTERVAL_MS, self.confirm)

    def on_confirmed(self, asked_at):
        """Record a confirmation, unless this host was cut off meanwhile."""
        if self.side == 0:
            self.confirmed_at = asked_at

    def on_view(self, names):
        """Apply the leader's view of the hosts."""
        self.view = names
        self.tick_hosts()

    def tick(self):
        """Do what hosts do in regular intervals."""
        self.tick_hosts()
        self.quotas.forget_idle(self.tier.now)
        self.flush_soon()
        self.at(self.tier.now + TICK_MS, self.tick)

    def tick_hosts(self):
        """Tell the quotas which hosts are there, and hand over what this host has lost."""
        now = self.tier.now
        handed = self.quotas.set_hosts(
            self.view, self.view, self.confirmed_at, now, self.leader_since
        )
        for owner, balances in handed.items():
            peer = self.tier.hosts[owner]
            if peer.side == self.side:
                peer.at(now + LINK_DELAY_MS, lambda p=peer, b=balances: p.on_handed(b))

    def on_handed(self, balances):
        """Take balances over."""
        self.quotas.accept(balances, self.tier.now)

    # Requests

    def request(self, runs):
        """Handle one request; one that does not run gives its token back."""
        organisation = self.limits[NAME]
        now = self.tier.now
        self.tier.arrivals.append(now)
        box = []
        result = self.quotas.decide(organisation, now, lambda: self.conclude(box[0], runs))
        if isinstance(result, Ask):
            box.append(result)
            self.flush_soon()
            self.at(now + ASK_TIMEOUT, lambda: self.conclude(result, runs))
        else:
            self.end(result, runs)

    def conclude(self, ask, runs):
        """End the wait of a request, once."""
        if getattr(ask, "on_done", None) is not None:
            ask.on_done = None
            self.end(self.quotas.conclude(self.limits[NAME], ask, self.tier.now), runs)

    def end(self, verdict, runs):
        """Record a request that runs."""
        if not isinstance(verdict, QuotaToken):
            self.tier.refused.append((self.tier.now, verdict))
        elif runs:
            self.tier.runs.append((self.tier.now, verdict.source))
        else:
            self.at(self.tier.now + 5.0, lambda: self.quotas.give_back(verdict))
        self.flush_soon()

    # Links

    def flush_soon(self):
        """Send what is to be sent, in batches."""
        if not self.flushing and self.quotas.allowances.owners_to_charge():
            self.flushing = True
            self.at(self.tier.now + BATCH_DELAY_MS, self.flush)

    def flush(self):
        """Send a message to each owner that can be reached."""
        self.flushing = False
        allowances = self.quotas.allowances
        for name in self.quotas.owners_to_charge(self.tier.now):
            peer = self.tier.hosts[name]
            if peer.side != self.side:
                self.lose_link(name)
                continue
            if name not in self.linked:
                self.linked.add(name)
                for message in allowances.messages_to_resend(name):
                    self.send(peer, message)
            message = allowances.take_message(name, self.tier.now)
            if message is not None:
                self.send(peer, message)

    def lose_link(self, name):
        """Lose the link to an owner, and with it what is on its way."""
        self.linked.discard(name)
        self.quotas.allowances.on_link_lost(name)

    def send(self, peer, message):
        """Send a message; it is lost if the hosts are parted or restarted meanwhile."""
        sender = Sender(self.name, self.start, message.number)
        peer.at(self.tier.now + LINK_DELAY_MS, lambda: peer.on_charges(self, sender, message))

    def on_charges(self, peer, sender, message):
        """Answer another host's charges."""
        if peer.side != self.side:
            return
        answers = self.quotas.answer(sender, message.charges, self.tier.now)
        name, start = self.name, peer.start

        def on_answers():
            if peer.side == self.side and peer.start == start:
                peer.quotas.allowances.on_answers(name, message.number, answers, peer.tier.now)

        peer.at(self.tier.now + LINK_DELAY_MS, on_answers)


class QuotaTier:
    """Hosts and a leader."""

    def __init__(self, names, limit, bounds, seed=1):
        self.now = 0.0
        self.rng = Random(seed)
        self.bounds = bounds
        self.limits = {NAME: limit}
        self.limit_spans = [[0.0, inf, limit]]
        self.leads = True
        self.runs = []
        self.refused = []
        self.arrivals = []
        self._events = []
        self._order = count()
        self.members = set(names)
        self.hosts = {}
        self._view = ()
        for name in names:
            self.hosts[name] = TierHost(self, name)
        self.at(0.0, self._publish)

    def at(self, when, action):
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run_until(self, end):
        """Let time pass."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _publish(self):
        live = tuple(
            sorted(
                name
                for name in self.members
                if self.now - self.hosts[name].reported_at <= LOST_AFTER_MS
                and self.now >= self.hosts[name].leader_since
            )
        )
        if self.leads and live:
            for host in self.hosts.values():
                if host.side == 0 and host.view != live:
                    host.at(
                        self.now + self.rng.uniform(1.0, 20.0),
                        lambda h=host, v=live: h.on_view(v) if h.side == 0 else None,
                    )
        self.at(self.now + VIEW_INTERVAL_MS, self._publish)

    # What happens

    def cut(self, names, side):
        """Part some hosts from the others and the leader; side 0 is the leader's."""
        for name in names:
            self.hosts[name].side = side
        for host in self.hosts.values():
            for name in list(host.linked):
                if self.hosts[name].side != host.side:
                    host.lose_link(name)

    def replace_leader(self, silence, join_span, last):
        """Lose the leader; the hosts find the next one after a silence, one of them last."""
        self.leads = False

        def begin():
            self.leads = True
            for host in self.hosts.values():
                share = 1.0 if host.name == last else self.rng.uniform(0.0, 0.5)
                host.leader_since = self.now + share * join_span
                host.reported_at = host.leader_since

        self.at(self.now + silence, begin)

    def freeze(self, name, duration):
        """Stop a host's process for a while."""
        self.hosts[name].frozen_until = max(self.hosts[name].frozen_until, self.now + duration)

    def restart(self, names):
        """Kill the processes of some hosts, and start them again."""
        for name in names:
            self.hosts[name].begin()
        for host in self.hosts.values():
            for name in names:
                if name in host.linked:
                    host.lose_link(name)

    def set_limit(self, rate, burst):
        """Change the limit, at all hosts that are in touch."""
        limit = Organisation(NAME, (), None, rate, burst)
        for span in self.limit_spans:
            span[1] = min(span[1], self.now + 100.0)
        self.limit_spans.append([self.now, inf, limit])
        for host in self.hosts.values():
            host.at(self.now + 20.0, lambda h=host: h.limits.__setitem__(NAME, limit))

    def demand(self, rate, begin, end, names=None, given_back=0.0):
        """Schedule requests at some hosts, or at all, at a rate per second."""
        at = begin
        names = names or sorted(self.hosts)
        while at < end:
            host = self.hosts[self.rng.choice(names)]
            runs = self.rng.random() >= given_back
            self.at(at, lambda h=host, r=runs: h.at(self.now, lambda: h.request(r)))
            at += self.rng.expovariate(rate / SECOND)

    def allowed(self, begin):
        """Return the most requests that may run in the window that begins at a time."""
        end = begin + self.bounds.window
        limits = [one for since, until, one in self.limit_spans if since < end and until >= begin]
        rate = max(one.rate for one in limits)
        burst = max(one.burst for one in limits)
        limit = rate * self.bounds.window / SECOND + burst
        return limit * (1 + self.bounds.tolerance) + self.bounds.margin

    def worst_excess(self):
        """Return by how many requests the fullest window exceeds what is allowed; at most 0."""
        times = sorted(at for at, _ in self.runs)
        worst = -inf
        end = 0
        for index, at in enumerate(times):
            while end < len(times) and times[end] < at + self.bounds.window:
                end += 1
            worst = max(worst, end - index - self.allowed(at))
        return worst
