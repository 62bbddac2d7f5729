"""When this process began, as early as a module can tell.

Import this module before any larger one.
"""

from __future__ import annotations

import time

PROCESS_STARTED = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
"""Milliseconds since boot; comparable with the loop's time under ``BootClock``."""
