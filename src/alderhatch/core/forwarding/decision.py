"""What was decided about one request, for whoever has to explain it afterwards."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ...clock import Millis


class DecisionKind(StrEnum):
    """A step of a request's run."""

    SEND = "send"
    """A server was asked."""
    HEDGE = "hedge"
    """Another server was asked while the first one was still out."""
    RETRY = "retry"
    """A server was asked after an attempt that came to nothing."""
    FAULT = "fault"
    """An attempt came to nothing."""
    NO_SERVER = "no_server"
    """There was no server to ask at this moment."""
    NO_BUDGET = "no_budget"
    """The budget for extra requests was used up at this moment."""
    GIVEN_UP = "given_up"
    """No further server is asked for this shard."""


class Decision(NamedTuple):
    """One step, with what it was based on."""

    at: Millis
    """Since the request's arrival."""
    kind: DecisionKind
    shard: str
    server_id: str = ""
    why: str = ""
    """The fault, or the reason."""
    load: float = 0.0
    """The requests that the server was held to have."""
    load_age: Millis = -1.0
    """How old the server's last report of its load was; -1 if there was none."""
    candidates: int = 0
    """How many servers could be asked."""
    budget: float = -1.0
    """The part of the upstream's budget that was left; -1 if it was not needed."""

    def log_fields(self) -> dict[str, object]:
        """Return the fields that say something, with short figures, for a log line."""
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
