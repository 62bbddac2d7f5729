"""What the run of a forwarded request wants done."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from .outcome import Outcome
from .target import Target


class Send(NamedTuple):
    """Send the request to a server."""

    attempt: int
    target: Target
    upstream: str


class Cancel(NamedTuple):
    """Nothing of this attempt is wanted any more."""

    attempt: int


class Finish(NamedTuple):
    """The request is over."""

    outcome: Outcome


Effect: TypeAlias = Send | Cancel | Finish
