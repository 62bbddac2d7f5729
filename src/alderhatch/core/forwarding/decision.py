"""Decisions made about one request, recorded to explain its outcome."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ...clock import Millis


class DecisionKind(StrEnum):
    """A step of a request's run."""

    SEND = "send"
    """A server was sent the request."""
    HEDGE = "hedge"
    """A second server was sent the request while the first one had not answered."""
    RETRY = "retry"
    """A server was sent the request after a failed attempt."""
    FAULT = "fault"
    """An attempt failed."""
    NO_SERVER = "no_server"
    """No server was available at this moment."""
    NO_BUDGET = "no_budget"
    """The retry budget was exhausted at this moment."""
    GIVEN_UP = "given_up"
    """No further attempt is made for this shard."""


class Decision(NamedTuple):
    """One step, with the data it was based on."""

    at: Millis
    """Since the request's arrival."""
    kind: DecisionKind
    shard: str
    server_id: str = ""
    why: str = ""
    """The fault, or the reason."""
    load: float = 0.0
    """The estimated number of requests at the server."""
    load_age: Millis = -1.0
    """The age of the server's last load report; -1 if there was none."""
    candidates: int = 0
    """How many servers were available."""
    budget: float = -1.0
    """The fraction of the upstream's retry budget that was left; -1 if it was not needed."""

    def log_fields(self) -> dict[str, object]:
        """Return the non-empty fields, with rounded numbers, for a log line."""
        shown: dict[str, object] = {"at": round(self.at, 1), "step": self.kind, "shard": self.shard}
        if self.server_id:
            shown["server"] = self.server_id
        if self.why:
            shown["why"] = self.why
        if self.candidates:
            shown["of"] = self.candidates
            shown["load"] = round(self.load, 1)
            shown["load_age_ms"] = round(self.load_age)
        if self.budget >= 0:
            shown["budget"] = round(self.budget, 2)
        return shown
