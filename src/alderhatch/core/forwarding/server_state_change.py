"""A change of a server's state, for the log."""

from __future__ import annotations

from typing import NamedTuple


class ServerStateChange(NamedTuple):
    """A server's state, as this host sees it, has changed."""

    server_id: str
    upstream: str
    belief: str
    """``listed``, ``leaving``, ``staying``, ``gone`` or ``ejected``."""
    why: str
    """The source, or the fault that caused it."""
