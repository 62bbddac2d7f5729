"""Deadlines and rules of a forwarded request's run."""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

from ...clock import Millis


class RunTimes(NamedTuple):
    """The arrival time and the deadlines of a request."""

    arrived: Millis
    answer_by: Millis
    """When an answer has to leave to have its full value."""
    deadline: Millis
    """When the caller has to have its final answer."""


class ShareRules(NamedTuple):
    """Rules for a run that queries a share of a gather."""

    servers: Mapping[str, Container[str]]
    """For shards with more servers than a request may run on: the servers that hosts agree on, so
    that a host that repeats another host's query uses the same ones. Where none of these is
    healthy, a request may use another server; no other host queries that shard then."""
    is_repeat: bool
    """Whether another host may have queried the same shards."""
    due: Millis
    """When the answer of the whole gather should leave."""


def min_parts(shards: int, min_coverage: float) -> int:
    """Return the smallest number of shards that reaches the minimum coverage; at least one."""
    least = int(min_coverage * shards)
    while least < shards and least / shards < min_coverage:
        least += 1
    return max(1, least)
