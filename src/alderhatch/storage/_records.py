"""CBOR encoding of the records in the frames of the data folder."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

import cbor2

from ..core.raft.log_entry import EntryKind, HardState, LogEntry
from ..core.raft.membership import Membership
from ..message_check import Check, MessageError, build_check

FORMAT = 1
"""Format version of all files in the folder; files of other versions are rejected."""


class SegmentHead(NamedTuple):
    """Header of a journal segment, in its first frame."""

    format: int
    member_id: str
    hard_state: HardState
    """Term and vote when the segment was created, so that older segments can be removed."""


class SnapshotHead(NamedTuple):
    """Header of a snapshot file, in its first frame; the bytes of the state follow it."""

    format: int
    cluster_id: str
    index: int  # type: ignore[assignment]
    term: int
    membership: Membership
    size: int
    checksum: str


class Identity(NamedTuple):
    """The host, member and cluster that a folder belongs to."""

    format: int
    name: str
    """The host's name from its settings."""
    member_id: str
    cluster_id: str
    """Empty until the host has joined or bootstrapped a cluster; never changes afterwards."""


class LogReset(NamedTuple):
    """Discards all entries before this record, for example because a snapshot replaces them."""

    index: int  # type: ignore[assignment]
    term: int


Record: TypeAlias = HardState | LogEntry | LogReset

_HARD_STATE = 1
_ENTRY = 2
_RESET = 3

_check_membership: Check = build_check(Membership)


def encode_records(records: list[Record]) -> bytes:
    """Encode records as the payload of a journal frame."""
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
    """Decode the records of a journal frame.

    Raises:
        ValueError: If the payload holds no valid records.
    """
    try:
        return [_decode(raw) for raw in cbor2.loads(payload)]
    except Exception as exc:
        raise ValueError(f"invalid journal records: {exc}") from exc


def _decode(raw: list[Any]) -> Record:
    match raw:
        case [1, int(term), str(vote)]:
            return HardState(term, vote)
        case [2, int(index), int(term), int(kind), bytes(command), membership]:
            checked_membership = None if membership is None else _check_membership(membership)
            return LogEntry(index, term, EntryKind(kind), command, checked_membership)
        case [3, int(index), int(term)]:
            return LogReset(index, term)
    raise ValueError(f"unknown record type {raw[:1]}")


def encode_head(head: SegmentHead | SnapshotHead | Identity) -> bytes:
    """Encode a header as the payload of a file's first frame."""
    return cbor2.dumps([type(head).__name__, head])


def decode_head(payload: bytes, head_type: type[Any]) -> Any:
    """Decode and check the header in the first frame of a file.

    Raises:
        ValueError: If the header is invalid or of another type or format version.
    """
    try:
        raw = cbor2.loads(payload)
    except Exception as exc:
        raise ValueError(f"not CBOR: {exc}") from exc
    if not (isinstance(raw, list) and len(raw) == 2 and raw[0] == head_type.__name__):
        raise ValueError("not a header of the expected type")
    if not (isinstance(raw[1], list) and raw[1] and raw[1][0] == FORMAT):
        raise ValueError(f"unsupported format {raw[1][:1]}, expected {FORMAT}")
    try:
        return build_check(head_type)(raw[1])
    except MessageError as exc:
        raise ValueError(f"invalid {head_type.__name__}: {exc.field_path}: {exc.message}") from exc
