"""How long clients take to read large answers."""

from __future__ import annotations

from ..clock import SECOND, Millis

MAX_CLIENTS = 4096
MAX_AGE: Millis = 60 * SECOND


class ReadTimes:
    """How long each client address took to read its last answer that did not fit the kernel.

    A stopping host closes each connection after its answer, so the next request of the same client
    comes on a new one, which has no history of its own.
    """

    def __init__(self) -> None:
        self._by_client: dict[str, tuple[Millis, Millis]] = {}

    def record(self, client: str, duration: Millis, now: Millis) -> None:
        """Record how long a client took for all of an answer."""
        self._by_client.pop(client, None)
        if len(self._by_client) >= MAX_CLIENTS:
            del self._by_client[next(iter(self._by_client))]
        self._by_client[client] = (duration, now)

    def expected(self, client: str, now: Millis) -> Millis:
        """Return how long a client is expected to take to read an answer."""
        duration, recorded_at = self._by_client.get(client, (0.0, now))
        return duration if now - recorded_at < MAX_AGE else 0.0
