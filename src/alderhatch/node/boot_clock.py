"""A clock for trio that also counts the time for which the machine was suspended."""

from __future__ import annotations

import time

from trio.abc import Clock


class BootClock(Clock):
    """A trio clock that reads ``CLOCK_BOOTTIME``.

    The usual monotonic clock does not advance while a machine is suspended. A leader that was
    suspended for seconds would resume with a lease that still looks valid, although another host
    has been elected meanwhile, and an operator would read an outdated configuration from it. With
    this clock the lease and all other timeouts have expired when the machine resumes.
    """

    def start_clock(self) -> None:
        """Do nothing; the clock runs from boot."""

    def current_time(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how many seconds to sleep until a deadline."""
        return deadline - self.current_time()
