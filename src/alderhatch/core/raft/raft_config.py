"""Timeouts and limits of a member of the replicated log."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis


class RaftConfig(NamedTuple):
    """Times in milliseconds, sizes in bytes."""

    heartbeat: Millis = 100.0
    """The interval between heartbeat rounds of a leader."""
    election_timeout: Millis = 700.0
    """How long a member votes for nobody else after it has heard from a leader."""
    clock_drift: float = 0.1
    """The maximum rate error of a host's clock, as a fraction; it shortens the leader lease."""
    retry: Millis = 400.0
    """How long a leader waits for the acknowledgement of an append before it probes again."""
    max_append_bytes: int = 256 * 1024
    """The maximum size of the entries in one append, unless a single entry is larger."""
    max_inflight: int = 8
    """The maximum number of appends in flight to one peer."""
    chunk_bytes: int = 256 * 1024
    """The maximum size of one snapshot chunk."""
    compact_entries: int = 1000
    """The number of applied entries after which a snapshot is taken."""
    compact_bytes: int = 16 * 1024 * 1024
    """The size of applied entries after which a snapshot is taken."""
    keep_entries: int = 200
    """The number of entries before a snapshot that stay in memory for lagging peers."""
    max_lag_to_promote: int = 64
    """How many entries a learner may lag behind the commit index when it is promoted."""

    @property
    def lease_duration(self) -> Millis:
        """How long the leader lease lasts after the sending of a confirmed heartbeat round.

        The peers measure the election timeout on their own clocks. If theirs run fast and the
        leader's runs slow, they may elect another leader before the timeout ends on the leader's
        clock, and two hosts would serve reads. The margin covers drift on both sides.
        """
        return self.election_timeout * (1 - self.clock_drift) / (1 + self.clock_drift)
