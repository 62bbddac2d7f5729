"""The run ledger: claims of non-idempotent requests, and the outcomes of their runs."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from ...clock import Millis
from .evicted_ids import EvictedIds, id_digest
from .operations import Claim, ClaimAnswer, ClaimStatus, EntryKey, RecordOutcome, ReleaseClaim
from .request_time import issued_at

MAX_RECORDS = 20_000
MAX_OUTCOME_BYTES = 32 * 1024
"""A larger outcome is not stored; a resend is answered with an unknown outcome."""
MAX_TOTAL_OUTCOME_BYTES = 16 * 1024 * 1024
MAX_RELEASED_TOKENS = 16


class RunState(StrEnum):
    """The state of a claimed request."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    """The holder's lease expired before it reported an outcome."""
    RELEASED = "released"
    """The holder reported that no byte was sent; the ID may be claimed again."""


class LedgerKey(NamedTuple):
    """Identifies a non-idempotent request."""

    caller: str
    request_id: str


@dataclass(slots=True)
class RunRecord:
    """The ledger's record of one request."""

    fingerprint: str
    """The fingerprint of the body; empty if only a release was received."""
    state: RunState
    entry: str
    incarnation: str
    token: str
    claimed_at: Millis
    outcome: bytes | None = None
    released: tuple[str, ...] = ()
    """Tokens that were released or refused; their claims are not granted if they arrive late."""


class LedgerCounts(NamedTuple):
    """The size of the ledger, for dumps and metrics."""

    records: int
    in_progress: int
    outcome_bytes: int
    forgotten: int


class RunLedger:
    """Records by (caller, request ID), bounded in age, number and bytes.

    A request runs only after its claim is granted, and a claim is granted to one token only. For a
    dropped record a digest of the ID is kept, so that a used ID is not treated as a new one.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[LedgerKey, RunRecord] = OrderedDict()
        self._in_progress: dict[LedgerKey, None] = {}
        self._outcome_bytes = 0
        self._evicted_ids = EvictedIds()

    def claim(self, claim: Claim, now: Millis, horizon: Millis) -> ClaimAnswer:
        """Decide whether a request may run.

        Args:
            claim: The claim.
            now: The state's time.
            horizon: The maximum age of a request ID.

        Returns:
            The answer; only ``granted`` allows the holder of the token to send the request.
        """
        key = LedgerKey(claim.caller, claim.request_id)
        record = self._records.get(key)
        if record is None:
            return self._claim_new(key, claim, now, horizon)
        if record.fingerprint and record.fingerprint != claim.fingerprint:
            return ClaimAnswer(ClaimStatus.REUSED)
        match record.state:
            case RunState.RELEASED if claim.token in record.released:
                return ClaimAnswer(ClaimStatus.WITHDRAWN)
            case RunState.RELEASED:
                self._grant(key, claim, now, record.released)
                return ClaimAnswer(ClaimStatus.GRANTED)
            case RunState.IN_PROGRESS if record.token == claim.token:
                return ClaimAnswer(ClaimStatus.GRANTED)
            case RunState.IN_PROGRESS:
                _reject_token(record, claim.token)
                return ClaimAnswer(ClaimStatus.IN_PROGRESS)
            case RunState.UNKNOWN if record.token == claim.token:
                # The entry repeats this claim, so it has received no answer and sent nothing. With
                # an unknown outcome the caller would get the answer that the request may have run.
                self._set_in_progress(key, record)
                return ClaimAnswer(ClaimStatus.GRANTED)
            case RunState.UNKNOWN:
                _reject_token(record, claim.token)
                return ClaimAnswer(ClaimStatus.OUTCOME_UNKNOWN)
            case RunState.DONE if record.outcome is not None:
                return ClaimAnswer(ClaimStatus.STORED, record.outcome)
            case _:
                return ClaimAnswer(ClaimStatus.OUTCOME_UNKNOWN)

    def record(self, outcome: RecordOutcome) -> bool:
        """Store the outcome of a run; return whether the token holds the claim."""
        key = LedgerKey(outcome.caller, outcome.request_id)
        record = self._records.get(key)
        if record is None or record.token != outcome.token:
            return False
        if record.state is RunState.DONE:
            return True
        if record.state is RunState.RELEASED:
            return False
        record.state = RunState.DONE
        self._in_progress.pop(key, None)
        if len(outcome.outcome) <= MAX_OUTCOME_BYTES:
            record.outcome = outcome.outcome
            self._outcome_bytes += len(outcome.outcome)
        return True

    def release(self, release: ReleaseClaim, now: Millis, horizon: Millis) -> bool:
        """Release a claim for which nothing was sent; return whether it is released now."""
        key = LedgerKey(release.caller, release.request_id)
        record = self._records.get(key)
        if record is None and self._is_too_old(key, now, horizon):
            # Another request with this ID may have run, and its record may have been dropped. A
            # record created here would make the ID free, and the next resend would run again.
            return False
        if record is None:
            # The claim may still be in transit through another control host. If it were granted
            # after this release, it would have no holder and block the ID until the entry restarts.
            record = RunRecord("", RunState.RELEASED, "", "", release.token, now)
            self._records[key] = record
        elif record.token != release.token:
            record.released = _add_token(record.released, release.token)
            return False
        if record.state is RunState.DONE:
            return False
        record.state = RunState.RELEASED
        record.released = _add_token(record.released, release.token)
        self._in_progress.pop(key, None)
        return True

    def mark_outcomes_unknown(self, holder: EntryKey) -> int:
        """Mark the claims held by an entry process as of unknown outcome; return their number."""
        held = [
            key
            for key in self._in_progress
            if (self._records[key].entry, self._records[key].incarnation) == holder
        ]
        for key in held:
            self._records[key].state = RunState.UNKNOWN
            del self._in_progress[key]
        return len(held)

    def expire(self, now: Millis, horizon: Millis) -> None:
        """Drop records that are past the horizon or exceed the bounds, oldest first."""
        self._evicted_ids.expire(now)
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.claimed_at + horizon > now:
                break
            self._drop(key, now, horizon)
        if self._over_bounds():
            self._evict(now, horizon)

    def counts(self) -> LedgerCounts:
        """Return the size of the ledger."""
        return LedgerCounts(
            len(self._records), len(self._in_progress), self._outcome_bytes, len(self._evicted_ids)
        )

    def to_plain(self) -> dict[str, Any]:
        """Return the state as plain maps, lists and bytes."""
        rows = [[*key, *_record_row(record)] for key, record in self._records.items()]
        in_progress = [list(key) for key in self._in_progress]
        return {"records": rows, "in_progress": in_progress, "ids": self._evicted_ids.to_plain()}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> RunLedger:
        """Return the state from the result of ``to_plain``."""
        ledger = cls()
        for row in plain["records"]:
            record = _record_from_row(row[2:])
            ledger._records[LedgerKey(row[0], row[1])] = record
            ledger._outcome_bytes += len(record.outcome or b"")
        ledger._in_progress = {LedgerKey(*key): None for key in plain["in_progress"]}
        ledger._evicted_ids = EvictedIds.from_plain(plain["ids"])
        return ledger

    def _claim_new(self, key: LedgerKey, claim: Claim, now: Millis, horizon: Millis) -> ClaimAnswer:
        if self._is_too_old(key, now, horizon):
            return ClaimAnswer(ClaimStatus.TOO_OLD)
        if len(self._records) >= MAX_RECORDS:
            self._evict(now, horizon)
        if len(self._records) >= MAX_RECORDS or self._evicted_ids.is_full:
            return ClaimAnswer(ClaimStatus.FULL)
        self._grant(key, claim, now, ())
        return ClaimAnswer(ClaimStatus.GRANTED)

    def _is_too_old(self, key: LedgerKey, now: Millis, horizon: Millis) -> bool:
        issued = issued_at(key.request_id)
        if issued is not None and issued + horizon <= now:
            return True
        return id_digest(*key) in self._evicted_ids

    def _grant(self, key: LedgerKey, claim: Claim, now: Millis, released: tuple[str, ...]) -> None:
        record = RunRecord(
            claim.fingerprint,
            RunState.IN_PROGRESS,
            claim.entry,
            claim.incarnation,
            claim.token,
            now,
            released=released,
        )
        self._records[key] = record
        self._records.move_to_end(key)
        self._in_progress[key] = None

    def _set_in_progress(self, key: LedgerKey, record: RunRecord) -> None:
        record.state = RunState.IN_PROGRESS
        self._in_progress[key] = None

    def _over_bounds(self) -> bool:
        over = self._outcome_bytes > MAX_TOTAL_OUTCOME_BYTES
        return over or len(self._records) > MAX_RECORDS

    def _evict(self, now: Millis, horizon: Millis) -> None:
        target = MAX_RECORDS - MAX_RECORDS // 20
        for key, record in list(self._records.items()):
            if len(self._records) <= target and not self._over_bounds():
                return
            if record.state is not RunState.IN_PROGRESS:
                self._drop(key, now, horizon)

    def _drop(self, key: LedgerKey, now: Millis, horizon: Millis) -> None:
        record = self._records.pop(key)
        self._in_progress.pop(key, None)
        self._outcome_bytes -= len(record.outcome or b"")
        issued = issued_at(key.request_id)
        # An ID with a creation time past the horizon is refused by its age. Any other ID would be
        # treated as new without its digest, and the request would run twice.
        if issued is None or issued + horizon > now:
            self._evicted_ids.add(id_digest(*key), now)


def _reject_token(record: RunRecord, token: str) -> None:
    """Record that a claim with this token was refused.

    A copy of the claim may still be in transit through another control host. If it were granted
    after the holder released its own claim, it would have no holder, and until the entry restarts
    every resend would get the answer that the request is in progress.
    """
    record.released = _add_token(record.released, token)


def _add_token(released: tuple[str, ...], token: str) -> tuple[str, ...]:
    if token in released:
        return released
    return (*released, token)[-MAX_RELEASED_TOKENS:]


def _record_row(record: RunRecord) -> list[object]:
    return [
        record.fingerprint,
        str(record.state),
        record.entry,
        record.incarnation,
        record.token,
        record.claimed_at,
        record.outcome,
        list(record.released),
    ]


def _record_from_row(row: list[Any]) -> RunRecord:
    fingerprint, state, entry, incarnation, token, claimed_at, outcome, released = row
    return RunRecord(
        fingerprint,
        RunState(state),
        entry,
        incarnation,
        token,
        claimed_at,
        outcome,
        tuple(released),
    )
