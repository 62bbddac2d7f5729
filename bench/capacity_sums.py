"""What the slopes come to at the size to design for, for each role."""

from __future__ import annotations

from typing import NamedTuple

from . import letter_size as size
from .control import HEADER_BYTES, PACKETS_PER_RENEWAL
from .slope import Slope

OWNERS_PER_SERVER = 3
BATCH_WINDOW_S = 0.005
"""How long an owner would gather shard requests for one server."""
RUNS_SHARE = 0.01
"""Assumed share of requests that may run at most once; the plan does not give it."""
RULES = 50
SCRAPE_INTERVAL_S = 15.0
LEDGER_RECORDS = 20_000
LEDGER_HORIZON_S = 3600
CONNECTIONS_PER_SERVER = 30
ZONES_ENTRIES = size.ENTRIES / size.ZONES
RENEWALS_PER_S = 1.0
"""With the default lease of three seconds."""
MICROS = 1e6


class Line(NamedTuple):
    """One figure of a role, with the sum that gives it."""

    role: str
    what: str
    sum: str
    figure: str


class Slopes(NamedTuple):
    """Everything that was measured."""

    http: Slope
    link: Slope
    link_bytes: Slope
    core: Slope
    servers: Slope
    rules: Slope
    running: Slope
    control_cpu: Slope
    control_memory: Slope
    change_ms: Slope
    change_cpu: Slope
    change_bytes: Slope
    entry_cpu: Slope
    entry_bytes: Slope
    claims: Slope
    ledger: Slope
    log: Slope
    whole_view: Slope
    view: Slope
    page: Slope
    page_bytes: Slope


def front_lines(found: Slopes) -> list[Line]:
    """Return the figures of an entry as front."""
    queries = size.QUERIES_PER_ENTRY
    shards = size.SERVERS_PER_QUERY
    core = found.core.at(shards) * queries / MICROS
    caller = found.http.base * queries / MICROS
    per_query = front_wire_us(found)
    wire = per_query * queries / MICROS
    moved = 2 * shards * found.link_bytes.slope * queries
    running = queries * size.QUERY_P99_LIMIT_MS / 1000
    memory = found.servers.at(size.SERVERS) + found.running.slope * running
    role = "entry as front"
    return [
        Line(role, "queries", f"{size.QUERIES_PER_S} / {size.ENTRIES}", f"{queries:.0f}/s"),
        Line(
            role,
            "shard requests",
            f"{queries:.0f} x {shards}",
            f"{size.SHARD_REQUESTS_PER_ENTRY:.0f}/s",
        ),
        Line(
            role,
            "messages to and from owners",
            f"2 x {queries:.0f} x {ZONES_ENTRIES:.0f}",
            f"{2 * queries * ZONES_ENTRIES:.0f}/s",
        ),
        Line(
            role,
            "bytes to and from owners",
            f"2 x {found.link_bytes.slope:.0f} x {size.SHARD_REQUESTS_PER_ENTRY:.0f}",
            f"{moved / 1e6:.1f} MB/s",
        ),
        Line(role, "decisions", f"{found.core.at(shards):.0f} us x {queries:.0f}", _cores(core)),
        Line(role, "callers", f"{found.http.base:.0f} us x {queries:.0f}", _cores(caller)),
        Line(role, "messages with owners", f"{per_query:.0f} us x {queries:.0f}", _cores(wire)),
        Line(role, "processor in all", "sum of these", _cores(core + caller + wire)),
        Line(
            role,
            "memory of maps and running queries",
            f"{found.servers.slope:.0f} x {size.SERVERS} + {found.running.slope:.0f} x "
            f"{running:.0f}",
            _megabytes(memory),
        ),
    ]


def front_wire_us(found: Slopes) -> float:
    """Return the processor time of one query's messages with the owners of its zone."""
    messages = ZONES_ENTRIES * found.link.base
    return messages + size.SERVERS_PER_QUERY * found.link.slope


def front_cores(found: Slopes) -> float:
    """Return the processor time that an entry needs as front, in cores."""
    per_query = found.core.at(size.SERVERS_PER_QUERY) + found.http.base + front_wire_us(found)
    return per_query * size.QUERIES_PER_ENTRY / MICROS


def owner_lines(found: Slopes) -> list[Line]:
    """Return the figures of an entry as owner."""
    owned = size.SERVERS * OWNERS_PER_SERVER / size.ENTRIES
    per_owner = size.SHARD_REQUESTS_PER_SERVER / OWNERS_PER_SERVER
    batch = per_owner * BATCH_WINDOW_S
    exchanges = owned / BATCH_WINDOW_S
    wire = found.http.at(batch) * exchanges / MICROS
    links = front_wire_us(found) * size.QUERIES_PER_ENTRY / MICROS
    role = "entry as owner"
    return [
        Line(
            role,
            "servers owned",
            f"{size.SERVERS} x {OWNERS_PER_SERVER} / {size.ENTRIES}",
            f"{owned:.1f}",
        ),
        Line(
            role,
            "shard requests to one server",
            f"{size.SHARD_REQUESTS_PER_SERVER:.0f} / {OWNERS_PER_SERVER}",
            f"{per_owner:.0f}/s",
        ),
        Line(
            role,
            f"batch of {BATCH_WINDOW_S * 1000:.0f} ms",
            f"{per_owner:.0f} x {BATCH_WINDOW_S}",
            f"{batch:.1f}",
        ),
        Line(role, "exchanges", f"{owned:.1f} / {BATCH_WINDOW_S}", f"{exchanges:.0f}/s"),
        Line(
            role,
            "exchanges with servers",
            f"({found.http.base:.0f} + {batch:.1f} x {found.http.slope:.2f}) us x {exchanges:.0f}",
            _cores(wire),
        ),
        Line(role, "messages with fronts", "as at the front", _cores(links)),
        Line(role, "processor in all", "sum of these", _cores(wire + links)),
        Line(
            role,
            "without owners, as today",
            f"{found.http.base:.0f} us x {size.SHARD_REQUESTS_PER_ENTRY:.0f}",
            _cores(found.http.base * size.SHARD_REQUESTS_PER_ENTRY / MICROS),
        ),
    ]


def control_lines(found: Slopes) -> list[Line]:
    """Return the figures of the control hosts."""
    entries = size.ENTRIES
    changes = size.CHANGES_PER_DAY + 2 * size.RESTARTS_PER_DAY
    per_second = changes / size.SECONDS_PER_DAY
    change_cpu = found.change_cpu.at(entries)
    runs = size.QUERIES_PER_S * RUNS_SHARE
    claims = found.claims.slope * runs / MICROS
    leader, follower = "control leader", "control follower"
    records = runs * LEDGER_HORIZON_S
    return [
        Line(
            leader,
            "leases, all on one host",
            f"{found.control_cpu.base:.4f} + {found.control_cpu.slope:.6f} x {entries}",
            _cores(found.control_cpu.at(entries)),
        ),
        Line(
            leader,
            "lease payload",
            f"{found.entry_bytes.at(entries):.0f} x {entries}",
            f"{found.entry_bytes.at(entries) * entries / 1024:.0f} KB/s",
        ),
        Line(
            leader,
            "changes, starts and ends of entries",
            f"{changes} / day x {change_cpu:.0f} us",
            _cores(change_cpu * per_second / MICROS),
        ),
        Line(
            leader,
            "claims and outcomes",
            f"{runs:.0f}/s x {found.claims.slope:.0f} us",
            _cores(claims),
        ),
        Line(
            leader,
            "memory without the ledger",
            f"{found.control_memory.base / 1e6:.1f} MB + {found.control_memory.slope:.0f} x "
            f"{entries}",
            _megabytes(found.control_memory.at(entries)),
        ),
        Line(
            leader,
            "ledger as bounded today",
            f"{found.ledger.slope:.0f} x {LEDGER_RECORDS}",
            _megabytes(found.ledger.at(LEDGER_RECORDS)),
        ),
        Line(
            leader,
            "ledger that this many runs need",
            f"{found.ledger.slope:.0f} x {runs:.0f}/s x {LEDGER_HORIZON_S} s",
            _megabytes(found.ledger.slope * records),
        ),
        Line(
            follower,
            "log to write and to sync",
            f"{found.log.slope:.0f} x {runs:.0f}/s",
            f"{found.log.slope * runs / 1024:.0f} KB/s",
        ),
        Line(
            follower,
            "log that the leader sends",
            f"{size.CONTROL_HOSTS - 1} x {found.log.slope * runs / 1024:.0f} KB/s",
            f"{(size.CONTROL_HOSTS - 1) * found.log.slope * runs / 1024:.0f} KB/s",
        ),
        Line(
            follower,
            "leases, spread over the hosts",
            f"{found.control_cpu.base:.4f} + {found.control_cpu.slope:.6f} x {entries} / "
            f"{size.CONTROL_HOSTS}",
            _cores(found.control_cpu.at(entries / size.CONTROL_HOSTS)),
        ),
    ]


def entry_control_lines(found: Slopes) -> list[Line]:
    """Return what control costs each entry."""
    role = "any entry, for control"
    return [
        Line(role, "processor", "measured at its client", _cores(entry_cpu(found))),
        Line(
            role,
            "lease",
            f"{found.entry_bytes.base:.0f} + {found.entry_bytes.slope:.3f} x {size.ENTRIES}",
            f"{found.entry_bytes.at(size.ENTRIES):.0f} bytes/s",
        ),
        Line(
            role,
            "headers of its packets",
            f"{HEADER_BYTES} x {PACKETS_PER_RENEWAL} x {RENEWALS_PER_S:g}/s",
            f"{header_rate():.0f} bytes/s",
        ),
        Line(
            role,
            "changes and restarts of others",
            f"{found.change_bytes.base:.0f} x {size.CHANGES_PER_DAY + 2 * size.RESTARTS_PER_DAY} "
            "/ day",
            f"{change_rate(found):.1f} bytes/s",
        ),
        Line(
            role,
            "whole view at a start",
            f"{found.whole_view.base:.0f} + {found.whole_view.slope:.0f} x {size.ENTRIES}",
            f"{found.whole_view.at(size.ENTRIES) / 1024:.0f} KB",
        ),
        Line(
            role,
            "memory of control's state",
            f"{found.view.base:.0f} + {found.view.slope:.0f} x {size.ENTRIES}",
            _megabytes(found.view.at(size.ENTRIES)),
        ),
    ]


def operator_lines(found: Slopes) -> list[Line]:
    """Return what operators and their tools cost."""
    role = "operator side"
    page = found.page.at(RULES)
    return [
        Line(
            role,
            f"metrics page with {RULES} rules",
            f"{found.page.base:.0f} + {found.page.slope:.0f} us x {RULES}, every 15 s",
            _cores(page / SCRAPE_INTERVAL_S / MICROS),
        ),
        Line(
            role,
            "metrics of all hosts",
            f"{found.page_bytes.at(RULES) / 1024:.0f} KB x {size.HOSTS} / 15 s",
            f"{found.page_bytes.at(RULES) * size.HOSTS / SCRAPE_INTERVAL_S / 1024:.0f} KB/s",
        ),
        Line(
            role,
            "changes",
            f"{size.CHANGES_PER_DAY} / day",
            f"one in {size.SECONDS_PER_DAY / size.CHANGES_PER_DAY:.0f} s",
        ),
        Line(
            role,
            "memory of rules",
            f"{found.rules.slope:.0f} x {RULES}",
            f"{found.rules.at(RULES) / 1024:.0f} KB",
        ),
    ]


def entry_cpu(found: Slopes) -> float:
    """Return what control costs an entry, as a fraction of a core, at the most measured."""
    return max(found.entry_cpu.values)


def change_rate(found: Slopes) -> float:
    """Return the bytes a second that changes and restarts cost an entry."""
    changes = size.CHANGES_PER_DAY + 2 * size.RESTARTS_PER_DAY
    return max(found.change_bytes.values) * changes / size.SECONDS_PER_DAY


def header_rate() -> float:
    """Return the bytes a second that the headers of a lease's packets take."""
    return HEADER_BYTES * PACKETS_PER_RENEWAL * RENEWALS_PER_S


def owner_cores(found: Slopes) -> float:
    """Return the processor time that an entry needs as owner, in cores."""
    exchanges = size.SERVERS * OWNERS_PER_SERVER / size.ENTRIES / BATCH_WINDOW_S
    batch = size.SHARD_REQUESTS_PER_SERVER / OWNERS_PER_SERVER * BATCH_WINDOW_S
    links = front_wire_us(found) * size.QUERIES_PER_ENTRY
    return (found.http.at(batch) * exchanges + links) / MICROS


def _cores(value: float) -> str:
    return f"{value:.2f} cores" if value >= 1 else f"{100 * value:.2f} % of a core"


def _megabytes(value: float) -> str:
    return f"{value / 1024 / 1024:.1f} MB"
