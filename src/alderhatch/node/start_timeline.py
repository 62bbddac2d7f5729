"""Logs the steps of a node's start, so that an operator sees which of them took long."""

from __future__ import annotations

from enum import StrEnum

from ..clock import Clock, Millis
from ..log import log_event
from ..log_events import LogEvent


class StartStep(StrEnum):
    """A step of a node's start; hosts without a disk have no checkpoint."""

    CHECKPOINT = "checkpoint"
    """The configuration and the hosts of the last run are in use."""
    PORTS = "ports"
    """The ports for callers and links accept connections."""
    SERVERS = "servers"
    """The first server list is in use."""
    READY = "ready"
    """The node knows its configuration and the servers, or whom to hand requests over to."""
    LEADER = "leader"
    """The node follows a leader."""
    ANSWER = "answer"
    """The first answer of servers was returned to a caller."""


class StartTimeline:
    """Logs each step once, with the time since the process began.

    Args:
        clock: The time source.
        began: When the process began; None for now.
    """

    def __init__(self, clock: Clock, began: Millis | None = None) -> None:
        self._clock = clock
        self._began = clock.now() if began is None else began
        self._steps: set[StartStep] = set()

    def record(self, step: StartStep) -> None:
        """Log a step, unless it was taken before."""
        if step in self._steps:
            return
        self._steps.add(step)
        after = round(self._clock.now() - self._began, 1)
        log_event(LogEvent.START_STEP, step=step, after_ms=after)
