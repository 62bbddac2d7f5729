"""Decides how long a request runs whose client may have left."""

from __future__ import annotations

from ..clock import Millis

HALF_CLOSED_TIME: Millis = 250.0
"""How long a request runs on after its client has closed its sending half.

The end of the stream is the same if the client has left and if it waits for the answer. Servers
should have stopped half a second after a client has left; half of that remains to stop them.
"""


def runs_on(left_at: Millis, now: Millis) -> bool:
    """Return whether a request may run although its client may have left.

    Args:
        left_at: When its client closed its sending half.
        now: The time.
    """
    return now < left_at + HALF_CLOSED_TIME
