"""Logs and counts the decisions about quotas."""

from __future__ import annotations

from typing import NamedTuple

from ..clock import Millis
from ..core.forwarding.organisation import Organisation
from ..core.forwarding.quota_allowance import TokenSource
from ..core.forwarding.quota_host import QuotaRefusal
from ..log import log_event
from ..log_events import LogEvent
from .node_metrics import NodeMetrics

MAX_LINES = 20
"""Most refused organisations that are logged by name in one flush; the others are only counted."""


class _Refusals(NamedTuple):
    requests: int
    organisation: Organisation
    last: QuotaRefusal


class QuotaLog:
    """Counts decisions, and logs refusals in one line for each organisation and reason.

    Args:
        metrics: The node's metrics.
    """

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._refusals: dict[tuple[str, str], _Refusals] = {}

    def record_admitted(self, source: TokenSource, waited: Millis) -> None:
        """Count a request that got a token, and record how long it waited."""
        self._metrics.count_quota_token(source, waited)

    def record_refused(self, organisation: Organisation, refusal: QuotaRefusal) -> None:
        """Count a request that got no token."""
        self._metrics.count_quota_refused(refusal.reason)
        key = (organisation.name, refusal.reason)
        before = self._refusals.get(key)
        count = before.requests if before is not None else 0
        self._refusals[key] = _Refusals(count + 1, organisation, refusal)

    def flush(self, leader_silence: Millis) -> None:
        """Log the refusals since the last flush.

        Args:
            leader_silence: How long ago the leader last confirmed this host.
        """
        refusals, self._refusals = self._refusals, {}
        by_count = sorted(refusals.values(), key=lambda one: -one.requests)
        for count, organisation, last in by_count[:MAX_LINES]:
            log_event(
                LogEvent.QUOTA_REFUSED,
                organisation=organisation.name,
                count=count,
                reason=last.reason,
                tokens=round(last.balance, 1) if last.balance is not None else None,
                rate=organisation.rate,
                burst=organisation.burst,
                owner=last.owner,
                retry_after_ms=round(last.retry_after),
                leader_silence_ms=round(leader_silence) if leader_silence < 1e9 else None,
            )
        if len(by_count) > MAX_LINES:
            rest = by_count[MAX_LINES:]
            log_event(
                LogEvent.QUOTA_REFUSED, more=len(rest), count=sum(one.requests for one in rest)
            )
