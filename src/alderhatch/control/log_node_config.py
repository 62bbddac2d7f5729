"""The timeouts and limits of a host's replicated log."""

from __future__ import annotations

from typing import NamedTuple

from ..clock import Millis
from ..core.raft.raft_config import RaftConfig


class LogNodeConfig(NamedTuple):
    """Configuration of a ``LogNode``; all times are in milliseconds."""

    raft: RaftConfig = RaftConfig()
    request_timeout: Millis = 5000.0
    """Timeout of a proposal, a read barrier or a membership change."""
    redial: Millis = 100.0
    """Pause before a peer is dialled again; doubles after each failure."""
    max_redial: Millis = 500.0
    """Longest pause before a peer is dialled again."""
    probe: Millis = 1000.0
    """Interval between two probes of a link to a peer."""
    silence: Millis = 700.0
    """How long a peer may leave a message unanswered before its link is closed."""
    max_pending: int = 10_000
    """Limit on pending requests; further proposals are refused."""
    max_command_bytes: int = 1024 * 1024
    """Largest size of one command."""
    sync_in_thread: bool = False
    """Wait for the disk in a worker thread instead of the event loop; see the design note."""
