"""The catalogue of metrics.

A test compares docs/METRICS.md with this list. Another test checks that the code updates each
metric.
"""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NamedTuple


class MetricKind(StrEnum):
    """Type of a metric."""

    COUNTER = "counter"
    """Never decreases while the process runs."""
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Unit(StrEnum):
    """Unit of a metric."""

    ONE = "1"
    SECONDS = "seconds"
    BYTES = "bytes"
    FRACTION = "fraction"


class MetricRow(NamedTuple):
    """Catalogue row of a metric."""

    name: str
    kind: MetricKind
    unit: Unit
    meaning: str
    labels: tuple[str, ...] = ()


class Metric(Enum):
    """All metrics that alderhatch processes export."""

    PROCESS_CPU = MetricRow(
        "alderhatch_process_cpu_seconds_total",
        MetricKind.COUNTER,
        Unit.SECONDS,
        "User and system CPU time used by the process.",
    )
    PROCESS_MEMORY = MetricRow(
        "alderhatch_process_max_resident_bytes",
        MetricKind.GAUGE,
        Unit.BYTES,
        "Maximum resident memory of the process.",
    )
    PROCESS_BUILD = MetricRow(
        "alderhatch_build_info",
        MetricKind.GAUGE,
        Unit.ONE,
        "Always 1; the labels are the checksum of the sources that the process runs, and their "
        "commit.",
        ("sources", "commit"),
    )
    PROCESS_UPTIME = MetricRow(
        "alderhatch_process_uptime_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Time since the process started.",
    )
    PROCESS_TASK_FAULTS = MetricRow(
        "alderhatch_process_task_faults_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Connections, attempts and entries that an internal error ended; the process went on.",
        ("task",),
    )
    NODE_REQUESTS = MetricRow(
        "alderhatch_node_requests_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests of callers; outcome is complete, partial or the reason of a refusal or failure.",
        ("route", "outcome"),
    )
    NODE_ORGANISATION_REQUESTS = MetricRow(
        "alderhatch_node_organisation_requests_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests by organisation, at the host that ran or refused them; outcome is complete, "
        "partial or the reason. The sum over outcomes is what was asked for. Organisations that "
        "send little are counted together as other.",
        ("organisation", "outcome"),
    )
    NODE_HANDED_OVER = MetricRow(
        "alderhatch_node_handed_over_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests that this node handed over to another node, on standby or as it would be late;"
        " outcome is answered or the reason of a failure.",
        ("outcome",),
    )
    NODE_DURATION = MetricRow(
        "alderhatch_node_request_duration_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "Time from the last byte of a request until its answer is ready, for answered requests.",
        ("route",),
    )
    NODE_OVERDUE = MetricRow(
        "alderhatch_node_overdue_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Answers that left too late for the target latency of their route.",
        ("route",),
    )
    NODE_PARTS_WAITING = MetricRow(
        "alderhatch_node_parts_waiting",
        MetricKind.GAUGE,
        Unit.ONE,
        "Parts of gathers that wait for their turn at the node's processor.",
    )
    NODE_PART_WAIT = MetricRow(
        "alderhatch_node_part_wait_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "How long parts of gathers waited for their turn, by the priority of their request; parts "
        "that did not have to wait are left out.",
        ("rank",),
    )
    NODE_PART_COST = MetricRow(
        "alderhatch_node_part_turn_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Mean time that the node takes for one turn of a part, as measured while parts wait.",
    )
    NODE_UNREAD_TIME = MetricRow(
        "alderhatch_node_unread_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "Longest time that a request may have waited before the busy node read it.",
    )
    NODE_COVERAGE = MetricRow(
        "alderhatch_node_coverage",
        MetricKind.HISTOGRAM,
        Unit.FRACTION,
        "Coverage of answers: fraction of the shards, for routes that query all shards.",
        ("route",),
    )
    NODE_SENDS = MetricRow(
        "alderhatch_node_sends_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests sent to servers; reason is send, hedge or retry.",
        ("reason",),
    )
    NODE_CRASH_EVIDENCE = MetricRow(
        "alderhatch_node_crash_evidence_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Connections lost while a request ran, by what they say about it: the server was alive, it"
        " ended, it ended in a trial with others or with other requests, or it ended in a trial"
        " alone.",
        ("verdict",),
    )
    NODE_QUARANTINES = MetricRow(
        "alderhatch_node_quarantines",
        MetricKind.GAUGE,
        Unit.ONE,
        "Requests that this host refuses because they crash servers.",
    )
    NODE_FAULTS = MetricRow(
        "alderhatch_node_faults_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Failed requests to servers, by kind of fault.",
        ("fault",),
    )
    NODE_BUDGET_REFUSED = MetricRow(
        "alderhatch_node_budget_refused_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Hedges and retries that were not sent because the budget was exhausted.",
    )
    NODE_SERVERS = MetricRow(
        "alderhatch_node_servers",
        MetricKind.GAUGE,
        Unit.ONE,
        "Listed servers; state is usable, doubtful or barred.",
        ("state",),
    )
    NODE_RUNNING = MetricRow(
        "alderhatch_node_requests_running",
        MetricKind.GAUGE,
        Unit.ONE,
        "Requests in progress.",
    )
    NODE_ANSWER_BYTES = MetricRow(
        "alderhatch_node_answer_bytes",
        MetricKind.GAUGE,
        Unit.BYTES,
        "Answers that wait in memory for callers to read them.",
    )
    NODE_ANSWERS_CUT = MetricRow(
        "alderhatch_node_answers_cut_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests that were begun and whose caller, still connected, got no whole answer.",
    )
    NODE_HOSTS = MetricRow(
        "alderhatch_node_hosts",
        MetricKind.GAUGE,
        Unit.ONE,
        "Live hosts of the tier according to the last update from the leader.",
    )
    NODE_ACTIVE_HOSTS = MetricRow(
        "alderhatch_node_active_hosts",
        MetricKind.GAUGE,
        Unit.ONE,
        "Hosts that callers are sent to, as this node knows them.",
    )
    NODE_ACTIVE_HOST_CHANGES = MetricRow(
        "alderhatch_node_active_host_changes",
        MetricKind.GAUGE,
        Unit.ONE,
        "Changes of the hosts that callers are sent to since the start, by cause.",
        ("cause",),
    )
    NODE_CONFIGURATION = MetricRow(
        "alderhatch_node_configuration",
        MetricKind.GAUGE,
        Unit.ONE,
        "Number of the configuration that the node uses.",
    )
    NODE_LIST_AGE = MetricRow(
        "alderhatch_node_list_age_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Time since the server list was last known to be current.",
    )
    NODE_LEASE_AGE = MetricRow(
        "alderhatch_node_configuration_lease_age_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Time since the node asked for the last confirmation of its configuration that counts.",
    )
    NODE_QUOTA_TOKENS = MetricRow(
        "alderhatch_node_quota_tokens_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests admitted within a quota; source is own (this node is the owner), ahead (before"
        " the owner confirmed it), asked, or reserve (without the owner).",
        ("source",),
    )
    NODE_QUOTA_REFUSED = MetricRow(
        "alderhatch_node_quota_refused_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests refused by a quota; reason is exhausted or no_owner.",
        ("reason",),
    )
    NODE_QUOTA_WAIT = MetricRow(
        "alderhatch_node_quota_wait_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "Time until a request of an organisation with a quota got its token.",
        ("source",),
    )
    NODE_QUOTA_RESERVE = MetricRow(
        "alderhatch_node_quota_reserve_tokens",
        MetricKind.GAUGE,
        Unit.ONE,
        "Tokens that the node may use without the owners, of the organisations in memory.",
    )
    NODE_QUOTA_OWNED = MetricRow(
        "alderhatch_node_quota_owned",
        MetricKind.GAUGE,
        Unit.ONE,
        "Organisations whose balance this node holds as the owner of their quota.",
    )
    NODE_LEADER_SILENCE = MetricRow(
        "alderhatch_node_leader_silence_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Time since the node last received a message from the leader.",
    )
    NODE_LOG_INDEX = MetricRow(
        "alderhatch_node_log_commit_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "Highest committed index of the replicated log, on hosts with a disk.",
    )
    NODE_LOG_TERM = MetricRow(
        "alderhatch_node_log_term",
        MetricKind.GAUGE,
        Unit.ONE,
        "Term of the replicated log, on hosts with a disk.",
    )
    NODE_LOG_SYNCS = MetricRow(
        "alderhatch_node_log_syncs_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Syncs of the replicated log's journal, on hosts with a disk.",
    )
    NODE_LOG_SYNC_TIME = MetricRow(
        "alderhatch_node_log_sync_seconds_total",
        MetricKind.COUNTER,
        Unit.SECONDS,
        "Total time of these syncs; divide by their count for the mean.",
    )
    NODE_LOG_LEADERLESS = MetricRow(
        "alderhatch_node_log_leaderless_seconds_total",
        MetricKind.COUNTER,
        Unit.SECONDS,
        "Total time without a known leader, on hosts with a disk: elections, loss of the majority.",
    )
    NODE_CHANGE_DURATION = MetricRow(
        "alderhatch_node_change_duration_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "Time from an operator's change until it is stored on enough disks, at the leader.",
    )
    NODE_LOG_LINES_DROPPED = MetricRow(
        "alderhatch_node_log_lines_dropped_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Log lines that were dropped because they were not read in time.",
    )
    NODE_LOG_BYTES = MetricRow(
        "alderhatch_node_log_bytes_total",
        MetricKind.COUNTER,
        Unit.BYTES,
        "Bytes written to the log.",
    )
    ENTRY_REQUESTS = MetricRow(
        "alderhatch_entry_requests_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Requests that got a response; outcome is answered or the kind of error.",
        ("rule", "outcome"),
    )
    ENTRY_DURATION = MetricRow(
        "alderhatch_entry_request_duration_seconds",
        MetricKind.HISTOGRAM,
        Unit.SECONDS,
        "Time from the last byte of a request until its answer is ready, for answered requests.",
        ("rule",),
    )
    ENTRY_COVERAGE = MetricRow(
        "alderhatch_entry_coverage",
        MetricKind.HISTOGRAM,
        Unit.FRACTION,
        "Coverage of answers. The bucket le=0.99 counts answers with a coverage of 0.99 or less.",
        ("rule",),
    )
    ENTRY_SHARD_REQUESTS = MetricRow(
        "alderhatch_entry_shard_requests_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Shard requests sent, including hedges and retries.",
    )
    ENTRY_SHARD_REQUESTS_NEEDED = MetricRow(
        "alderhatch_entry_shard_requests_needed_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Shard requests that queries needed; sent / needed - 1 is the additional load.",
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
        "Connections to servers that were closed because they made no progress.",
    )
    ENTRY_CONNECTIONS = MetricRow(
        "alderhatch_entry_connections",
        MetricKind.GAUGE,
        Unit.ONE,
        "Open connections to servers of upstreams.",
    )
    ENTRY_CALLERS = MetricRow(
        "alderhatch_entry_caller_connections",
        MetricKind.GAUGE,
        Unit.ONE,
        "Open connections of callers.",
    )
    ENTRY_RUNNING = MetricRow(
        "alderhatch_entry_requests_running",
        MetricKind.GAUGE,
        Unit.ONE,
        "Requests in progress.",
    )
    ENTRY_SHARD_REQUESTS_WASTED = MetricRow(
        "alderhatch_entry_shard_requests_wasted_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Shard requests whose result was not used, such as the loser of a hedge.",
    )
    ENTRY_REVISION = MetricRow(
        "alderhatch_entry_revision",
        MetricKind.GAUGE,
        Unit.ONE,
        "Revision of the rules in force at this entry.",
    )
    ENTRY_LEASE_LEFT = MetricRow(
        "alderhatch_entry_lease_left_seconds",
        MetricKind.GAUGE,
        Unit.SECONDS,
        "Time until the lease expires; at 0 all new requests are refused.",
    )
    CONTROL_REVISION = MetricRow(
        "alderhatch_control_revision",
        MetricKind.GAUGE,
        Unit.ONE,
        "Revision of the configuration that this control host has applied.",
    )
    CONTROL_LEADS = MetricRow(
        "alderhatch_control_leads",
        MetricKind.GAUGE,
        Unit.ONE,
        "1 while this control host is the leader and grants leases, else 0.",
    )
    CONTROL_TERM = MetricRow(
        "alderhatch_control_term",
        MetricKind.GAUGE,
        Unit.ONE,
        "Term of the replicated log; each election increases it.",
    )
    CONTROL_LAST_INDEX = MetricRow(
        "alderhatch_control_last_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "Highest index in the log of this host.",
    )
    CONTROL_COMMIT_INDEX = MetricRow(
        "alderhatch_control_commit_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "Highest index that a majority is known to have stored.",
    )
    CONTROL_APPLIED_INDEX = MetricRow(
        "alderhatch_control_applied_index",
        MetricKind.GAUGE,
        Unit.ONE,
        "Highest index that is applied to the state of this host.",
    )
    CONTROL_VOTERS = MetricRow(
        "alderhatch_control_voters",
        MetricKind.GAUGE,
        Unit.ONE,
        "Control hosts that are voters.",
    )
    CONTROL_STORAGE_FAILED = MetricRow(
        "alderhatch_control_storage_failed",
        MetricKind.GAUGE,
        Unit.ONE,
        "1 after the disk of this host failed or was full, else 0.",
    )
    CONTROL_ENTRIES = MetricRow(
        "alderhatch_control_entries",
        MetricKind.GAUGE,
        Unit.ONE,
        "Registered entries.",
    )
    CONTROL_ENTRIES_LIVE = MetricRow(
        "alderhatch_control_entries_live",
        MetricKind.GAUGE,
        Unit.ONE,
        "Entries with a valid lease; exported by the leader only.",
    )
    CONTROL_QUARANTINES = MetricRow(
        "alderhatch_control_quarantines",
        MetricKind.GAUGE,
        Unit.ONE,
        "Request bodies that are quarantined because they crashed servers.",
    )
    CONTROL_LEDGER_RECORDS = MetricRow(
        "alderhatch_control_ledger_records",
        MetricKind.GAUGE,
        Unit.ONE,
        "Complete records of requests in the run ledger.",
    )
    CONTROL_LEDGER_RUNNING = MetricRow(
        "alderhatch_control_ledger_running",
        MetricKind.GAUGE,
        Unit.ONE,
        "Claims without a recorded outcome.",
    )
    CONTROL_LEDGER_BYTES = MetricRow(
        "alderhatch_control_ledger_outcome_bytes",
        MetricKind.GAUGE,
        Unit.BYTES,
        "Bytes of stored outcomes.",
    )
    CONTROL_CHANGES = MetricRow(
        "alderhatch_control_changes_total",
        MetricKind.COUNTER,
        Unit.ONE,
        "Changes by operators that this host answered; outcome is accepted or the kind of error.",
        ("outcome",),
    )
