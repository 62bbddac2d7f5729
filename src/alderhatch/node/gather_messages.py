"""What hosts that ask for the shards of one gather together say to each other."""

from __future__ import annotations

from collections.abc import Iterable
from math import isnan
from typing import Any, NamedTuple, TypeAlias

from ..clock import Millis
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.top_k import RECORD_BYTES
from ..errors import AlderhatchError, ErrorKind, Failure
from .hand_over_messages import Field, HandedAnswer, HandedRefusal, HandedRequest


class PartsRequest(NamedTuple):
    """The shards of a caller's gather that the other host is to ask for."""

    number: int
    """Names it on this link; never used again there."""
    method: str
    target: str
    fields: list[Field]
    body: bytes
    time_left: Millis
    """How long the caller waits from now on."""
    due_in: Millis
    """When the answer should leave, from now on; may be negative for one that is late."""
    shards: list[str]


class PartsNews(NamedTuple):
    """Parts that have come since the last such message; none as a sign of life."""

    number: int
    shards: list[int]
    """The places of the shards in the request."""
    signatures: list[bytes]
    records: bytes
    """The greatest records of these parts."""
    spent: list[int]
    """The places of all shards that no other host may ask for any more."""


class PartsEnd(NamedTuple):
    """No more parts will come."""

    number: int


GATHER_MESSAGE_TYPES: tuple[type[Any], ...] = (PartsRequest, PartsNews, PartsEnd)
Request: TypeAlias = HandedRequest | PartsRequest
"""What one host asks of another one."""
Reply: TypeAlias = HandedAnswer | HandedRefusal | PartsEnd
"""What ends such a request."""


def check_parts_request(req: PartsRequest, known: Iterable[str]) -> None:
    """Check a request of another host before anything of it is run.

    Args:
        req: The request.
        known: The shards of its route here.

    Raises:
        AlderhatchError: Naming the field that is wrong.
    """
    if not req.time_left > 0:
        raise _refused(ErrorKind.DEADLINE_TOO_SHORT, "time_left", "no time is left")
    if isnan(req.due_in):
        raise _refused(ErrorKind.BAD_REQUEST, "due_in", "not a number")
    if not req.shards or len(set(req.shards)) != len(req.shards):
        raise _refused(ErrorKind.BAD_REQUEST, "shards", "different shards are wanted")
    unknown = set(req.shards).difference(known)
    if unknown:
        # The two hosts are at different configurations, which passes within a moment.
        message = f"{len(unknown)} shards are not of this host's route, such as {min(unknown)!r}"
        raise _refused(ErrorKind.NO_CONFIGURATION, "shards", message)


def to_parts_bundle(news: PartsNews, shards: tuple[str, ...], most_records: int) -> PartsBundle:
    """Return the parts that another host says it has.

    Args:
        news: Its message.
        shards: Those that it was asked for.
        most_records: How many records the route wants.

    Raises:
        ValueError: Naming the field, if the message doesn't fit the request.
    """
    for field, places in (("shards", news.shards), ("spent", news.spent)):
        if not all(0 <= place < len(shards) for place in places):
            raise ValueError(f"{field}: a place that was not in the request")
    if len(news.signatures) != len(news.shards) or not all(news.signatures):
        raise ValueError("signatures: one for each shard is wanted")
    if len(news.records) > most_records * RECORD_BYTES or len(news.records) % RECORD_BYTES:
        raise ValueError(f"records: {len(news.records)} bytes")
    names = tuple(shards[place] for place in news.shards)
    spent = tuple(shards[place] for place in news.spent)
    return PartsBundle(names, tuple(news.signatures), news.records, spent)


def _refused(kind: ErrorKind, field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(kind, f"{field}: {message}", field))
