"""Messages between hosts that split a gather."""

from __future__ import annotations

from collections.abc import Iterable
from math import isnan
from typing import Any, NamedTuple, TypeAlias

from ..clock import Millis
from ..core.forwarding.parts_bundle import PartsBundle, is_signature
from ..core.forwarding.top_k import RECORD_BYTES
from ..errors import AlderhatchError, ErrorKind, Failure
from .hand_over_messages import Field, HandedAnswer, HandedRefusal


class PartsRequest(NamedTuple):
    """Requests a share of a caller's gather: the shards that the receiver is to query."""

    number: int
    """Identifies the request on its link; never reused there."""
    method: str
    target: str
    fields: list[Field]
    body: bytes
    time_left: Millis
    """How long the caller still waits."""
    due_in: Millis
    """Time until the answer to the caller is due; negative if it is overdue."""
    shards: list[str]


class PartsNews(NamedTuple):
    """Parts that arrived since the last message; without parts, it only shows liveness."""

    number: int
    shards: list[int]
    """Positions of the shards in ``PartsRequest.shards``."""
    signatures: list[bytes]
    records: bytes
    """The greatest records of these parts."""
    spent: list[int]
    """Positions of all shards that no other host may query any more."""


class PartsEnd(NamedTuple):
    """Ends a share: no more parts will be sent."""

    number: int


GATHER_MESSAGE_TYPES: tuple[type[Any], ...] = (PartsRequest, PartsNews, PartsEnd)
Reply: TypeAlias = HandedAnswer | HandedRefusal | PartsEnd
"""The final message for a request."""


def check_parts_request(req: PartsRequest, known_shards: Iterable[str]) -> None:
    """Validate a request of another host before it runs.

    Args:
        req: The request.
        known_shards: The shards of its route at this host.

    Raises:
        AlderhatchError: If a field is invalid; names the field.
    """
    if not req.time_left > 0:
        raise _error(ErrorKind.DEADLINE_TOO_SHORT, "time_left", "must be greater than 0")
    if isnan(req.due_in):
        raise _error(ErrorKind.BAD_REQUEST, "due_in", "must be a number, not NaN")
    if not req.shards or len(set(req.shards)) != len(req.shards):
        raise _error(ErrorKind.BAD_REQUEST, "shards", "must be non-empty and without duplicates")
    unknown = set(req.shards).difference(known_shards)
    if unknown:
        # The two hosts have different configuration versions, which lasts only a moment.
        message = f"{len(unknown)} shards are not in this host's route, such as {min(unknown)!r}"
        raise _error(ErrorKind.NO_CONFIGURATION, "shards", message)


def to_parts_bundle(update: PartsNews, shards: tuple[str, ...], max_records: int) -> PartsBundle:
    """Return the parts of another host's message.

    Args:
        update: The message.
        shards: The shards that the host was asked to query.
        max_records: The number of records that the route returns.

    Raises:
        ValueError: If the message does not match the request; names the field.
    """
    for field, positions in (("shards", update.shards), ("spent", update.spent)):
        if not all(0 <= position < len(shards) for position in positions):
            raise ValueError(f"{field}: position outside the shards of the request")
    if len(update.signatures) != len(update.shards) or not all(
        map(is_signature, update.signatures)
    ):
        raise ValueError("signatures: expected one valid signature for each shard")
    if len(update.records) > max_records * RECORD_BYTES or len(update.records) % RECORD_BYTES:
        raise ValueError(f"records: unexpected length of {len(update.records)} bytes")
    names = tuple(shards[position] for position in update.shards)
    spent = tuple(shards[position] for position in update.spent)
    return PartsBundle(names, tuple(update.signatures), update.records, spent)


def _error(kind: ErrorKind, field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(kind, f"{field}: {message}", field))
