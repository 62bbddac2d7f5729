"""One gather that is split among several hosts, as a state machine without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from .gather_plan import GatherPlan, HostShare
from .outcome import Failed, FailureReason, Gathered, Outcome
from .parts_bundle import PartsBundle
from .run_limits import RunTimes

FIRST_REPORT_FRACTION = 0.25
"""After this fraction of the time until the answer is due, a host reports what it has, even if that
is nothing."""
SILENCE_TIMEOUT_FRACTION = 0.5
"""After this fraction, the parts of a host that has reported nothing are queried here as well."""
MIN_SILENCE_TIMEOUT: Millis = 60.0
"""A host that works on two other large gathers sends its first report some 30 ms late. With a
shorter timeout, servers would get each part twice just when hosts are busy."""
HOP_LATENCY: Millis = 3.0
"""From one host's last report to its merge at the other host."""


class QueryHost(NamedTuple):
    """Have another host query its share."""

    number: int
    share: HostShare


class QueryLocally(NamedTuple):
    """Query shards from this host."""

    number: int
    shards: tuple[str, ...]
    is_repeat: bool
    """Whether another host may have queried them before."""


class CancelShare(NamedTuple):
    """Cancel a share whose result is no longer needed."""

    number: int


class HostSilent(NamedTuple):
    """A host has reported nothing for so long that it should be avoided for a while."""

    number: int


class Finish(NamedTuple):
    """The gather is finished."""

    outcome: Outcome


Effect: TypeAlias = QueryHost | QueryLocally | CancelShare | HostSilent | Finish


@dataclass(slots=True)
class _Share:
    """Shards that one host queries."""

    missing: set[str]
    is_remote: bool
    spent: set[str] = field(default_factory=set)
    """Those that no other host may query."""
    has_reported: bool = False
    ended: bool = False
    duplicate: int | None = None
    """The number of the other share with the same shards, if this host queries them in addition to
    a silent host."""


class SplitRun:
    """Decides when a gather over several hosts is good enough, and how to replace a lost host.

    The first host itself queries what a lost host did not return. It also queries what a silent
    host was asked for, and uses only the results of whichever returns parts first. Otherwise
    records of one part could be in the answer twice.

    Args:
        plan: Which host queries which shards.
        min_parts: The minimum number of parts of an answer.
        times: The deadlines of the request.
    """

    def __init__(self, plan: GatherPlan, min_parts: int, times: RunTimes) -> None:
        self.times = times
        self.finished = False
        self.omitted_late_parts = False
        """Whether the answer was sent when due, without parts that might still have arrived."""
        self._plan = plan
        self._min_parts = min_parts
        self._total = len(plan.own) + sum(len(share.shards) for share in plan.others)
        self._shares: list[_Share] = []
        self._bundles: list[PartsBundle] = []
        self._parts_in = 0
        self._reached_min_in_time = False
        self._silent_at: Millis = 0.0
        self._effects: list[Effect] = []

    def start(self, now: Millis) -> list[Effect]:
        """Start the queries for all shards."""
        span = max(MIN_SILENCE_TIMEOUT, SILENCE_TIMEOUT_FRACTION * (self.times.answer_by - now))
        self._silent_at = now + span
        for share in self._plan.others:
            self._effects.append(QueryHost(self._add_share(share.shards, True), share))
        if self._plan.own:
            self._query_locally(self._plan.own, False)
        return self._take_effects()

    def on_parts(self, number: int, bundle: PartsBundle, now: Millis) -> list[Effect]:
        """Handle parts that arrived; a bundle without parts only shows that the host is alive.

        Raises:
            ValueError: If a part was not requested there, or arrived before.
        """
        share = self._shares[number]
        if share.ended or self.finished:
            return []
        if len(set(bundle.shards)) != len(bundle.shards) or not share.missing.issuperset(
            bundle.shards
        ):
            raise ValueError("shards: a part was not requested there, or arrived before")
        share.has_reported = True
        share.spent.update(bundle.spent)
        if bundle.shards:
            self._cancel_duplicate(share)
            share.missing.difference_update(bundle.shards)
            self._bundles.append(bundle)
            self._count_parts(len(bundle.shards), now)
        return self._finish_if_done(now)

    def on_end(self, number: int, now: Millis) -> list[Effect]:
        """Handle a report that no more parts of a share will come."""
        self._shares[number].ended = True
        return self._finish_if_done(now)

    def on_lost(self, number: int, may_have_run: bool, now: Millis) -> list[Effect]:
        """Handle the loss of a host before it returned the rest of its share.

        Args:
            number: The share.
            may_have_run: Whether any server may have received a request of it.
            now: The time.
        """
        self._query_missing(self._shares[number], may_have_run)
        return self._finish_if_done(now)

    def on_timer(self, now: Millis) -> list[Effect]:
        """Handle a timer event."""
        if now >= self.times.deadline:
            self._finish(self._outcome_without_answer(FailureReason.TIMEOUT))
            return self._take_effects()
        if now >= self._silent_at:
            for number, share in enumerate(list(self._shares)):
                if self._is_silent(share):
                    self._effects.append(HostSilent(number))
                    self._query_duplicate(number, share)
        return self._finish_if_done(now)

    def end(self) -> list[Effect]:
        """End with what there is, as the host ends."""
        self._finish(self._outcome_without_answer(FailureReason.STOPPING))
        return self._take_effects()

    @property
    def next_wake(self) -> Millis:
        """When ``on_timer`` is to be called next, at the latest."""
        due = self.times.deadline
        if self._parts_in >= self._min_parts:
            due = min(due, self.times.answer_by)
        if any(self._is_silent(share) for share in self._shares):
            due = min(due, self._silent_at)
        return due

    def _is_silent(self, share: _Share) -> bool:
        not_reported = share.is_remote and not share.has_reported
        return not_reported and not share.ended and share.duplicate is None

    def _add_share(self, shards: tuple[str, ...], is_remote: bool) -> int:
        self._shares.append(_Share(set(shards), is_remote))
        return len(self._shares) - 1

    def _query_locally(self, shards: tuple[str, ...], is_repeat: bool) -> None:
        self._effects.append(QueryLocally(self._add_share(shards, False), shards, is_repeat))

    def _query_duplicate(self, number: int, share: _Share) -> None:
        """Query from this host as well what a silent host was asked for."""
        self._query_locally(tuple(sorted(share.missing)), True)
        share.duplicate = len(self._shares) - 1
        self._shares[share.duplicate].duplicate = number

    def _cancel_duplicate(self, share: _Share) -> None:
        if share.duplicate is None:
            return
        duplicate = self._shares[share.duplicate]
        if not duplicate.ended:
            duplicate.ended = True
            self._effects.append(CancelShare(share.duplicate))

    def _has_active_duplicate(self, share: _Share) -> bool:
        return share.duplicate is not None and not self._shares[share.duplicate].ended

    def _query_missing(self, share: _Share, may_have_run: bool) -> None:
        if share.ended or self.finished:
            return
        share.ended = True
        unanswered = tuple(sorted(share.missing - share.spent))
        if unanswered and share.is_remote and not self._has_active_duplicate(share):
            self._query_locally(unanswered, may_have_run)

    def _count_parts(self, parts: int, now: Millis) -> None:
        before = self._parts_in
        self._parts_in += parts
        if before < self._min_parts <= self._parts_in:
            self._reached_min_in_time = now < self.times.answer_by

    def _finish_if_done(self, now: Millis) -> list[Effect]:
        waiting = len(set().union(*(one.missing for one in self._shares if not one.ended)))
        is_due = now >= self.times.answer_by
        if self._parts_in >= self._min_parts and (not waiting or is_due):
            self.omitted_late_parts = bool(waiting) and self._reached_min_in_time
            self._finish(self._answer())
        elif self._parts_in + waiting < self._min_parts:
            self._finish(self._outcome_without_answer(FailureReason.FAILED))
        return self._take_effects()

    def _answer(self) -> Gathered:
        return Gathered(tuple(self._bundles), self._total - self._parts_in)

    def _outcome_without_answer(self, reason: FailureReason) -> Outcome:
        if self._parts_in >= self._min_parts:
            return self._answer()
        # Other hosts may already have queried servers, so the outcome is never "not run".
        return Failed(reason)

    def _finish(self, outcome: Outcome) -> None:
        if self.finished:
            return
        self.finished = True
        for number, share in enumerate(self._shares):
            if not share.ended:
                self._effects.append(CancelShare(number))
        self._effects.append(Finish(outcome))

    def _take_effects(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        if self.finished:
            return [one for one in effects if not isinstance(one, QueryHost | QueryLocally)]
        return effects
