"""A shard request sent to one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import Millis
from .server_view import ServerView

if TYPE_CHECKING:
    from .run import Run, ShardState


class Attempt:
    """A shard request in flight."""

    __slots__ = ("crash_suspect", "hedge", "number", "run", "sent_at", "server", "state")

    def __init__(
        self,
        number: int,
        run: Run,
        state: ShardState,
        server: ServerView,
        sent_at: Millis,
        hedge: bool,
        crash_suspect: bool,
    ) -> None:
        self.number = number
        self.run = run
        self.state = state
        self.server = server
        self.sent_at = sent_at
        self.hedge = hedge
        """Whether it duplicates another attempt that is still in flight."""
        self.crash_suspect = crash_suspect
        """Whether its body may have crashed another server."""
