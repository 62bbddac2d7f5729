"""The state that the replicated log drives: the same on every control host."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import cbor2

from ...clock import Millis
from ...errors import AlderhatchError, ErrorKind
from ..rule_list import RuleFaultsError
from ._change_application import ChangeOutcome, apply_action
from .actions import ACTIONS, Action, action_name
from .change_history import ChangeHistory
from .crash_table import CrashTable
from .feed import (
    UPDATES,
    ControlsPatch,
    Feed,
    LeavingServer,
    Patch,
    QuarantinePatch,
    RosterPatch,
    WholeView,
)
from .host_table import HostTable, Quorum
from .operations import (
    BATCHES,
    OPERATIONS,
    AnnounceControl,
    Answer,
    Batch,
    Change,
    ChangeAccepted,
    ChangeRefused,
    Claim,
    ClaimAnswer,
    ClaimStatus,
    EntryKey,
    FaultItem,
    HistoryItem,
    KeepHouse,
    Noted,
    RecordOutcome,
    RegisterEntry,
    ReleaseClaim,
    RemoveEntries,
    ReportCrash,
)
from .roster import control_places, roster_row
from .rule_store import Author, RuleStore
from .run_ledger import RunLedger
from .tier_settings import TierSettings, merge_settings, settings_to_plain

SNAPSHOT_FORMAT = 1
VERSIONS_KEPT = 2000


class SnapshotFormatError(Exception):
    """A snapshot was written by a version of the program that this one does not know."""


class ControlState:
    """Rules, settings, hosts, quarantines, run ledger, history. Driven by ``apply`` alone.

    Time comes with each command from its proposer and never goes back, so that every host comes
    to the same state whenever it applies the command.
    """

    def __init__(self) -> None:
        self.now: Millis = 0.0
        """The time of the last command, in milliseconds since 1970."""
        self.revision = 0
        """Counts accepted changes of the configuration; it never goes down."""
        self.settings = TierSettings()
        """The settings of the whole tier."""
        self.rule_store = RuleStore()
        """The rules with their history."""
        self.hosts = HostTable()
        """Entries, control hosts and leaving servers."""
        self.crashes = CrashTable()
        """Suspect and quarantined bodies."""
        self.ledger = RunLedger()
        """The runs of requests that may run at most once."""
        self.change_history = ChangeHistory()
        """Answers to changes, and the history."""
        self.feed = Feed()
        """What entries are told."""
        self._versions: dict[int, int] = {0: 0}
        self._whole: tuple[int, bytes] | None = None

    def apply(self, index: int, command: bytes) -> list[Answer]:
        """Apply one command of the log.

        Args:
            index: The command's place in the log.
            command: An encoded ``Batch``.

        Returns:
            The answer to each operation, in their order.
        """
        try:
            batch: Batch = BATCHES.decode(command)
        except AlderhatchError as exc:
            return [Noted(False, str(exc))]
        self.now = max(self.now, batch.at)
        self._let_time_pass()
        return [self._apply_one(data) for data in batch.operations]

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        plain = {
            "format": SNAPSHOT_FORMAT,
            "now": self.now,
            "revision": self.revision,
            "version": self.feed.version,
            "versions": [list(item) for item in self._versions.items()],
            "settings": settings_to_plain(self.settings),
            "book": self.rule_store.to_plain(),
            "hosts": self.hosts.to_plain(),
            "crashes": self.crashes.to_plain(),
            "ledger": self.ledger.to_plain(),
            "memory": self.change_history.to_plain(),
        }
        return cbor2.dumps(plain)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier snapshot.

        Raises:
            SnapshotFormatError: If the snapshot is of an unknown format.
        """
        plain = cbor2.loads(data)
        if plain.get("format") != SNAPSHOT_FORMAT:
            raise SnapshotFormatError(f"format {plain.get('format')!r} of a snapshot is not known")
        self.now = plain["now"]
        self.revision = plain["revision"]
        self.settings = merge_settings(TierSettings(), plain["settings"])
        self.rule_store = RuleStore.from_plain(plain["book"])
        self.hosts = HostTable.from_plain(plain["hosts"])
        self.crashes = CrashTable.from_plain(plain["crashes"])
        self.ledger = RunLedger.from_plain(plain["ledger"])
        self.change_history = ChangeHistory.from_plain(plain["memory"])
        self.feed = Feed(plain["version"])
        self._versions = dict(plain["versions"])
        self._whole = None

    def version_of(self, revision: int) -> int:
        """Return the feed's version at which a revision is in force.

        For a revision that is no longer kept it is the oldest kept one's, which is later.
        """
        if revision in self._versions:
            return self._versions[revision]
        return next(iter(self._versions.values()))

    def whole_view(self) -> bytes:
        """Return everything that entries are told, encoded; made once for each version."""
        if self._whole is None or self._whole[0] != self.feed.version:
            self._whole = (self.feed.version, UPDATES.encode(self._make_whole()))
        return self._whole[1]

    def updates_since(self, version: int) -> list[bytes]:
        """Return the encoded updates that bring an entry from a version to the present one."""
        updates = self.feed.since(version)
        return [self.whole_view()] if updates is None else updates

    def _make_whole(self) -> WholeView:
        hosts = self.hosts
        return WholeView(
            self.feed.version,
            self.revision,
            self.rule_store.rules.to_plain(),
            settings_to_plain(self.settings),
            [roster_row(hosts, name) for name in hosts.entries],
            [quarantine.fingerprint for quarantine in self.crashes.quarantines],
            [LeavingServer(*key) for key in hosts.leaving_servers],
            control_places(hosts),
        )

    def _let_time_pass(self) -> None:
        self.ledger.expire(self.now, self.settings.ledger_horizon_ms)
        ended = self.crashes.expire(self.now)
        if ended:
            self.feed.publish(self.revision, [QuarantinePatch([], ended)])

    def _apply_one(self, data: bytes) -> Answer:
        try:
            operation = OPERATIONS.decode(data)
        except AlderhatchError as exc:
            return Noted(False, str(exc))
        match operation:
            case Claim():
                return self._claim(operation)
            case RecordOutcome():
                return Noted(self.ledger.record(operation))
            case ReleaseClaim():
                horizon = self.settings.ledger_horizon_ms
                return Noted(self.ledger.release(operation, self.now, horizon))
            case Change():
                return self._change(operation)
            case RegisterEntry():
                return self._register(operation)
            case RemoveEntries():
                return self._remove(operation.entries)
            case ReportCrash():
                return self._report_crash(operation)
            case AnnounceControl():
                return self._announce(operation)
            case _:
                return Noted(isinstance(operation, KeepHouse))

    def _claim(self, claim: Claim) -> ClaimAnswer:
        # A process whose lease was called run out may have lost its claims to "outcome unknown".
        # Were it granted a new one meanwhile, nobody would watch over that claim if it dies.
        if not self.hosts.is_registered(EntryKey(claim.entry, claim.incarnation)):
            return ClaimAnswer(ClaimStatus.NOT_REGISTERED)
        return self.ledger.claim(claim, self.now, self.settings.ledger_horizon_ms)

    def _register(self, operation: RegisterEntry) -> Noted:
        before = self.hosts.entries.get(operation.name)
        problem = self.hosts.register(operation, self.now)
        if problem is not None:
            return Noted(False, problem)
        if before is None:
            row = roster_row(self.hosts, operation.name)
            self.feed.publish(self.revision, [RosterPatch([row], [])])
        return Noted(True)

    def _announce(self, control: AnnounceControl) -> Noted:
        before = control_places(self.hosts)
        is_news = self.hosts.announce(control)
        after = control_places(self.hosts)
        if after != before:
            self.feed.publish(self.revision, [ControlsPatch(after)])
        return Noted(is_news)

    def _remove(self, entries: Sequence[EntryKey]) -> Noted:
        removed = [key for key in entries if self.hosts.remove(key, self.now)]
        for key in removed:
            self.ledger.mark_outcomes_unknown(key)
        if removed:
            self.feed.publish(self.revision, [RosterPatch([], [key.name for key in removed])])
        return Noted(bool(removed))

    def _report_crash(self, report: ReportCrash) -> Noted:
        quarantined = self.crashes.report(report, self.now, self.settings)
        if quarantined:
            self.feed.publish(self.revision, [QuarantinePatch([report.fingerprint], [])])
        return Noted(True)

    def _change(self, change: Change) -> ChangeAccepted | ChangeRefused:
        first = self.change_history.answer_to(change)
        if first is not None and self.change_history.is_same(change):
            return first
        if first is not None:
            message = f"change id {change.change_id!r} was used for another change"
            return self._refusal(ErrorKind.INVALID_CHANGE, message, "change_id")
        answer = self._decide(change)
        self.change_history.remember(change, answer)
        return answer

    def _decide(self, change: Change) -> ChangeAccepted | ChangeRefused:
        if change.expected_revision != self.revision:
            message = f"expected revision {change.expected_revision}, it is {self.revision}"
            refusal = self._refusal(ErrorKind.REVISION_CONFLICT, message, "expected_revision")
            return refusal._replace(won=self.change_history.since(change.expected_revision))
        author = Author(self.revision + 1, self.now, change.who, change.change_id)
        quorum = Quorum(tuple(change.voters), tuple(change.down))
        try:
            action: Action = ACTIONS.decode(change.action)
            outcome = apply_action(self, action, author, quorum)
        except RuleFaultsError as exc:
            faults = [FaultItem(*fault) for fault in exc.faults]
            refusal = self._refusal(ErrorKind.INVALID_CHANGE, str(faults[0].message), None)
            return refusal._replace(field=faults[0].field, faults=faults)
        except AlderhatchError as exc:
            failure = exc.failure
            return self._refusal(failure.kind, failure.message, failure.field)
        return self._accept(change, action, outcome)

    def _accept(self, change: Change, action: Action, outcome: ChangeOutcome) -> ChangeAccepted:
        if outcome.changed:
            self.revision += 1
            self._publish_change(outcome.patches)
            item = HistoryItem(
                self.revision,
                self.now,
                change.who,
                change.change_id,
                action_name(action),
                outcome.target,
                outcome.summary,
            )
            self.change_history.record(item)
        version = self.feed.version
        return ChangeAccepted(change.change_id, self.revision, version, self.now, outcome.changed)

    def _publish_change(self, patches: Sequence[Patch]) -> None:
        self.feed.publish(self.revision, patches)
        self._versions[self.revision] = self.feed.version
        while len(self._versions) > VERSIONS_KEPT:
            del self._versions[next(iter(self._versions))]

    def _refusal(self, kind: ErrorKind, message: str, field: str | None) -> ChangeRefused:
        return ChangeRefused(str(kind), message, field, self.revision, [], [])

    def to_dump(self) -> dict[str, Any]:
        """Return the state for a person on call: bounded, without bodies or outcomes."""
        return {
            "now_ms": self.now,
            "revision": self.revision,
            "version": self.feed.version,
            "rules": [rule.name for rule in self.rule_store.rules.rules],
            "settings": settings_to_plain(self.settings),
            "entries": [record._asdict() for record in self.hosts.entries.values()],
            "controls": [record._asdict() for record in self.hosts.controls.values()],
            "stopping": dict(self.hosts.stopping),
            "departed": list(self.hosts.departed)[-100:],
            "leaving_servers": [list(key) for key in self.hosts.leaving_servers][-100:],
            "quarantines": [q._asdict() for q in self.crashes.quarantines[-100:]],
            "suspects": len(self.crashes.suspects),
            "ledger": self.ledger.counts()._asdict(),
            "history": [item._asdict() for item in self.change_history.page(None, 20)],
        }
