"""Decides which requests are suspected of crashing servers, and which are proven to do so.

A gather runs on a server of every shard at once, so one that crashes its servers looks like the
loss of a zone: many servers are lost at the same moment, and nothing tells the requests that ran
there apart. What tells them apart is a trial: the request runs on one server alone. A harmless
request is answered, and one that crashes servers is lost again, at a moment at which no others are.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from ...clock import Millis
from ..crash_detector import CONFIRM_WINDOW_MS, MASS_LOSS_WINDOW_MS, MAX_FINGERPRINTS
from ..server_view import NEVER
from .crash_counter import CRASH_RETENTION, LOST_TRIALS, count_moments

SUSPECT_SERVERS = 2
"""A request that was lost on so many servers, and answered by none since, is a suspect. So is one
that was lost on so many servers of one upstream that ended, while other upstreams answer it."""
OTHER_SERVERS_LOST = 2
"""A trial proves nothing if so many servers without the request ended at the same moment."""
CONCLUDE_DELAY: Millis = 150.0
"""How long after a lost trial the other servers that ended are awaited before it is judged."""
MAX_ENDED_SERVERS = 2048


class LossVerdict(StrEnum):
    """What a connection that was lost while a request ran says about the request."""

    ALIVE = "alive"
    """Nothing, as the server still accepts connections."""
    ENDED = "ended"
    """The server ended, as did others that ran the request, or as it did once without a trial."""
    MASS_LOSS = "mass_loss"
    """The server ended in a trial, but at the same moment so did servers that did not run the
    request, or those on which it was lost first."""
    SHARED = "shared"
    """The server ended in a trial, but other requests were lost on the same servers."""
    PROVEN = "proven"
    """The server ended in a trial of the request."""


class Suspicion(NamedTuple):
    """Why a request runs on one server at a time."""

    upstream: str | None = None
    """The only upstream whose servers were lost; None if servers of several were."""
    is_precaution: bool = False
    """Whether nothing is known against it, but this host may not know what others do. A server that
    ends then proves nothing."""


class LostTrial(NamedTuple):
    """A trial that proves nothing by itself, as other servers ended at the same moment."""

    fingerprint: str
    server_id: str


class SharedTrial(NamedTuple):
    """A trial that says nothing about its request, but something about others on its server."""

    fingerprint: str
    server_id: str


class Proof(NamedTuple):
    """A request that is proven to crash servers."""

    fingerprint: str
    trial_server: str
    """The server that ended in the trial."""
    servers: tuple[str, ...]
    """All servers known to have ended while they ran it, with the one of the trial."""


JudgedTrial: TypeAlias = Proof | LostTrial | SharedTrial


@dataclass(slots=True)
class _Loss:
    """A connection that was lost while a request ran on a server."""

    upstream: str
    at: Millis
    in_trial: bool
    has_ended: bool = False
    """Whether the server has refused a connection since."""


@dataclass(slots=True)
class _Request:
    """A request that lost connections."""

    losses: dict[str, _Loss] = field(default_factory=dict)
    """By server ID, oldest first."""
    answered_at: Millis = NEVER
    """When it was last answered since its first loss."""


class CrashEvidence:
    """Compares what ran on each server that ended with what ran on those that did not."""

    def __init__(self) -> None:
        self._requests: OrderedDict[str, _Request] = OrderedDict()
        """Requests with losses, by fingerprint."""
        self._lost_on: dict[str, set[str]] = {}
        """The fingerprints of the requests with a loss on each server."""
        self._ended_at: OrderedDict[str, Millis] = OrderedDict()
        """When each server ended that has refused a connection."""
        self._trials: list[tuple[Millis, str, str]] = []
        """When to judge lost trials, with the request and the server."""
        self.verdicts: Counter[LossVerdict] = Counter()
        """How many losses were judged so."""

    # Observations

    def record_answer(self, fingerprint: str, upstream: str, now: Millis) -> bool:
        """Record that a server ran a request and is still there.

        Returns:
            Whether the request was a suspect until now, and is none any more.
        """
        req = self._requests.get(fingerprint)
        if req is None:
            return False
        was_suspect = self.suspicion(fingerprint, now) is not None
        req.answered_at = now
        for server_id in [name for name, one in req.losses.items() if one.upstream == upstream]:
            self._drop_loss(fingerprint, req, server_id)
        return was_suspect and self.suspicion(fingerprint, now) is None

    def record_loss(
        self, fingerprint: str, upstream: str, server_id: str, in_trial: bool, now: Millis
    ) -> None:
        """Record a connection lost while a request ran.

        Args:
            fingerprint: The request.
            upstream: The upstream of the server.
            server_id: The server.
            in_trial: Whether it was sent to this server alone, as a suspect.
            now: The time.
        """
        req = self._requests.get(fingerprint) or _Request()
        for name in [name for name, one in req.losses.items() if _is_old(one, now)]:
            self._drop_loss(fingerprint, req, name)
        req.losses[server_id] = _Loss(upstream, now, in_trial)
        self._requests[fingerprint] = req
        self._requests.move_to_end(fingerprint)
        self._lost_on.setdefault(server_id, set()).add(fingerprint)
        if len(self._requests) > MAX_FINGERPRINTS:
            self._forget(next(iter(self._requests)))

    def record_accepted(self, server_id: str, asked_at: Millis) -> None:
        """Record that a server has accepted a connection that was opened at a given time."""
        for fingerprint in tuple(self._lost_on.get(server_id, ())):
            req = self._requests[fingerprint]
            loss = req.losses[server_id]
            if not loss.has_ended and loss.at < asked_at:
                self.verdicts[LossVerdict.ALIVE] += 1
                self._drop_loss(fingerprint, req, server_id)

    def record_refused(self, server_id: str, now: Millis) -> list[str]:
        """Record that a server has refused a connection, so that its process has ended.

        Returns:
            The requests that ran there when it ended, but for those in a trial.
        """
        fingerprints = self._lost_on.get(server_id, ())
        losses = {one: self._requests[one].losses[server_id] for one in fingerprints}
        ended_at = min([now, *(loss.at for loss in losses.values())])
        if now - self._ended_at.get(server_id, NEVER) >= CONFIRM_WINDOW_MS:
            self._ended_at.pop(server_id, None)
            self._ended_at[server_id] = ended_at
            if len(self._ended_at) > MAX_ENDED_SERVERS:
                self._ended_at.popitem(last=False)
        ended = []
        for fingerprint, loss in losses.items():
            if loss.has_ended or now - loss.at >= CONFIRM_WINDOW_MS:
                continue
            loss.has_ended = True
            if loss.in_trial:
                self._trials.append((now + CONCLUDE_DELAY, fingerprint, server_id))
            else:
                self.verdicts[LossVerdict.ENDED] += 1
                ended.append(fingerprint)
        return ended

    # Judgements

    def suspicion(self, fingerprint: str, now: Millis) -> Suspicion | None:
        """Return why a request is a suspect, or None if it is none."""
        req = self._requests.get(fingerprint)
        if req is None:
            return None
        recent = [one for one in req.losses.values() if not _is_old(one, now)]
        unanswered = [one.upstream for one in recent if one.at >= req.answered_at]
        if len(unanswered) >= SUSPECT_SERVERS:
            return Suspicion(unanswered[0] if len(set(unanswered)) == 1 else None)
        ended = Counter(one.upstream for one in recent if one.has_ended)
        upstream, count = next(iter(ended.most_common(1)), ("", 0))
        return Suspicion(upstream) if count >= SUSPECT_SERVERS else None

    def suspects(self, now: Millis) -> dict[str, Suspicion]:
        """Return all suspects by fingerprint, with the reason."""
        found = ((one, self.suspicion(one, now)) for one in self._requests)
        return {fingerprint: why for fingerprint, why in found if why is not None}

    def lost_servers(self, fingerprint: str) -> list[str]:
        """Return the servers on which a request was lost."""
        req = self._requests.get(fingerprint)
        return list(req.losses) if req is not None else []

    def upstream_of(self, fingerprint: str, server_id: str) -> str:
        """Return the upstream of a server on which a request was lost."""
        return self._requests[fingerprint].losses[server_id].upstream

    def ended_servers(self, fingerprint: str) -> list[str]:
        """Return the servers that are known to have ended while they ran a request."""
        req = self._requests.get(fingerprint)
        if req is None:
            return []
        return [name for name, one in req.losses.items() if one.has_ended]

    @property
    def has_unjudged_trials(self) -> bool:
        """Whether the server of a trial has ended, and it is not judged yet."""
        return bool(self._trials)

    def take_judged_trials(self, now: Millis) -> list[JudgedTrial]:
        """Return what the trials show that are due since the last call."""
        if not self._trials:
            return []
        due = [one for one in self._trials if one[0] <= now]
        self._trials = [one for one in self._trials if one[0] > now]
        judged = (self._judge(fingerprint, server_id, now) for _, fingerprint, server_id in due)
        return [one for one in judged if one is not None]

    def _judge(self, fingerprint: str, server_id: str, now: Millis) -> JudgedTrial | None:
        """Return what a lost trial shows; None if its server is there after all."""
        req = self._requests.get(fingerprint)
        loss = req.losses.get(server_id) if req is not None else None
        if req is None or loss is None:
            return None
        if self._is_of_first_losses(req, loss):
            self.verdicts[LossVerdict.MASS_LOSS] += 1
            return SharedTrial(fingerprint, server_id)
        is_mass_loss = self._others_ended(req, loss.at) >= OTHER_SERVERS_LOST
        if is_mass_loss and self._moments_of_lost_trials(fingerprint, req, now) < LOST_TRIALS:
            self.verdicts[LossVerdict.MASS_LOSS] += 1
            if self._ran_alone(fingerprint, server_id, now):
                return LostTrial(fingerprint, server_id)
            return SharedTrial(fingerprint, server_id)
        ended = tuple(self.ended_servers(fingerprint))
        if not is_mass_loss and not any(self._ran_alone(fingerprint, one, now) for one in ended):
            self.verdicts[LossVerdict.SHARED] += 1
            return SharedTrial(fingerprint, server_id)
        self.verdicts[LossVerdict.PROVEN] += 1
        return Proof(fingerprint, server_id, ended)

    def _is_of_first_losses(self, req: _Request, trial: _Loss) -> bool:
        """Return whether what ended the servers before the trial may have ended its server, too.

        A request that crashes servers takes one of every shard at about the same time. Others that
        ran on these are tried at once, maybe on a server that it takes a few milliseconds later.
        """
        return any(
            not one.in_trial and trial.at - one.at < MASS_LOSS_WINDOW_MS
            for one in req.losses.values()
        )

    def _moments_of_lost_trials(self, fingerprint: str, req: _Request, now: Millis) -> int:
        """Return at how many moments a request was lost in trials since it was last answered."""
        return count_moments(
            one.at
            for server_id, one in req.losses.items()
            if one.in_trial
            and one.has_ended
            and one.at >= req.answered_at
            and self._ran_alone(fingerprint, server_id, now)
        )

    def _ran_alone(self, fingerprint: str, server_id: str, now: Millis) -> bool:
        """Return whether no other request may have ended a server, as far as this host knows."""
        others = self._lost_on[server_id] - {fingerprint}
        return not any(self._may_have_ended(other, server_id, now) for other in others)

    def _may_have_ended(self, fingerprint: str, server_id: str, now: Millis) -> bool:
        """Return whether a request that was lost on a server may have ended it.

        One that other servers have answered since, and that is no suspect, was there by chance.
        """
        req = self._requests[fingerprint]
        is_answered = req.answered_at > req.losses[server_id].at
        return not is_answered or self.suspicion(fingerprint, now) is not None

    def _others_ended(self, req: _Request, at: Millis) -> int:
        """Return how many servers without a request ended at about the same time."""
        return sum(
            1
            for server_id, ended_at in self._ended_at.items()
            if abs(ended_at - at) < MASS_LOSS_WINDOW_MS
            and server_id not in req.losses
            and not self._was_tried_on(server_id)
        )

    def _was_tried_on(self, server_id: str) -> bool:
        """Return whether a request was lost on a server in its own trial, which explains it."""
        lost_here = self._lost_on.get(server_id, ())
        return any(self._requests[one].losses[server_id].in_trial for one in lost_here)

    def _drop_loss(self, fingerprint: str, req: _Request, server_id: str) -> None:
        del req.losses[server_id]
        lost_here = self._lost_on[server_id]
        lost_here.discard(fingerprint)
        if not lost_here:
            del self._lost_on[server_id]
        if not req.losses:
            del self._requests[fingerprint]

    def _forget(self, fingerprint: str) -> None:
        req = self._requests[fingerprint]
        for server_id in tuple(req.losses):
            self._drop_loss(fingerprint, req, server_id)


def _is_old(loss: _Loss, now: Millis) -> bool:
    return now - loss.at >= CRASH_RETENTION
