"""Hosts that serve keys by their leases, and the leader that confirms them, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from alderhatch.core.forwarding.configuration_lease import ConfigurationLease, lease_duration
from alderhatch.core.forwarding.identity import identify
from alderhatch.core.forwarding.organisation import Organisation, OrganisationTable
from alderhatch.core.forwarding.route import OneUpstream, Route
from alderhatch.errors import AlderhatchError, ErrorKind

REVOCATION_BOUND_MS = 5000.0
STEP_MS = 50.0
KEYS = ("key-0", "key-1", "key-2")
ORGANISATIONS = ("north", "south")
ROUTE = Route("paths", "fleet", "/", True, OneUpstream("kitchen"), 1, 8000.0, 4000.0, 1)
REFUSED = "refused"
"""The result of a request that the host refuses because it has no lease."""


class Sent(NamedTuple):
    """A message or a request that waits in the sockets of a host."""

    at: float
    action: Callable[[], None]


class LeaseHost:
    """One host, with its own clock."""

    def __init__(self, clock_offset, clock_rate):
        self.clock_offset = clock_offset
        self.clock_rate = clock_rate
        self.version = 0
        self.holders = {}
        self.is_cut = False
        self.frozen_until = 0.0
        self.inbox = []
        self.start()

    def start(self):
        """Start the process with the configuration of its checkpoint."""
        self.lease = ConfigurationLease(lease_duration(REVOCATION_BOUND_MS))
        self.lease.use_version(self.version)
        self.next_ask = float("-inf")
        self.inbox = []

    def clock(self, now):
        return self.clock_offset + self.clock_rate * now

    def use(self, version, holders):
        if version > self.version:
            self.version = version
            self.holders = holders
            self.lease.use_version(version)

    def answer(self, key, now):
        """Return the organisation that a key is served for, None for an unknown key."""
        try:
            self.lease.check(self.clock(now))
            return identify(table_of(self.holders), ROUTE, key).name
        except AlderhatchError as exc:
            return REFUSED if exc.failure.kind is ErrorKind.LEASE_EXPIRED else None


def table_of(holders):
    return OrganisationTable(
        Organisation(name, tuple(key for key in KEYS if holders.get(key) == name))
        for name in ORGANISATIONS
    )


class LeaseHosts:
    """Hosts, a leader and the callers of the hosts.

    Args:
        clocks: The offset in milliseconds and the rate of each host's clock.
    """

    def __init__(self, clocks):
        self.now = 0.0
        self.hosts = [LeaseHost(*clock) for clock in clocks]
        self.delay = 5.0
        self.has_leader = True
        self.history = []
        """The time of each acknowledgement, and which organisation holds which key from then on."""
        self.results = set()
        self._asks = []
        """Asks on their way to the leader."""
        self.change(dict.fromkeys(KEYS, ORGANISATIONS[0]))

    @property
    def version(self):
        return len(self.history)

    def change(self, changes):
        """Commit and acknowledge a configuration, and send it to the hosts in touch."""
        holders = {**(self.history[-1][1] if self.history else {}), **changes}
        self.history.append((self.now, holders))
        for host in self.hosts:
            self.send(host, partial(self._use, host, self.version))

    def _use(self, host, version):
        host.use(version, self.history[version - 1][1])

    def send(self, host, action):
        if not host.is_cut:
            host.inbox.append(Sent(self.now + self.delay, action))

    def cut(self, host):
        host.is_cut = True
        host.inbox = [one for one in host.inbox if one.at <= self.now]

    def reconnect(self, host):
        """Reconnect a host, which is sent the newest configuration and asks at once."""
        host.is_cut = False
        host.next_ask = float("-inf")
        self.send(host, partial(self._use, host, self.version))

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += STEP_MS
            self._answer_asks()
            for host in self.hosts:
                for key in KEYS:
                    host.inbox.append(Sent(self.now, partial(self._serve, host, key, self.now)))
                if host.frozen_until <= self.now:
                    self._step(host)

    def _step(self, host):
        due = [one for one in host.inbox if one.at <= self.now]
        host.inbox = [one for one in host.inbox if one.at > self.now]
        for one in due:
            one.action()
        clock = host.clock(self.now)
        if clock >= host.next_ask:
            host.next_ask = clock + host.lease.ask_interval
            number = host.lease.ask(clock)
            if not host.is_cut:
                answer = partial(self._answer_ask, host, host.lease, number)
                self._asks.append(Sent(self.now + self.delay, answer))

    def _answer_asks(self):
        due = [one for one in self._asks if one.at <= self.now]
        self._asks = [one for one in self._asks if one.at > self.now]
        for one in due:
            one.action()

    def _answer_ask(self, host, lease, number):
        if self.has_leader:
            self.send(host, partial(lease.confirm, number, self.version))

    def _serve(self, host, key, sent):
        result = host.answer(key, self.now)
        self.results.add(result)
        if result is not REFUSED:
            allowed = self._allowed(key, sent)
            assert result in allowed, (self.now, sent, key, result, allowed, self.history)

    def _allowed(self, key, sent):
        """Return what a request may be served as by any configuration within the bound."""
        limit = sent - REVOCATION_BOUND_MS
        replaced_at = [at for at, _ in self.history[1:]] + [float("inf")]
        return {
            holders.get(key)
            for (_, holders), until in zip(self.history, replaced_at, strict=True)
            if until >= limit
        }
