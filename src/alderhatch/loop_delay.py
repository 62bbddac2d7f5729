"""Measures how long events wait until the event loop handles them."""

from __future__ import annotations

import trio

from .clock import LoopClock, Millis

MIN_IDLE_TIME: Millis = 0.2
"""A poll that takes at least this long has waited for an event; any other found events at once."""
NEVER: Millis = float("-inf")


class LoopDelay(trio.abc.Instrument):
    """Knows since when the events that a loop handles now may have been pending.

    The loop polls for events, runs each task that they wake, and polls again. While the tasks run,
    no event is noticed: a request that arrives meanwhile waits unread, and no clock of its task
    shows it. An object of this class has to be added to the loop as an instrument.
    """

    def __init__(self) -> None:
        self._clock = LoopClock()
        self._poll_began: Millis = NEVER
        self._polled_at: Millis = NEVER
        self._pending_since: Millis = NEVER
        """Earliest time of the events that the latest poll found."""
        self._previous_pending_since: Millis = NEVER
        """The same for the poll before it."""

    def before_io_wait(self, timeout: float) -> None:
        """Handle the start of a poll."""
        self._poll_began = self._clock.now()

    def after_io_wait(self, timeout: float) -> None:
        """Handle the end of a poll."""
        now = self._clock.now()
        has_waited = now - self._poll_began >= MIN_IDLE_TIME
        # Data that ends a wait has just arrived, also on a connection that was noticed before.
        self._previous_pending_since = now if has_waited else self._pending_since
        self._pending_since = now if has_waited else self._polled_at
        self._polled_at = now

    def unread_time(self, on_new_connection: bool) -> Millis:
        """Return how long data that a task reads now may have waited unread; 0 if unknown.

        Args:
            on_new_connection: Whether the data is the first on its connection. The loop noticed the
                connection one poll earlier than the data.
        """
        since = self._previous_pending_since if on_new_connection else self._pending_since
        return 0.0 if since == NEVER else self._clock.now() - since
