"""The closed catalogue of numbered log events.

Numbers are never used again once they have been published. 1000s belong to the entry, 2000s to
the control process, 3000s to the replicated log and its files, 4000s to links between processes,
5000s to settings and programs. docs/EVENTS.md shows the same list and a test compares the two.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import NamedTuple


class EventRow(NamedTuple):
    """What the catalogue says about one event."""

    number: int
    level: int
    """A level of the standard ``logging`` module."""
    meaning: str
    """What happened and, for warnings and errors, what to look at."""


class LogEvent(Enum):
    """Every event that a process of alderhatch may log."""

    ENTRY_STARTED = EventRow(1000, logging.INFO, "The entry listens and takes requests.")
    ENTRY_STOPPING = EventRow(1001, logging.INFO, "The entry left the address answers and drains.")
    ENTRY_STOPPED = EventRow(1002, logging.INFO, "The last request of the entry is answered.")
    CALLER_INPUT_REFUSED = EventRow(1010, logging.WARNING, "A caller's bytes were no request.")
    SHARD_MAP_ADOPTED = EventRow(1020, logging.INFO, "A newer shard map is used for new queries.")
    SHARD_MAP_REFUSED = EventRow(1021, logging.WARNING, "An upstream's shard map was not usable.")
    UPSTREAM_ANSWER_REFUSED = EventRow(
        1030, logging.WARNING, "A server's answer was not that of the shard request; it is dropped."
    )
    ENTRY_FAULT = EventRow(1090, logging.ERROR, "A fault in the entry itself; see the traceback.")

    LINK_REFUSED = EventRow(4000, logging.WARNING, "A peer failed the authentication of a link.")
    LINK_MESSAGE_REFUSED = EventRow(4001, logging.WARNING, "A peer sent no valid message.")

    PROGRAM_STOPPED_BY_SIGNAL = EventRow(5000, logging.INFO, "A signal told the program to stop.")
    PROGRAM_CANNOT_START = EventRow(
        5001, logging.ERROR, "An address could not be opened or the data folder not used."
    )
    PROGRAM_FAULT = EventRow(5090, logging.ERROR, "A fault of alderhatch; see the traceback.")

    @property
    def number(self) -> int:
        """The event's number, which stays the same for good."""
        return self.value.number
