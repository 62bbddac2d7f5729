"""The times and limits of a host's replicated log."""

from __future__ import annotations

from typing import NamedTuple

from ..clock import Millis
from ..core.raft.raft_config import RaftConfig


class LogNodeConfig(NamedTuple):
    """Times in milliseconds."""

    raft: RaftConfig = RaftConfig()
    request_timeout: Millis = 5000.0
    """How long a proposal, a read barrier or a membership change waits for its outcome."""
    redial: Millis = 100.0
    """How long a host waits before it dials a peer again; longer after each failure."""
    max_redial: Millis = 500.0
    """How long it waits at most."""
    probe: Millis = 1000.0
    """How often a host checks that a link to a peer still works."""
    silence: Millis = 700.0
    """How long a peer may leave a message without any answer before its link is given up."""
    max_pending: int = 10_000
    """Proposals that wait for their outcome; one more is refused."""
    max_command_bytes: int = 1024 * 1024
    """The size of one command."""
    sync_in_thread: bool = False
    """Wait for the disk in a worker thread instead of on the loop; see the design note."""
