"""The possible outcomes of a forwarded request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from ...clock import Millis
from .parts_bundle import PartsBundle


class FailureReason(StrEnum):
    """Why a request got no answer."""

    NO_SERVER = "no_server"
    """No server of the upstream, or of too many shards, was available."""
    REFUSED = "refused"
    """Every server that was tried refused it."""
    FAILED = "failed"
    """Servers failed, or connections broke."""
    OVERLOADED = "overloaded"
    """The host had too much other work to get an answer before the caller's deadline."""
    TIMEOUT = "timeout"
    """No answer arrived in time."""
    STOPPING = "stopping"
    """No answer arrived before the host ended."""


@dataclass(frozen=True, slots=True)
class Answered:
    """There is an answer for the caller."""

    parts: dict[str, object]
    """The shards' answers by upstream."""
    missing: int
    """How many shards have no part in the answer."""


@dataclass(frozen=True, slots=True)
class Gathered:
    """There is an answer that several hosts have gathered."""

    bundles: tuple[PartsBundle, ...]
    """The parts; no shard is in two of them."""
    missing: int
    """How many shards have no part in the answer."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """No server began to work on the request, and none will."""

    reason: FailureReason
    retry_after: Millis


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run, and there is no successful answer."""

    reason: FailureReason
    answer: object = None
    """A server's error response, if there was one."""


Outcome: TypeAlias = Answered | Gathered | NotRun | Failed
