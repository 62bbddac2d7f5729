"""Reads the server list at the leader, and elsewhere if no updates arrive."""

from __future__ import annotations

from random import Random
from typing import Protocol

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.listed_servers import distinct_servers
from ..core.forwarding.server_record import ServerRecord
from ..log import log_event
from ..log_events import LogEvent
from ..task_faults import TaskKind, record_task_fault
from .node_state import NodeState
from .tier_server import TierServer

READ_INTERVAL: Millis = 900.0
"""Interval of the leader's reads. Together with the lag of the list, the update of the hosts and
one failed read, it is well below the time after which a leaving server must receive no requests."""
WARM_UP_TOLERANCE: Millis = 500.0
"""A server whose warm-up ends later than expected by more than this has become cold again."""
FRESH_DURATION: Millis = 2500.0
"""A host with an older list reads the list itself."""
LOCAL_READ_INTERVAL: Millis = 2000.0
"""Interval of a host's own reads, plus up to half of it at random: all hosts may read at the same
time, and share one rate limit."""


class ListUnavailableError(Exception):
    """The list could not be read."""


class ServerListSource(Protocol):
    """Source of the server list."""

    async def read(self) -> list[ServerRecord]:
        """Return all listed servers.

        Raises:
            ListUnavailableError: If the list cannot be read in time.
        """


class ServerListReader:
    """Reads the list at the leader for all hosts, and at other hosts only if no updates arrive.

    Args:
        source: Source of the list.
        state: This host's state.
        server: Sends the list to the other hosts while this one leads.
        rng: Spreads the reads of hosts that have no leader.
    """

    def __init__(
        self, source: ServerListSource, state: NodeState, server: TierServer, rng: Random
    ) -> None:
        self._source = source
        self._state = state
        self._server = server
        self._rng = rng
        self._is_readable = True
        self._clock = LoopClock()
        self._warm_at: dict[str, Millis] = {}
        """When each server's warm-up ends, according to the records sent to the hosts."""

    async def run(self) -> None:
        """Read the list whenever it is due, until cancelled."""
        if self._state.stored.version > 0:
            # After a restart this host can serve as soon as it knows the servers. If only the
            # leader read the list, it would arrive after the next election.
            await self._read()
        while True:
            if self._server.leads:
                await self._read_while_leading()
            # No read right after a start: the leader's updates usually arrive within this time.
            pause = (1.0 + self._rng.random() / 2) * LOCAL_READ_INTERVAL
            await self._server.role_changed.wait_for(pause)
            if (
                not self._server.leads
                and self._is_needed()
                and self._state.list_age() > FRESH_DURATION
            ):
                await self._read()

    def _is_needed(self) -> bool:
        """Return whether this host needs the list to query servers itself.

        If hundreds of standby hosts read the list as well, its rate limit would refuse all hosts.
        """
        return not self._state.stands_by or self._state.wants_servers

    async def _read_while_leading(self) -> None:
        if self._state.list_age() < FRESH_DURATION:
            # A new leader immediately sends the list that it read before its election.
            self._server.update_server_list(dict(self._state.records))
        while self._server.leads:
            await self._read()
            await trio.sleep(READ_INTERVAL / SECOND)

    async def _read(self) -> None:
        try:
            listed = await self._source.read()
        except ListUnavailableError as exc:
            self._on_unreadable(str(exc))
            return
        except Exception as exc:
            # The servers that were listed before are still there.
            record_task_fault(TaskKind.LIST, exc)
            self._on_unreadable(str(exc))
            return
        if not self._is_readable:
            log_event(LogEvent.SERVER_LIST_BACK, servers=len(listed))
        self._is_readable = True
        distinct = distinct_servers(listed, self._state.records, self._state.host_endpoints())
        records = {
            server_id: self._with_stable_warm_up(record) for server_id, record in distinct.items()
        }
        self._warm_at = {
            known_id: self._warm_at[known_id] for known_id in self._warm_at if known_id in records
        }
        if self._server.leads:
            self._server.update_server_list(records)
        if records != self._state.records:
            self._state.apply_servers(records.values(), list(self._state.records))
        self._state.mark_list_fresh()

    def _on_unreadable(self, why: str) -> None:
        if self._is_readable:
            log_event(LogEvent.SERVER_LIST_LOST, why=why)
        self._is_readable = False

    def _with_stable_warm_up(self, record: ServerRecord) -> ServerRecord:
        """Return a record that differs from the last one only if the server has changed.

        The remaining warm-up time differs in each read. If it were sent each time, every read would
        update every warming server at every host. It is sent once, and hosts count it down.
        """
        now = self._clock.now()
        previous = self._state.records.get(record.server_id)
        known_warm_at = self._warm_at.get(record.server_id, now)
        is_cold_again = (
            record.warm_up > 0 and now + record.warm_up > known_warm_at + WARM_UP_TOLERANCE
        )
        if previous is None or is_cold_again or (record.warm_up == 0) != (previous.warm_up == 0):
            self._warm_at[record.server_id] = now + record.warm_up
            if previous is not None and record.warm_up == previous.warm_up:
                # Changed by 1 ms, as an equal record would not be sent as an update.
                return record._replace(warm_up=record.warm_up + 1.0)
            return record
        return record._replace(warm_up=previous.warm_up)
