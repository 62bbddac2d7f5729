"""Prometheus metrics of a control host."""

from __future__ import annotations

from ..core.control.operations import Answer, ChangeAccepted, ChangeRefused
from ..metric_catalogue import Metric
from ..metrics import Metrics, MetricsPage
from .control_host import ControlHost

ACCEPTED = "accepted"


class ControlMetrics:
    """Counts changes; the other metrics are read from the host when the page is rendered.

    Args:
        host: The control host.
        name: Its name.
    """

    def __init__(self, host: ControlHost, name: str) -> None:
        self._host = host
        self._metrics = Metrics(name)
        self._metrics.add_source(self._copy_log)
        self._metrics.add_source(self._copy_state)

    def record_change(self, answer: Answer) -> None:
        """Count the answer to an operator's change; a repeated answer counts again."""
        match answer:
            case ChangeAccepted():
                self._metrics.inc(Metric.CONTROL_CHANGES, ACCEPTED)
            case ChangeRefused(kind=kind):
                self._metrics.inc(Metric.CONTROL_CHANGES, kind)

    def render_page(self) -> MetricsPage:
        """Return the metrics in the text format of Prometheus."""
        return self._metrics.render()

    def _copy_log(self) -> None:
        status = self._host.log.status()
        copied = {
            Metric.CONTROL_TERM: status.term,
            Metric.CONTROL_LAST_INDEX: status.last_index,
            Metric.CONTROL_COMMIT_INDEX: status.commit_index,
            Metric.CONTROL_APPLIED_INDEX: status.applied_index,
            Metric.CONTROL_VOTERS: len(status.voters),
            Metric.CONTROL_STORAGE_FAILED: int(status.storage_failure is not None),
        }
        for metric, value in copied.items():
            self._metrics.set(metric, value)

    def _copy_state(self) -> None:
        state = self._host.state
        ledger = state.ledger.counts()
        leadership = self._host.leadership
        copied = {
            Metric.CONTROL_REVISION: state.revision,
            Metric.CONTROL_LEADS: int(leadership is not None),
            Metric.CONTROL_ENTRIES: len(state.hosts.entries),
            Metric.CONTROL_QUARANTINES: len(state.crashes.quarantines),
            Metric.CONTROL_LEDGER_RECORDS: ledger.records,
            Metric.CONTROL_LEDGER_RUNNING: ledger.in_progress,
            Metric.CONTROL_LEDGER_BYTES: ledger.outcome_bytes,
        }
        for metric, value in copied.items():
            self._metrics.set(metric, value)
        # Without this a former leader would still show its last count, as if the entries were live.
        self._metrics.clear(Metric.CONTROL_ENTRIES_LIVE)
        if leadership is not None:
            self._metrics.set(Metric.CONTROL_ENTRIES_LIVE, leadership.live_entry_count())
