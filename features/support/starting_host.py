"""A host that has just started: it opens each connection before it can send over it."""

from __future__ import annotations

from collections import Counter, defaultdict, deque

from alderhatch.core.forwarding.host_demand import CPU_PER_REQUEST
from alderhatch.entry.open_queue import OpenQueue
from features.support.forward_model import ForwardModel

PROCESSOR = 1.25
OPEN_COST_MS = 0.3
"""Processor time of a host for a new connection."""
OPEN_MS = 9.0
"""Round trip and the time that a new connection occupies its server."""


class StartingHost(ForwardModel):
    """One host without connections, whose processor takes time for each request and connection.

    Args:
        seed: Makes the plays repeatable.
    """

    def __init__(self, seed=1):
        super().__init__(1, seed)
        self.send_cost = self.answer_cost = CPU_PER_REQUEST / 2
        self.dark = set()
        """Servers that accept no connections, and do not refuse them either."""
        self.opened = 0
        self._free_at = 0.0
        self._queue = OpenQueue()
        self._idle = Counter()
        self._opening = set()
        self._waiting = defaultdict(deque)

    def start(self):
        """Open a connection to every server, as a host does when it receives the list."""
        for server_id in self.servers:
            self._queue.add(server_id, False)
        self._begin_opens()

    def _at_host(self, host, cost, action):
        self._free_at = max(self.now, self._free_at) + cost / PROCESSOR
        self.at(self._free_at, action)

    def _transmit(self, number, host, send, server):
        server_id = server.server_id
        if self._idle[server_id]:
            self._idle[server_id] -= 1
            super()._transmit(number, host, send, server)
            return
        self.tables[host].connection_waits.begin(send.attempt, self.now)
        self._waiting[server_id].append((number, host, send, server))
        self._queue.add(server_id, True)
        self._begin_opens()

    def _begin_opens(self):
        while (server_id := self._queue.take()) is not None:
            if server_id in self._opening or (
                self._idle[server_id] and not self._waiting[server_id]
            ):
                continue
            self._opening.add(server_id)
            self._queue.begin()
            self._at_host(0, OPEN_COST_MS, lambda one=server_id: self._connect(one))

    def _connect(self, server_id):
        if server_id not in self.dark:
            self.at(self.now + OPEN_MS, lambda: self._opened(server_id))

    def _opened(self, server_id):
        self.opened += 1
        self._opening.discard(server_id)
        self._queue.end()
        self._put(server_id)
        self._begin_opens()

    def _put(self, server_id):
        if not self._waiting[server_id]:
            self._idle[server_id] += 1
            return
        number, host, send, server = self._waiting[server_id].popleft()
        if self.tables[host].connection_waits.end(send.attempt, self.now):
            self.runs[number].on_connected(send.attempt, self.now)
        super()._transmit(number, host, send, server)

    def _end(self, number, host, send, server, fault):
        self._put(server.server_id)
        super()._end(number, host, send, server, fault)
