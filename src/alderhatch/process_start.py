"""Start time of this process.

Import this module before any larger one, so that the time is taken as early as possible.
"""

from __future__ import annotations

import time

PROCESS_STARTED = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
"""Milliseconds since boot; comparable with the loop time under ``BootClock``."""
