"""The closed catalogue of metrics.

docs/METRICS.md shows the same list and a test compares the two. Another test makes sure that each
metric is set somewhere in the code.
"""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NamedTuple


class MetricKind(StrEnum):
    """How a metric moves."""

    COUNTER = "counter"
    """Only goes up while the process runs."""
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Unit(StrEnum):
    """What a metric counts in."""

    ONE = "1"
    SECONDS = "seconds"
    BYTES = "bytes"
    FRACTION = "fraction"


class MetricRow(NamedTuple):
    """What the catalogue says about one metric."""

    name: str
    kind: MetricKind
    unit: Unit
    meaning: str
    labels: tuple[str, ...] = ()


class Metric(Enum):
    """Every metric that a process of alderhatch may show."""

    PROCESS_CPU = MetricRow(
        "alderhatch_process_cpu_seconds_total",
        MetricKind.COUNTER,
        Unit.SECONDS,
        "Processor time that the process has used, of user and system together.",
    )
    PROCESS_MEMORY = MetricRow(
        "alderhatch_process_max_resident_bytes",
        MetricKind.GAUGE,
        Unit.BYTES,
        "The most memory that the process has held so far.",
    )
    PROCESS_UPTIME = MetricRow(
        "alderhatch_process_uptime_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Time since the process started.",
    )
    ENTRY_REQUESTS = MetricRow(
        "alderhatch_entry_requests_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests that were given an answer; outcome is answered or the kind of error.",
        ("rule", "outcome"),
    )
    ENTRY_DURATION = MetricRow(
        "alderhatch_entry_request_duration_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "From a request's last byte until its answer is ready, for requests that were answered.",
        ("rule",),
    )
    ENTRY_COVERAGE = MetricRow(
        "alderhatch_entry_coverage",
        MetricKind.HISTOGRAM,
        Unit.FRACTION,
        "The coverage of answers. The bucket le=0.99 counts those that cover 0.99 or less.",
        ("rule",),
    )
    ENTRY_SHARD_REQUESTS = MetricRow(
        "alderhatch_entry_shard_requests_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Shard requests sent, hedges and retries included.",
    )
    ENTRY_SHARD_REQUESTS_NEEDED = MetricRow(
        "alderhatch_entry_shard_requests_needed_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Shard requests that the queries needed; sent / needed - 1 is the extra load.",
    )
    ENTRY_CONNECTIONS_OPENED = MetricRow(
        "alderhatch_entry_connections_opened_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Connections opened to servers of upstreams.",
    )
    ENTRY_CONNECTIONS_SILENT = MetricRow(
        "alderhatch_entry_connections_silent_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Connections to servers that were dropped because nothing moved on them.",
    )
    ENTRY_CONNECTIONS = MetricRow(
        "alderhatch_entry_connections",
        MetricKind.GAUGE,
        Unit.ONE,
        "Connections to servers of upstreams that are open.",
    )
    ENTRY_CALLERS = MetricRow(
        "alderhatch_entry_caller_connections",
        MetricKind.GAUGE,
        Unit.ONE,
        "Connections of callers that are open.",
    )
    ENTRY_RUNNING = MetricRow(
        "alderhatch_entry_requests_running",
        MetricKind.GAUGE,
        Unit.ONE,
        "Requests under way.",
    )
    ENTRY_SHARD_REQUESTS_WASTED = MetricRow(
        "alderhatch_entry_shard_requests_wasted_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Shard requests whose work was of no use, such as the loser of a hedge.",
    )
    ENTRY_REVISION = MetricRow(
        "alderhatch_entry_revision",
        MetricKind.GAUGE,
        Unit.ONE,
        "The revision of the rules that are in force at this entry.",
    )
    ENTRY_LEASE_LEFT = MetricRow(
        "alderhatch_entry_lease_left_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "How long the lease still holds; at 0 every new request is refused.",
    )
    CONTROL_REVISION = MetricRow(
        "alderhatch_control_revision",
        MetricKind.GAUGE,
        Unit.ONE,
        "The configuration's revision as this control host has applied it.",
    )
    CONTROL_LEADS = MetricRow(
        "alderhatch_control_leads",
        MetricKind.GAUGE,
        Unit.ONE,
        "1 while this control host leads and grants leases, else 0.",
    )
    CONTROL_TERM = MetricRow(
        "alderhatch_control_term",
        MetricKind.GAUGE,
        Unit.ONE,
        "The term of the replicated log; it goes up with each election.",
    )
    CONTROL_LAST_INDEX = MetricRow(
        "alderhatch_control_last_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "The last place in this host's log.",
    )
    CONTROL_COMMIT_INDEX = MetricRow(
        "alderhatch_control_commit_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "The last place that a majority is known to have.",
    )
    CONTROL_APPLIED_INDEX = MetricRow(
        "alderhatch_control_applied_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "The last place that this host's state reflects.",
    )
    CONTROL_VOTERS = MetricRow(
        "alderhatch_control_voters",
        MetricKind.GAUGE,
        Unit.ONE,
        "Control hosts that vote.",
    )
    CONTROL_STORAGE_FAILED = MetricRow(
        "alderhatch_control_storage_failed",
        MetricKind.GAUGE,
        Unit.ONE,
        "1 after this host's disk failed or was full, else 0.",
    )
    CONTROL_ENTRIES = MetricRow(
        "alderhatch_control_entries",
        MetricKind.GAUGE,
        Unit.ONE,
        "Entries that take part.",
    )
    CONTROL_ENTRIES_LIVE = MetricRow(
        "alderhatch_control_entries_live",
        MetricKind.GAUGE,
        Unit.ONE,
        "Entries with a live lease; only the leader shows it.",
    )
    CONTROL_QUARANTINES = MetricRow(
        "alderhatch_control_quarantines",
        MetricKind.GAUGE,
        Unit.ONE,
        "Bodies that are kept from upstreams because they crashed servers.",
    )
    CONTROL_LEDGER_RECORDS = MetricRow(
        "alderhatch_control_ledger_records",
        MetricKind.GAUGE,
        Unit.ONE,
        "Requests that the run ledger remembers whole.",
    )
    CONTROL_LEDGER_RUNNING = MetricRow(
        "alderhatch_control_ledger_running",
        MetricKind.GAUGE,
        Unit.ONE,
        "Claims whose outcome is not recorded yet.",
    )
    CONTROL_LEDGER_BYTES = MetricRow(
        "alderhatch_control_ledger_outcome_bytes",
        MetricKind.GAUGE,
        Unit.BYTES,
        "Stored outcomes.",
    )
    CONTROL_CHANGES = MetricRow(
        "alderhatch_control_changes_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Operators' changes that this host answered; outcome is accepted or the kind of error.",
        ("outcome",),
    )
