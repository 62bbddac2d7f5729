"""The planned stop of a host, from the signal to the last answer."""

from __future__ import annotations

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.stop_plan import StopPlan, plan_stop
from ..http.server import ServeState
from ..log import log_event
from ..log_events import LogEvent
from .caller_handler import CallerHandler
from .hand_over_server import HandOverServer

STOP_POLL_INTERVAL: Millis = 20.0
END_POLL_INTERVAL: Millis = 5.0
CLOSE_SPAN: Millis = 200.0
"""How long a stopping node waits for the ends of its connections, once all answers are written."""


class NodeStop:
    """Serves on for a while after the signal, and then answers what is still in progress.

    Args:
        span: How long after the signal the process is killed.
        serve_state: The state of the server for callers.
        callers: Handles the requests of callers.
        hand_over_server: Handles the requests of other hosts.
    """

    def __init__(
        self,
        span: Millis,
        serve_state: ServeState,
        callers: CallerHandler,
        hand_over_server: HandOverServer,
    ) -> None:
        self._span = span
        self._serve_state = serve_state
        self._callers = callers
        self._hand_over_server = hand_over_server
        self._clock = LoopClock()
        self.has_begun = False
        """Whether the host was told to stop."""
        self.plan: StopPlan = plan_stop(0.0, span, 0.0)
        """The moments of the stop, once it has begun."""
        self.requests_cut = 0
        """Requests without a whole answer at the end."""

    @property
    def elapsed(self) -> Millis:
        """The time since the signal."""
        return round(self._clock.now() - self.plan.began, 1)

    def begin(self, signal_age: Millis) -> None:
        """Begin the stop: callers are asked to use other hosts.

        Args:
            signal_age: How long ago the signal may have come.
        """
        self.has_begun = True
        self._serve_state.closing = True
        self._apply_plan(plan_stop(self._clock.now() - signal_age, self._span, 0.0))
        self._log_step("begun")

    async def run(self) -> None:
        """Serve to the end of the time for it, and answer what is still in progress then."""
        await self._serve_to_end()
        # Until all tasks are cancelled, one could still read another request, send it to a
        # server and be cancelled there. The caller would not know whether the request ran.
        # Refused before anything is sent, the caller tries another host.
        self._serve_state.refusing = True
        self._log_step("accepting_ended")
        await self._end_requests()

    def log_end(self) -> None:
        """Log that nothing is written any more, and what has no whole answer."""
        self._log_step("writing_ended")
        state = self._serve_state
        unsent = self._hand_over_server.unsent
        self.requests_cut = state.exchanges + state.cut + unsent
        if self.requests_cut:
            log_event(
                LogEvent.REQUESTS_CUT,
                in_progress=state.exchanges,
                being_written=state.writing,
                not_written=state.cut,
                unsent_to_hosts=unsent,
            )

    def _apply_plan(self, plan: StopPlan) -> None:
        self.plan = plan
        self._callers.stop.ends_at = plan.answers_by
        self._serve_state.ends_at = plan.ends_at

    async def _serve_to_end(self) -> None:
        """Serve until no request is in progress near the end, or no time is left for more."""
        longest_delay = 0.0
        now = self._clock.now()
        while now < self.plan.answers_by:
            if now >= self.plan.may_end_at and not self._has_work():
                return
            wake_at = min(now + STOP_POLL_INTERVAL, self.plan.answers_by)
            await trio.sleep_until(wake_at / SECOND)
            now = self._clock.now()
            longest_delay = max(longest_delay, now - wake_at)
            self._apply_plan(plan_stop(self.plan.began, self._span, longest_delay))

    def _has_work(self) -> bool:
        return self._serve_state.exchanges > 0 or self._hand_over_server.unsent > 0

    async def _end_requests(self) -> None:
        """Let all requests in progress be answered, and the answers be written."""
        await self._callers.end_requests()
        self._log_step("answered_early")
        await self._wait_while_working(self.plan.leftover_at)
        self._callers.in_progress.end_all()
        await self._wait_while_working(self.plan.ends_at)
        await self._wait_for_closes()

    async def _wait_while_working(self, until: Millis) -> None:
        while self._has_work() and self._clock.now() < until:
            await trio.sleep(END_POLL_INTERVAL / SECOND)

    async def _wait_for_closes(self) -> None:
        """Let the clients take their last answers, which a reset could overtake."""
        until = min(self._clock.now() + CLOSE_SPAN, self.plan.ends_at)
        while self._serve_state.connections and self._clock.now() < until:
            await trio.sleep(END_POLL_INTERVAL / SECOND)

    def _log_step(self, step: str) -> None:
        state = self._serve_state
        log_event(
            LogEvent.STOP_STEP,
            step=step,
            after_ms=self.elapsed,
            connections=state.connections,
            in_progress=state.exchanges,
            being_written=state.writing,
            unsent_to_hosts=self._hand_over_server.unsent,
            not_run=self._callers.in_progress.ended_not_run,
            may_have_run=self._callers.in_progress.ended_unknown,
        )
