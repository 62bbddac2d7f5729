"""The records in the frames of the data folder, as CBOR."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

import cbor2

from ..core.raft.log_entry import EntryKind, HardState, LogEntry
from ..core.raft.membership import Membership
from ..message_check import Check, MessageError, build_check

FORMAT = 1
"""The version of everything in the folder; another one is refused."""


class SegmentHead(NamedTuple):
    """The first frame of a journal segment."""

    format: int
    member_id: str
    hard_state: HardState
    """As it was when the segment was begun, so that older segments can go."""


class SnapshotHead(NamedTuple):
    """The first frame of a snapshot file; the state's bytes follow it."""

    format: int
    cluster_id: str
    index: int  # type: ignore[assignment]
    term: int
    membership: Membership
    size: int
    checksum: str


class Identity(NamedTuple):
    """Whose folder this is."""

    format: int
    name: str
    """The host's name from its settings."""
    member_id: str
    cluster_id: str
    """Empty until the host has joined or founded a cluster; never changes afterwards."""


class LogReset(NamedTuple):
    """All entries before this record are void; a snapshot has taken their place."""

    index: int  # type: ignore[assignment]
    term: int


Record: TypeAlias = HardState | LogEntry | LogReset

_HARD_STATE = 1
_ENTRY = 2
_RESET = 3

_check_membership: Check = build_check(Membership)


def encode_records(records: list[Record]) -> bytes:
    """Return the payload of a journal frame."""
    return cbor2.dumps([_encode(record) for record in records])


def _encode(record: Record) -> tuple[Any, ...]:
    match record:
        case HardState():
            return (_HARD_STATE, *record)
        case LogEntry():
            return (_ENTRY, *record)
        case LogReset():
            return (_RESET, *record)


def decode_records(payload: bytes) -> list[Record]:
    """Return the records of a journal frame.

    Raises:
        ValueError: If the payload is not one of this format.
    """
    try:
        return [_decode(raw) for raw in cbor2.loads(payload)]
    except (cbor2.CBORError, TypeError, MessageError) as exc:
        raise ValueError(f"no records: {exc}") from exc


def _decode(raw: list[Any]) -> Record:
    match raw:
        case [1, int(term), str(vote)]:
            return HardState(term, vote)
        case [2, int(index), int(term), int(kind), bytes(command), membership]:
            known = None if membership is None else _check_membership(membership)
            return LogEntry(index, term, EntryKind(kind), command, known)
        case [3, int(index), int(term)]:
            return LogReset(index, term)
    raise ValueError(f"unknown record of type {raw[:1]}")


def encode_head(head: SegmentHead | SnapshotHead | Identity) -> bytes:
    """Return the payload of a file's first frame."""
    return cbor2.dumps([type(head).__name__, head])


def decode_head(payload: bytes, head_type: type[Any]) -> Any:
    """Return the checked first frame of a file.

    Raises:
        ValueError: If the file is of another kind or format.
    """
    try:
        raw = cbor2.loads(payload)
    except cbor2.CBORError as exc:
        raise ValueError(f"no CBOR: {exc}") from exc
    if not (isinstance(raw, list) and len(raw) == 2 and raw[0] == head_type.__name__):
        raise ValueError("a file of another kind")
    if not (isinstance(raw[1], list) and raw[1] and raw[1][0] == FORMAT):
        raise ValueError(f"format {raw[1][:1]}, this program knows format {FORMAT}")
    try:
        return build_check(head_type)(raw[1])
    except MessageError as exc:
        raise ValueError(f"no {head_type.__name__}: {exc.field_path}: {exc.message}") from exc
