"""One gather that several hosts ask for together, as a state machine without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from .gather_plan import GatherPlan, HostShare
from .outcome import Failed, FailureReason, Gathered, Outcome
from .parts_bundle import PartsBundle
from .run_limits import RunTimes

FIRST_REPORT_FRACTION = 0.25
"""After this part of the time until the answer is due a host tells what it has, if only nothing."""
PATIENCE = 0.5
"""After this part the parts of a host that has said nothing are asked for here as well."""
MIN_PATIENCE: Millis = 60.0
"""A host that works on two other large gathers says its first word some 30 ms late. Asked beside it
sooner, servers get each part twice just when hosts are busy."""
HOP_LATENCY: Millis = 3.0
"""From one host's last word to the other's merge of it."""


class QueryHost(NamedTuple):
    """Have another host ask for its share."""

    number: int
    share: HostShare


class QueryLocally(NamedTuple):
    """Ask for shards at this host."""

    number: int
    shards: tuple[str, ...]
    is_repeat: bool
    """Whether another host may have asked for them before."""


class CancelShare(NamedTuple):
    """Nothing of a share is wanted any more."""

    number: int


class HostSilent(NamedTuple):
    """A host has said nothing for so long that it should be passed over for a while."""

    number: int


class Finish(NamedTuple):
    """The gather is over."""

    outcome: Outcome


Effect: TypeAlias = QueryHost | QueryLocally | CancelShare | HostSilent | Finish


@dataclass(slots=True)
class _Share:
    """Shards that one host asks for."""

    missing: set[str]
    is_remote: bool
    spent: set[str] = field(default_factory=set)
    """Those that no other host may ask for."""
    heard: bool = False
    ended: bool = False
    rival: int | None = None
    """The other share with the same shards, if this host and a silent one both ask for them."""


class SplitRun:
    """Decides when a gather over several hosts is good enough, and what a lost host means.

    What a lost host did not bring is asked for by the first host itself; of a host that is silent,
    the first host asks as well, and whoever brings parts first is taken alone. Taken from both,
    records of one part would be in the answer twice.

    Args:
        plan: Who asks for which shards.
        least: The least number of parts of an answer.
        times: What the request is bound by.
    """

    def __init__(self, plan: GatherPlan, least: int, times: RunTimes) -> None:
        self.times = times
        self.finished = False
        self.omitted_late_parts = False
        """Whether the answer left without parts that might still have come, as it was due."""
        self._plan = plan
        self._least = least
        self._total = len(plan.own) + sum(len(share.shards) for share in plan.others)
        self._shares: list[_Share] = []
        self._bundles: list[PartsBundle] = []
        self._parts_in = 0
        self._was_due_in_time = False
        self._patient_until: Millis = 0.0
        self._effects: list[Effect] = []

    def start(self, now: Millis) -> list[Effect]:
        """Have all shards asked for."""
        span = max(MIN_PATIENCE, PATIENCE * (self.times.answer_by - now))
        self._patient_until = now + span
        for share in self._plan.others:
            self._effects.append(QueryHost(self._add(share.shards, True), share))
        if self._plan.own:
            self._ask_here(self._plan.own, False)
        return self._flush()

    def on_parts(self, number: int, bundle: PartsBundle, now: Millis) -> list[Effect]:
        """Take parts that came in; none for a sign of life.

        Raises:
            ValueError: If a part was not asked for there, or came before.
        """
        share = self._shares[number]
        if share.ended or self.finished:
            return []
        if len(set(bundle.shards)) != len(bundle.shards) or not share.missing.issuperset(
            bundle.shards
        ):
            raise ValueError("a part that was not asked for, or came before")
        share.heard = True
        share.spent.update(bundle.spent)
        if bundle.shards:
            self._drop_rival(share)
            share.missing.difference_update(bundle.shards)
            self._bundles.append(bundle)
            self._count(len(bundle.shards), now)
        return self._settle(now)

    def on_end(self, number: int, now: Millis) -> list[Effect]:
        """Take the word that no more parts of a share will come."""
        self._shares[number].ended = True
        return self._settle(now)

    def on_lost(self, number: int, may_have_run: bool, now: Millis) -> list[Effect]:
        """Take note that a host won't bring the rest of its share.

        Args:
            number: The share.
            may_have_run: Whether any server may have got a request of it.
            now: The time.
        """
        self._replace(self._shares[number], may_have_run)
        return self._settle(now)

    def on_timer(self, now: Millis) -> list[Effect]:
        """Do what is due by now."""
        if now >= self.times.deadline:
            self._finish(self._outcome_without_answer(FailureReason.TIMEOUT))
            return self._flush()
        if now >= self._patient_until:
            for number, share in enumerate(list(self._shares)):
                if self._is_awaited(share):
                    self._effects.append(HostSilent(number))
                    self._challenge(number, share)
        return self._settle(now)

    @property
    def next_wake(self) -> Millis:
        """When ``on_timer`` is to be called next, at the latest."""
        due = self.times.deadline
        if self._parts_in >= self._least:
            due = min(due, self.times.answer_by)
        if any(self._is_awaited(share) for share in self._shares):
            due = min(due, self._patient_until)
        return due

    def _is_awaited(self, share: _Share) -> bool:
        is_silent = share.is_remote and not share.heard
        return is_silent and not share.ended and share.rival is None

    def _add(self, shards: tuple[str, ...], is_remote: bool) -> int:
        self._shares.append(_Share(set(shards), is_remote))
        return len(self._shares) - 1

    def _ask_here(self, shards: tuple[str, ...], is_repeat: bool) -> None:
        self._effects.append(QueryLocally(self._add(shards, False), shards, is_repeat))

    def _challenge(self, number: int, share: _Share) -> None:
        """Ask here as well for what a silent host was asked for."""
        self._ask_here(tuple(sorted(share.missing)), True)
        share.rival = len(self._shares) - 1
        self._shares[share.rival].rival = number

    def _drop_rival(self, share: _Share) -> None:
        if share.rival is None:
            return
        rival = self._shares[share.rival]
        if not rival.ended:
            rival.ended = True
            self._effects.append(CancelShare(share.rival))

    def _has_rival(self, share: _Share) -> bool:
        return share.rival is not None and not self._shares[share.rival].ended

    def _replace(self, share: _Share, may_have_run: bool) -> None:
        if share.ended or self.finished:
            return
        share.ended = True
        left = tuple(sorted(share.missing - share.spent))
        if left and share.is_remote and not self._has_rival(share):
            self._ask_here(left, may_have_run)

    def _count(self, parts: int, now: Millis) -> None:
        before = self._parts_in
        self._parts_in += parts
        if before < self._least <= self._parts_in:
            self._was_due_in_time = now < self.times.answer_by

    def _settle(self, now: Millis) -> list[Effect]:
        waiting = len(set().union(*(one.missing for one in self._shares if not one.ended)))
        late = now >= self.times.answer_by
        if self._parts_in >= self._least and (not waiting or late):
            self.omitted_late_parts = bool(waiting) and self._was_due_in_time
            self._finish(self._answer())
        elif self._parts_in + waiting < self._least:
            self._finish(self._outcome_without_answer(FailureReason.FAILED))
        return self._flush()

    def _answer(self) -> Gathered:
        return Gathered(tuple(self._bundles), self._total - self._parts_in)

    def _outcome_without_answer(self, reason: FailureReason) -> Outcome:
        if self._parts_in >= self._least:
            return self._answer()
        # Other hosts may have asked servers already, so this never says that nothing ran.
        return Failed(reason)

    def _finish(self, outcome: Outcome) -> None:
        if self.finished:
            return
        self.finished = True
        for number, share in enumerate(self._shares):
            if not share.ended:
                self._effects.append(CancelShare(number))
        self._effects.append(Finish(outcome))

    def _flush(self) -> list[Effect]:
        effects = self._effects
        self._effects = []
        if self.finished:
            return [one for one in effects if not isinstance(one, QueryHost | QueryLocally)]
        return effects
