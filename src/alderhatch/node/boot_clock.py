"""A clock for trio's loop that also counts the time during which the machine was suspended."""

from __future__ import annotations

import time

from trio.abc import Clock


class BootClock(Clock):
    """The loop's time by ``CLOCK_BOOTTIME``.

    The usual steady clock stands still while a machine is suspended. A leader that was suspended
    for seconds would wake up and hold its lease to be valid, although another host was elected
    meanwhile, and an operator would read an older configuration from it. With this clock the lease,
    and every other timeout, has run out at the moment of waking.
    """

    def start_clock(self) -> None:
        """Do nothing; the clock runs since the machine was booted."""

    def current_time(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how many seconds to sleep until a deadline."""
        return deadline - self.current_time()
