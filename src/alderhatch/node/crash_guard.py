"""Protects servers from requests that crash them, with what this host and the leader know."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from math import inf
from typing import NamedTuple

from ..clock import SECOND, Clock, Millis
from ..core.entry_events import AttemptFault
from ..core.forwarding.crash_counter import CRASH_RETENTION, QUARANTINE_DURATION, SuspectKey
from ..core.forwarding.crash_evidence import (
    CrashEvidence,
    LostTrial,
    Proof,
    SharedTrial,
    Suspicion,
)
from ..core.forwarding.pause_watch import PauseWatch
from ..core.forwarding.probe_schedule import LEADER_SILENCE_TIMEOUT
from ..core.forwarding.target import Target
from ..log import log_event
from ..log_events import LogEvent
from .tier_messages import CrashReport, RequestMark, read_mark

MAX_CRASH_REPORTS = 20
"""Limit of crashes in one report, so that the loss of a zone fills no report."""
MAX_UNREPORTED = 2 * MAX_CRASH_REPORTS
PROOF_DURATION: Millis = 5 * SECOND
"""How long a host without a leader refuses a request by its own proof."""
PROBATION_DURATION: Millis = 3600 * SECOND
"""How long a request runs on one server at a time after its quarantine, until it is answered."""
MAX_QUARANTINES = 1024
BACKLOG_TIME: Millis = 50.0
"""How long after a pause the leader's messages may still be old ones that waited to be read."""
MAX_PRECAUTION: Millis = 1 * SECOND
"""How long after a pause gathers wait for word of the leader; it may be unreachable."""
CONTROL_SERVERS = 16
"""How many other servers are looked at when the server of a trial was lost."""


class _ToldSuspect(NamedTuple):
    """A request that the leader suspects."""

    until: Millis
    suspicion: Suspicion

    def key(self, fingerprint: str) -> SuspectKey:
        """Return what the leader's list names."""
        return _key_of(fingerprint, self.suspicion)

    def is_cleared_by(self, upstream: str) -> bool:
        """Return whether an answer from a server of an upstream shows that it is harmless."""
        return self.suspicion.upstream in (None, upstream)


def _key_of(fingerprint: str, suspicion: Suspicion) -> SuspectKey:
    return SuspectKey(fingerprint, suspicion.upstream or "")


def _is_about(report: CrashReport, fingerprint: str) -> bool:
    return read_mark(report.fingerprint).key.fingerprint == fingerprint


class CrashGuard:
    """Decides which requests this host refuses, or runs on one server at a time.

    Args:
        clock: The time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.probe: Callable[[str], None] = lambda server_id: None
        """Opens a connection to a server, to learn whether it has ended."""
        self.notify: Callable[[], None] = lambda: None
        """Called when there is something to report to the leader at once."""
        self.on_verdicts_changed: Callable[[], None] = lambda: None
        """Called when other requests are suspects or quarantined than before."""
        self.nearby_servers: Callable[[Target, int], Iterable[str]] = lambda target, count: ()
        """Returns so many other servers, those of the same zone first."""
        self.on_trial_ended: Callable[[], None] = lambda: None
        """Called when the server of a trial has ended, which is judged a moment later."""
        self.leader_heard_at: Callable[[], Millis] = lambda: inf
        """Returns when the leader's last message arrived."""
        self._pauses = PauseWatch()
        self._awaits_verdicts = False
        """Whether the leader that is followed now has not told its lists yet."""
        self.evidence = CrashEvidence()
        """What this host has seen."""
        self._quarantined_until: dict[str, Millis] = {}
        """When each quarantine ends or ended, by fingerprint; kept for the probation after it."""
        self._proven_until: dict[str, Millis] = {}
        """Until when this host refuses requests by its own proof."""
        self._told_suspects: dict[str, _ToldSuspect] = {}
        """The leader's suspects, by fingerprint; answered ones are dropped."""
        self._listed_suspects: frozenset[SuspectKey] = frozenset()
        """The leader's last list of suspects."""
        self._unreported: list[CrashReport] = []
        self._reported: list[tuple[Millis, CrashReport]] = []
        """Reports to the leader, with their times."""

    # Observations

    def record_attempt(
        self,
        fingerprint: str,
        target: Target,
        fault: AttemptFault | None,
        in_trial: bool,
        now: Millis,
    ) -> None:
        """Record the outcome of a request to a server.

        Args:
            fingerprint: The request.
            target: The server.
            fault: How the attempt failed; None if it was answered.
            in_trial: Whether it was sent to this server alone, as a suspect.
            now: The time.
        """
        match fault:
            case None | AttemptFault.FAILED:
                self._record_answer(fingerprint, target, now)
            case AttemptFault.LOST:
                self._record_loss(fingerprint, target, in_trial, now)
            case AttemptFault.MOVED:
                # Another server has taken the address, so this one has ended.
                self.evidence.record_refused(target.server_id, now)

    def _record_answer(self, fingerprint: str, target: Target, now: Millis) -> None:
        known = self.evidence.suspicion(fingerprint, now)
        if self.evidence.record_answer(fingerprint, target.upstream, now) and known is not None:
            self._clear(fingerprint, known, target)
        told = self._told_suspects.get(fingerprint)
        if told is not None and told.is_cleared_by(target.upstream):
            del self._told_suspects[fingerprint]
            self._clear(fingerprint, told.suspicion, target)
        if self._quarantined_until.get(fingerprint, now) < now:
            del self._quarantined_until[fingerprint]

    def _clear(self, fingerprint: str, suspicion: Suspicion, target: Target) -> None:
        key = _key_of(fingerprint, suspicion)
        self._drop_reports(fingerprint)
        self._report(CrashReport(RequestMark.ANSWERED.of(key), target.server_id))
        log_event(LogEvent.SUSPECT_CLEARED, fingerprint=fingerprint, server=target.server_id)

    def _drop_reports(self, fingerprint: str) -> None:
        """Forget what was reported of a request, which a new leader would take for news."""
        self._unreported = [one for one in self._unreported if not _is_about(one, fingerprint)]
        self._reported = [one for one in self._reported if not _is_about(one[1], fingerprint)]

    def _record_loss(self, fingerprint: str, target: Target, in_trial: bool, now: Millis) -> None:
        evidence = self.evidence
        before = evidence.suspicion(fingerprint, now)
        evidence.record_loss(fingerprint, target.upstream, target.server_id, in_trial, now)
        suspicion = evidence.suspicion(fingerprint, now)
        if suspicion is None and not in_trial:
            return
        self.probe(target.server_id)
        if in_trial:
            # Servers that end beside it show that the request has not caused it.
            for server_id in self.nearby_servers(target, CONTROL_SERVERS):
                self.probe(server_id)
        if suspicion is None or suspicion == before:
            return
        servers = evidence.lost_servers(fingerprint)
        log_event(
            LogEvent.REQUEST_SUSPECTED,
            fingerprint=fingerprint,
            servers=servers,
            upstream=suspicion.upstream,
        )
        key = _key_of(fingerprint, suspicion)
        for server_id in servers:
            self.probe(server_id)
            self._report(CrashReport(RequestMark.SUSPECT.of(key), server_id))
        self.on_verdicts_changed()

    def record_refused(self, server_id: str) -> None:
        """Record that a server has refused a connection."""
        now = self._clock.now()
        ended = self.evidence.record_refused(server_id, now)
        if self.evidence.has_unjudged_trials:
            self.on_trial_ended()
        for fingerprint in ended:
            if self.evidence.suspicion(fingerprint, now) is None:
                # Together with the losses at other hosts it may be one.
                key = SuspectKey(fingerprint, self.evidence.upstream_of(fingerprint, server_id))
                self._report(CrashReport(RequestMark.SUSPECT.of(key), server_id))

    def record_accepted(self, server_id: str, asked_at: Millis) -> None:
        """Record that a server has accepted a connection that was opened at a given time."""
        self.evidence.record_accepted(server_id, asked_at)

    # Judgements

    def suspicion(self, fingerprint: str) -> Suspicion | None:
        """Return why a request runs on one server at a time, or None if it does not."""
        now = self._clock.now()
        own = self.evidence.suspicion(fingerprint, now)
        if own is not None:
            return own
        told = self._told_suspects.get(fingerprint)
        if told is not None and told.until > now:
            return told.suspicion
        # One that is quarantined while it runs must not go on as if it were harmless.
        ends_at = self._quarantined_until.get(fingerprint)
        is_on_probation = ends_at is not None and now < ends_at + PROBATION_DURATION
        return Suspicion() if is_on_probation else None

    def hold_reason(self, fingerprint: str) -> Suspicion | None:
        """Return why a gather runs on one server at a time, or None if it does not.

        After a pause any gather does until the leader has been heard again. Others may have seen
        meanwhile that it crashes servers, and it would take one of every shard.
        """
        suspicion = self.suspicion(fingerprint)
        if suspicion is None and self.may_be_outdated():
            return Suspicion(is_precaution=True)
        return suspicion

    def may_be_outdated(self) -> bool:
        """Return whether this host was paused and has not heard from the leader since.

        To be called at least once in ``MAX_PAUSE``.
        """
        now = self._clock.now()
        resumed_at = self._pauses.resumed_at(now)
        has_heard = self.leader_heard_at() >= resumed_at + BACKLOG_TIME
        is_told = has_heard and not self._awaits_verdicts
        return not is_told and now < resumed_at + MAX_PRECAUTION

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is known to crash servers and must not run.

        The leader, which knows what ran on the same servers at other hosts, decides on this host's
        proof within a second. Until then the request runs on one server at a time.
        """
        now = self._clock.now()
        self.judge_trials()
        if self._quarantined_until.get(fingerprint, 0.0) > now:
            return True
        has_leader = now - self.leader_heard_at() < LEADER_SILENCE_TIMEOUT
        return not has_leader and self._proven_until.get(fingerprint, 0.0) > now

    def judge_trials(self) -> None:
        """Refuse the requests whose trials have shown that they crash servers."""
        now = self._clock.now()
        for judged in self.evidence.take_judged_trials(now):
            match judged:
                case Proof():
                    self._apply_proof(judged, now)
                case LostTrial(fingerprint, server_id):
                    # Together with trials at other hosts it may be a proof.
                    self._report_trial(RequestMark.TRIAL, fingerprint, server_id)
                case SharedTrial(fingerprint, server_id):
                    self._report_trial(RequestMark.SHARED_TRIAL, fingerprint, server_id)

    def _report_trial(self, mark: RequestMark, fingerprint: str, server_id: str) -> None:
        key = _key_of(fingerprint, self.suspicion(fingerprint) or Suspicion())
        self._report(CrashReport(mark.of(key), server_id))

    def _apply_proof(self, proof: Proof, now: Millis) -> None:
        log_event(
            LogEvent.TRIAL_LOST,
            fingerprint=proof.fingerprint,
            server=proof.trial_server,
            servers=list(proof.servers),
        )
        self._proven_until = {one: at for one, at in self._proven_until.items() if at > now}
        self._proven_until[proof.fingerprint] = now + PROOF_DURATION
        # The leader may decide before the next report, so the trial must be in the first one.
        self._report_trial(RequestMark.TRIAL, proof.fingerprint, proof.trial_server)
        for server_id in proof.servers[-MAX_CRASH_REPORTS:]:
            self._report(CrashReport(proof.fingerprint, server_id))

    # The leader

    def apply_suspects(self, suspects: Iterable[SuspectKey]) -> None:
        """Apply the leader's list of suspected requests."""
        listed = frozenset(suspects)
        now = self._clock.now()
        self._awaits_verdicts = False
        # One that is no longer listed was answered at another host. One that was never listed is
        # known from before a restart, which the leader may have had, too.
        unlisted = self._listed_suspects - listed
        self._told_suspects = {
            fingerprint: told
            for fingerprint, told in self._told_suspects.items()
            if told.until > now and told.key(fingerprint) not in unlisted
        }
        # A request that this host has seen answered meanwhile is still on the list.
        self.restore_suspects(listed - self._listed_suspects)
        self._listed_suspects = listed

    def restore_suspects(self, suspects: Collection[SuspectKey]) -> None:
        """Run requests on one server at a time that were suspects at another host or time."""
        until = self._clock.now() + CRASH_RETENTION
        for fingerprint, upstream in suspects:
            self._told_suspects[fingerprint] = _ToldSuspect(until, Suspicion(upstream or None))
        if suspects:
            self.on_verdicts_changed()

    def clear_suspect(self, key: SuspectKey) -> None:
        """Drop a suspect that a server has answered at another host."""
        told = self._told_suspects.get(key.fingerprint)
        if told is not None and told.key(key.fingerprint) == key:
            del self._told_suspects[key.fingerprint]

    def told_suspects(self) -> set[SuspectKey]:
        """Return the suspects of other hosts, and those from before a restart."""
        now = self._clock.now()
        return {told.key(one) for one, told in self._told_suspects.items() if told.until > now}

    def suspects(self) -> list[SuspectKey]:
        """Return the requests that this host runs on one server at a time."""
        own = self.evidence.suspects(self._clock.now())
        return sorted(self.told_suspects() | {_key_of(one, why) for one, why in own.items()})

    def apply_quarantine(self, fingerprints: Iterable[str]) -> None:
        """Apply the leader's list of quarantined requests.

        Each quarantine ends after ``QUARANTINE_DURATION``, the time that callers are given. A
        leader that does not list one does not end it, as a new leader may know less; one that still
        lists it does not extend it.
        """
        until = self._clock.now() + QUARANTINE_DURATION
        known = len(self._quarantined_until)
        for fingerprint in fingerprints:
            self._quarantined_until.setdefault(fingerprint, until)
        if len(self._quarantined_until) > known:
            self.on_verdicts_changed()
        self._drop_old_quarantines()

    def _drop_old_quarantines(self) -> None:
        now = self._clock.now()
        kept = {
            one: at for one, at in self._quarantined_until.items() if now < at + PROBATION_DURATION
        }
        self._quarantined_until = dict(list(kept.items())[-MAX_QUARANTINES:])

    def quarantines(self) -> dict[str, Millis]:
        """Return how long each request is still quarantined, by fingerprint."""
        now = self._clock.now()
        return {one: at - now for one, at in self._quarantined_until.items() if at > now}

    def restore_quarantines(self, time_left: Mapping[str, Millis]) -> None:
        """Refuse requests that were quarantined before this host was restarted.

        Args:
            time_left: How long each is still quarantined, by fingerprint; at most
                ``QUARANTINE_DURATION`` counts.
        """
        now = self._clock.now()
        for fingerprint, left in time_left.items():
            if left > 0:
                until = now + min(left, QUARANTINE_DURATION)
                self._quarantined_until.setdefault(fingerprint, until)
        self._drop_old_quarantines()

    def _report(self, report: CrashReport) -> None:
        self._unreported.append(report)
        # Without a leader nobody takes them.
        del self._unreported[:-MAX_UNREPORTED]
        self.notify()

    def take_reports(self) -> list[CrashReport]:
        """Return what to report to the leader; each report is returned once."""
        now = self._clock.now()
        self.judge_trials()
        reports = self._unreported[:MAX_CRASH_REPORTS]
        self._unreported = self._unreported[MAX_CRASH_REPORTS:]
        retained = [one for one in self._reported if now - one[0] < CRASH_RETENTION]
        self._reported = [*retained, *((now, report) for report in reports)]
        return reports

    def on_new_leader(self) -> None:
        """Queue the recent reports again for a new leader, as leaders keep them in memory only."""
        now = self._clock.now()
        self._awaits_verdicts = True
        recent = [report for at, report in self._reported if now - at < CRASH_RETENTION]
        self._reported = []
        self._unreported = [*recent, *self._unreported]
