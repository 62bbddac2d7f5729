"""When a host that was told to stop answers what is still in progress, and when it ends."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import Millis

IDLE_SPAN: Millis = 2000.0
"""How long before its process is killed a host may end as soon as it is idle."""
EXIT_FRACTION = 1 / 12
"""For the end of the process, which takes longer where other processes want the processor."""
ANSWER_FRACTION = 1 / 20
"""To write the answers that are given at the end; nearly all fit into one write."""
MAX_EXIT_DELAY_FRACTION = 1 / 48
MAX_ANSWER_DELAY_FRACTION = 1 / 80
"""Limits of what a slow loop adds: together with the fractions above a sixth of the time, in which
no server has to be waited for."""
DELAY_FACTOR = 2.0
"""Loop delays of the future may be longer than those that were seen."""
GUARD_FRACTION = 0.7
"""How much of the time for the end is left when a guard ends the process. On a busy machine the
guard itself is late, and a process that is killed counts as one that did not end."""
LEFTOVER_FRACTION = 0.5
"""How much of the time for answers the runs have to return theirs; then the rest is cancelled."""


class StopPlan(NamedTuple):
    """The moments of a stop, on the loop's clock."""

    began: Millis
    may_end_at: Millis
    """From then on the host ends once no request is in progress."""
    answers_by: Millis
    """When each request still in progress gets an answer."""
    leftover_at: Millis
    """When a request is cancelled whose answer has not come of that."""
    ends_at: Millis
    """When all answers have to be written."""
    gone_by: Millis
    """When the process ends, whatever its loop or its threads wait for."""


def plan_stop(began: Millis, span: Millis, loop_delay: Millis) -> StopPlan:
    """Return the moments of a stop.

    Args:
        began: When the host was told to stop.
        span: How long after that the process is killed.
        loop_delay: The longest delay of the loop that was seen since then.
    """
    late = DELAY_FACTOR * max(0.0, loop_delay)
    exit_span = span * EXIT_FRACTION + min(late, span * MAX_EXIT_DELAY_FRACTION)
    answer_span = span * ANSWER_FRACTION + min(late, span * MAX_ANSWER_DELAY_FRACTION)
    ends_at = began + span - exit_span
    answers_by = ends_at - answer_span
    return StopPlan(
        began,
        began + max(0.0, span - IDLE_SPAN),
        answers_by,
        answers_by + LEFTOVER_FRACTION * answer_span,
        ends_at,
        began + span - GUARD_FRACTION * exit_span,
    )
