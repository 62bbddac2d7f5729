"""Who reads the list of servers, and how often."""

from __future__ import annotations

from random import Random
from typing import Protocol

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.server_record import ServerRecord
from ..log import log_event
from ..log_events import LogEvent
from .node_state import NodeState
from .tier_server import TierServer

READ_EVERY: Millis = 900.0
"""How often the leader reads it. With the list's own lag, the way to the hosts and one failed read
it stays well under the time within which a leaving server must get nothing more."""
COLD_SLACK: Millis = 500.0
"""A server that is cold for longer than it was to be by so much has become cold again."""
FRESH_FOR: Millis = 2500.0
"""A host whose list is older reads it for itself."""
OWN_READ_EVERY: Millis = 2000.0
"""How often a host does so, spread by half as much again: all may do it at once, and the calls of
all are limited together."""


class ListUnavailableError(Exception):
    """The list could not be read now."""


class ServerListSource(Protocol):
    """Where the list comes from."""

    async def read(self) -> list[ServerRecord]:
        """Return all servers that are listed.

        Raises:
            ListUnavailableError: If it can't be read in time.
        """


class ServerListReader:
    """Reads the list at the leader for everybody, and elsewhere only when no news comes.

    Args:
        source: Where the list comes from.
        state: This host's beliefs.
        server: Tells the other hosts while this one leads.
        rng: Spreads the reads of hosts that are cut off.
    """

    def __init__(
        self, source: ServerListSource, state: NodeState, server: TierServer, rng: Random
    ) -> None:
        self._source = source
        self._state = state
        self._server = server
        self._rng = rng
        self._works = True
        self._clock = LoopClock()
        self._cold_ends: dict[str, Millis] = {}
        """When each server is warm by what was passed on of it."""

    async def run(self) -> None:
        """Read whenever it is due, until cancelled."""
        if self._state.stored.version > 0:
            # After a restart this host can serve as soon as it knows the servers. Read only by the
            # leader, the list would be there an election later.
            await self._read()
        while True:
            if self._server.leads:
                await self._read_while_leading()
            # Not at once after a start: the leader's news usually come within this time.
            pause = (1.0 + self._rng.random() / 2) * OWN_READ_EVERY
            await self._server.role_changed.wait_for(pause)
            if not self._server.leads and self._is_needed() and self._state.list_age() > FRESH_FOR:
                await self._read()

    def _is_needed(self) -> bool:
        """Return whether this host asks servers itself.

        Were hundreds of hosts that stand by to read it as well, the list would refuse all of them.
        """
        return not self._state.stands_by or self._state.wants_servers

    async def _read_while_leading(self) -> None:
        if self._state.list_age() < FRESH_FOR:
            # A new leader tells at once what it read before it was elected.
            self._server.update_server_list(dict(self._state.records))
        while self._server.leads:
            await self._read()
            await trio.sleep(READ_EVERY / SECOND)

    async def _read(self) -> None:
        try:
            listed = await self._source.read()
        except ListUnavailableError as exc:
            if self._works:
                log_event(LogEvent.SERVER_LIST_LOST, why=str(exc))
            self._works = False
            return
        if not self._works:
            log_event(LogEvent.SERVER_LIST_BACK, servers=len(listed))
        self._works = True
        records = {record.server_id: self._steady(record) for record in listed}
        self._cold_ends = {
            name: self._cold_ends[name] for name in self._cold_ends if name in records
        }
        if self._server.leads:
            self._server.update_server_list(records)
        if records != self._state.records:
            self._state.apply_servers(records.values(), list(self._state.records))
        self._state.mark_list_fresh()

    def _steady(self, record: ServerRecord) -> ServerRecord:
        """Return a record that differs from the last one only if the server itself does.

        The time left of a warm-up differs in each read. Passed on each time, it would make every
        server news for every host; it is told once, and hosts count it down by themselves.
        """
        now = self._clock.now()
        known = self._state.records.get(record.server_id)
        ends = self._cold_ends.get(record.server_id, now)
        is_cold_again = record.warm_up > 0 and now + record.warm_up > ends + COLD_SLACK
        if known is None or is_cold_again or (record.warm_up == 0) != (known.warm_up == 0):
            self._cold_ends[record.server_id] = now + record.warm_up
            if known is not None and record.warm_up == known.warm_up:
                # Equal to the last word, this one would tell nobody anything.
                return record._replace(warm_up=record.warm_up + 1.0)
            return record
        return record._replace(warm_up=known.warm_up)
