"""The limits of the plan, and what a run of the capacity bench says of each."""

from __future__ import annotations

from typing import NamedTuple

from . import letter_size as size
from .capacity_sums import (
    CONNECTIONS_PER_SERVER,
    LEDGER_HORIZON_S,
    LEDGER_RECORDS,
    MICROS,
    RUNS_SHARE,
    Slopes,
    change_rate,
    entry_cpu,
    front_cores,
    header_rate,
    owner_cores,
)


class Goal(NamedTuple):
    """A limit and what this run says of it."""

    name: str
    value: float
    limit: float

    def __str__(self) -> str:
        verdict = "met" if self.value <= self.limit else "missed"
        return f"goal {self.name} {self.value:.6g} {self.limit:.6g} {verdict}"


def goals(found: Slopes, tail_ms: float) -> list[Goal]:
    """Return the limits of the plan with what this run says of each."""
    entry_rate = found.entry_bytes.at(size.ENTRIES) + change_rate(found) + header_rate()
    today = (found.http.base + found.core.slope) * size.SHARD_REQUESTS_PER_ENTRY / MICROS
    serial_ms = size.SERVERS_PER_QUERY * (found.http.base + found.core.slope) / 1000
    return [
        Goal("control-cpu-of-an-entry", entry_cpu(found), size.CPU_LIMIT),
        Goal("control-memory-of-an-entry-bytes", found.view.at(size.ENTRIES), size.MEMORY_LIMIT),
        Goal("control-bytes-of-an-entry-per-s", entry_rate, size.BYTES_LIMIT),
        Goal("control-hosts", size.CONTROL_HOSTS, size.CONTROL_HOSTS),
        Goal("in-force-ms", found.change_ms.at(size.ENTRIES), size.IN_FORCE_LIMIT_MS),
        Goal("control-host-memory-bytes", found.control_memory.at(size.ENTRIES), size.MEMORY_LIMIT),
        Goal("query-p99-of-stragglers-alone-ms", tail_ms, size.QUERY_P99_LIMIT_MS),
        Goal("query-p99-alone-on-an-entry-ms", tail_ms + serial_ms, size.QUERY_P99_LIMIT_MS),
        Goal(
            "query-p99-at-the-plans-load-ms",
            # A loop that is asked for more than one core has a queue that only grows.
            tail_ms + serial_ms if today < 1 else float("inf"),
            size.QUERY_P99_LIMIT_MS,
        ),
        Goal("cores-of-an-entry-with-owners", front_cores(found) + owner_cores(found), 1.0),
        Goal("cores-of-an-entry-as-today", today, 1.0),
        Goal("entries-for-one-connection-each", size.ENTRIES, CONNECTIONS_PER_SERVER),
        Goal("ledger-records", size.QUERIES_PER_S * RUNS_SHARE * LEDGER_HORIZON_S, LEDGER_RECORDS),
    ]
