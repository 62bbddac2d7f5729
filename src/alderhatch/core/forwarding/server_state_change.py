"""What is told to the log when a host changes its mind about a server."""

from __future__ import annotations

from typing import NamedTuple


class ServerStateChange(NamedTuple):
    """What this host believes of a server is no longer what it was."""

    server_id: str
    upstream: str
    belief: str
    """``listed``, ``leaving``, ``staying``, ``gone`` or ``ejected``."""
    why: str
    """The source, or the fault that decided it."""
