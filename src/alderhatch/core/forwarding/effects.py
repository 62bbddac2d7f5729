"""Effects that the run of a forwarded request asks its driver to carry out."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from .outcome import Outcome
from .target import Target


class Send(NamedTuple):
    """Send the request to a server."""

    attempt: int
    target: Target
    upstream: str
    in_trial: bool = False
    """Whether no other server gets it until this attempt ends, as it may crash servers."""


class Cancel(NamedTuple):
    """Cancel an attempt whose result is no longer needed."""

    attempt: int


class Finish(NamedTuple):
    """The request is finished."""

    outcome: Outcome


Effect: TypeAlias = Send | Cancel | Finish
