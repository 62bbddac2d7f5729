"""Encodes outcomes for the run ledger, so that any entry can answer a resend."""

from __future__ import annotations

from typing import Any

import cbor2

from ..errors import ErrorKind, Failure
from .entry_events import Answered, MissingShard, Outcome, Refused
from .shard_map import Snapshot

ANSWERED = 1
REFUSED = 2


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome as CBOR."""
    match outcome:
        case Answered():
            fields: list[Any] = [
                ANSWERED,
                list(outcome.snapshot),
                outcome.coverage,
                [list(item) for item in outcome.missing],
                outcome.rows,
                outcome.rule,
                outcome.revision,
            ]
        case Refused(failure=failure, rule=rule, revision=revision):
            fields = [REFUSED, failure.kind.value, failure.message, rule, revision]
    return cbor2.dumps(fields)


def decode_outcome(data: bytes) -> Outcome | None:
    """Decode an outcome; return None if the bytes are not a valid one."""
    try:
        fields = cbor2.loads(data)
        return _from_fields(fields)
    except Exception:
        # Bytes that hold something else raise errors of many types.
        return None


def _from_fields(fields: Any) -> Outcome | None:
    if fields[0] == ANSWERED:
        _, snapshot, coverage, missing, rows, rule, revision = fields
        return Answered(
            Snapshot(*snapshot),
            coverage,
            tuple(MissingShard(*item) for item in missing),
            rows,
            rule,
            revision,
        )
    if fields[0] == REFUSED:
        _, kind, message, rule, revision = fields
        return Refused(Failure(ErrorKind(kind), message), rule, revision)
    return None
