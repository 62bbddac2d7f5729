"""The times and sizes that a member of the replicated log works with."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis


class RaftConfig(NamedTuple):
    """Times in milliseconds, sizes in bytes."""

    heartbeat: Millis = 100.0
    """How often a leader proves that it is alive."""
    election_timeout: Millis = 700.0
    """How long a member that has heard from a leader grants no vote to anyone else."""
    clock_drift: float = 0.1
    """By which share the clocks of two hosts may run apart; it shortens the leader lease."""
    retry: Millis = 400.0
    """How long a leader waits for an append to be acknowledged before it probes again."""
    max_append_bytes: int = 256 * 1024
    """The size of the entries in one append message, unless a single entry is larger."""
    max_inflight: int = 8
    """How many append messages may be on their way to one peer."""
    chunk_bytes: int = 256 * 1024
    """The size of one piece of a snapshot."""
    compact_entries: int = 1000
    """After how many applied entries a snapshot is taken."""
    compact_bytes: int = 16 * 1024 * 1024
    """After how many bytes of applied entries a snapshot is taken."""
    keep_entries: int = 200
    """How many entries stay in memory behind a snapshot, for peers that lag a little."""
    max_lag_to_promote: int = 64
    """How many entries a learner may be behind the leader's commit index when it is promoted."""

    @property
    def lease(self) -> Millis:
        """How long a confirmed heartbeat round, from when it was sent, keeps the leader lease.

        The peers that confirmed it count their election timeout on their own clocks. If theirs run
        fast and the leader's slow, they may elect another before the leader's own timeout is over,
        and two hosts would answer reads. The margin covers drift on both sides.
        """
        return self.election_timeout * (1 - self.clock_drift) / (1 + self.clock_drift)
