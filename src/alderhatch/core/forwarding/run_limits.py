"""What binds the run of a forwarded request."""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

from ...clock import Millis


class RunTimes(NamedTuple):
    """The points in time that a request is bound by."""

    arrived: Millis
    answer_by: Millis
    """When an answer has to leave to have its full value."""
    deadline: Millis
    """When the caller has to have its final answer."""


class ShareRules(NamedTuple):
    """What binds a run that asks only for a share of a gather."""

    servers: Mapping[str, Container[str]]
    """For shards with more servers than a request may run on, those that hosts have agreed on, so
    that one that asks after another one asks the same. Where none of these is sound a request may
    go elsewhere; no other host asks for that shard then."""
    is_repeat: bool
    """Whether another host may have asked for the same shards."""
    due: Millis
    """When the answer of the whole gather should leave."""


def min_parts(shards: int, min_coverage: float) -> int:
    """Return the fewest shards whose share of all is no less than the coverage; at least one."""
    least = int(min_coverage * shards)
    while least < shards and least / shards < min_coverage:
        least += 1
    return max(1, least)
