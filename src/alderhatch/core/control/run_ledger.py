"""The run ledger: which requests that may run at most once were claimed, and how they ended."""

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
"""A larger outcome is not kept: a resend is told that the request ran and its answer is gone."""
MAX_TOTAL_OUTCOME_BYTES = 16 * 1024 * 1024
MAX_RELEASED_TOKENS = 16


class RunState(StrEnum):
    """How far a claimed request has got."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    """The holder's lease ran out before it said how the run ended."""
    RELEASED = "released"
    """The holder said that no byte was sent; the id may be claimed again."""


class LedgerKey(NamedTuple):
    """Names one request that may run at most once."""

    caller: str
    request_id: str


@dataclass(slots=True)
class RunRecord:
    """What the ledger knows of one request."""

    fingerprint: str
    """Of the body; empty if only a release has been seen."""
    state: RunState
    entry: str
    incarnation: str
    token: str
    claimed_at: Millis
    outcome: bytes | None = None
    released: tuple[str, ...] = ()
    """Tokens released or turned away; a claim of theirs that arrives late is not granted."""


class LedgerCounts(NamedTuple):
    """The ledger's size; for dumps and metrics."""

    records: int
    in_progress: int
    outcome_bytes: int
    forgotten: int


class RunLedger:
    """Records by (caller, request id), bounded in age, number and bytes.

    A request runs only after its claim was granted, and each claim is granted to one token. What
    is dropped leaves a digest behind, so that an id that was used is never taken for a new one.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[LedgerKey, RunRecord] = OrderedDict()
        self._in_progress: dict[LedgerKey, None] = {}
        self._outcome_bytes = 0
        self._forgotten = EvictedIds()

    def claim(self, claim: Claim, now: Millis, horizon: Millis) -> ClaimAnswer:
        """Decide whether a request may run.

        Args:
            claim: Who asks to run what.
            now: The state's time.
            horizon: How old an id may be.

        Returns:
            The answer; only ``granted`` allows the holder of the token to send anything.
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
                _turn_away(record, claim.token)
                return ClaimAnswer(ClaimStatus.IN_PROGRESS)
            case RunState.UNKNOWN if record.token == claim.token:
                # The entry still asks, so the answer to this very claim was lost and nothing was
                # sent. Left unknown, the caller would be told that its booking may have run.
                self._set_in_progress(key, record)
                return ClaimAnswer(ClaimStatus.GRANTED)
            case RunState.UNKNOWN:
                _turn_away(record, claim.token)
                return ClaimAnswer(ClaimStatus.OUTCOME_UNKNOWN)
            case RunState.DONE if record.outcome is not None:
                return ClaimAnswer(ClaimStatus.STORED, record.outcome)
            case _:
                return ClaimAnswer(ClaimStatus.OUTCOME_UNKNOWN)

    def record(self, outcome: RecordOutcome) -> bool:
        """Store how a run ended; return whether the claim is the token's."""
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
        """Take a claim back of which nothing was sent; return whether it is taken back now."""
        key = LedgerKey(release.caller, release.request_id)
        record = self._records.get(key)
        if record is None and self._is_too_old(key, now, horizon):
            # Another sending of this id may have run and been dropped since. A record made here
            # would say that the id is free, and the next resend would run a second time.
            return False
        if record is None:
            # The claim itself may still be on its way through another control host. Granted after
            # this release, it would have no holder and block the id until the entry restarts.
            record = RunRecord("", RunState.RELEASED, "", "", release.token, now)
            self._records[key] = record
        elif record.token != release.token:
            record.released = _with_token(record.released, release.token)
            return False
        if record.state is RunState.DONE:
            return False
        record.state = RunState.RELEASED
        record.released = _with_token(record.released, release.token)
        self._in_progress.pop(key, None)
        return True

    def mark_outcomes_unknown(self, holder: EntryKey) -> int:
        """Mark what an entry held as of unknown outcome; return how many claims that were."""
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
        """Drop what is past the horizon or over the bounds, oldest first."""
        self._forgotten.expire(now)
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.claimed_at + horizon > now:
                break
            self._forget(key, now, horizon)
        if self._over_bounds():
            self._make_room(now, horizon)

    def counts(self) -> LedgerCounts:
        """Return the ledger's size."""
        return LedgerCounts(
            len(self._records), len(self._in_progress), self._outcome_bytes, len(self._forgotten)
        )

    def to_plain(self) -> dict[str, Any]:
        """Return the whole state as plain maps, lists and bytes."""
        rows = [[*key, *_record_row(record)] for key, record in self._records.items()]
        in_progress = [list(key) for key in self._in_progress]
        return {"records": rows, "in_progress": in_progress, "ids": self._forgotten.to_plain()}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> RunLedger:
        """Return the state that ``to_plain`` gave."""
        ledger = cls()
        for row in plain["records"]:
            record = _record_from_row(row[2:])
            ledger._records[LedgerKey(row[0], row[1])] = record
            ledger._outcome_bytes += len(record.outcome or b"")
        ledger._in_progress = {LedgerKey(*key): None for key in plain["in_progress"]}
        ledger._forgotten = EvictedIds.from_plain(plain["ids"])
        return ledger

    def _claim_new(self, key: LedgerKey, claim: Claim, now: Millis, horizon: Millis) -> ClaimAnswer:
        if self._is_too_old(key, now, horizon):
            return ClaimAnswer(ClaimStatus.TOO_OLD)
        if len(self._records) >= MAX_RECORDS:
            self._make_room(now, horizon)
        if len(self._records) >= MAX_RECORDS or self._forgotten.full:
            return ClaimAnswer(ClaimStatus.FULL)
        self._grant(key, claim, now, ())
        return ClaimAnswer(ClaimStatus.GRANTED)

    def _is_too_old(self, key: LedgerKey, now: Millis, horizon: Millis) -> bool:
        issued = issued_at(key.request_id)
        if issued is not None and issued + horizon <= now:
            return True
        return id_digest(*key) in self._forgotten

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

    def _make_room(self, now: Millis, horizon: Millis) -> None:
        wanted = MAX_RECORDS - MAX_RECORDS // 20
        for key, record in list(self._records.items()):
            if len(self._records) <= wanted and not self._over_bounds():
                return
            if record.state is not RunState.IN_PROGRESS:
                self._forget(key, now, horizon)

    def _forget(self, key: LedgerKey, now: Millis, horizon: Millis) -> None:
        record = self._records.pop(key)
        self._in_progress.pop(key, None)
        self._outcome_bytes -= len(record.outcome or b"")
        issued = issued_at(key.request_id)
        # An id that carries its time is refused by its age alone; one that does not, or that is
        # dropped early for room, would pass for a new one and run twice without its digest.
        if issued is None or issued + horizon > now:
            self._forgotten.add(id_digest(*key), now)


def _turn_away(record: RunRecord, token: str) -> None:
    """Note that a sending was told that it may not run.

    A copy of its claim can still be on its way through another control host. Granted after the
    holder took its own claim back, it would have no holder: every resend would be told that the
    request runs, until the entry restarts.
    """
    record.released = _with_token(record.released, token)


def _with_token(released: tuple[str, ...], token: str) -> tuple[str, ...]:
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
