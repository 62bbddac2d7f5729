"""Queries servers for a share of a gather, which are the shards that this host has to query."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.forwarding.forward_run import ForwardRun
from ..core.forwarding.parts_bundle import PartsBundle
from ..core.forwarding.route import AllShards
from ..http.exchange import HttpReply
from .dialect import CallerRequest, Dialect
from .forward_runner import ForwardRunner

LATE_PARTS_INTERVAL: Millis = 4.0
"""Interval of the reports of parts that arrive after the answer was due."""

PartsHandler = Callable[[PartsBundle], None]


class PartsCollector:
    """Runs shares of gathers and reports the parts, merged, as they arrive.

    Args:
        runner: Sends the requests to servers.
        dialect: Merges the answers.
    """

    def __init__(self, runner: ForwardRunner, dialect: Dialect) -> None:
        self._runner = runner
        self._dialect = dialect
        self._clock = LoopClock()

    async def collect(
        self,
        req: CallerRequest,
        run: ForwardRun,
        report_times: tuple[Millis, ...],
        on_parts: PartsHandler,
    ) -> None:
        """Query the shards of a run until no further part can arrive.

        Args:
            req: The caller's request.
            run: The run of the share.
            report_times: When to report the parts that have arrived, even if there are none; the
                last one is when the answer is due. Later parts are reported soon after they arrive.
            on_parts: Handles the parts that were not yet reported.
        """
        reported: set[str] = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_on_schedule, req, run, report_times, on_parts, reported)
            await self._runner.collect(req, run)
            nursery.cancel_scope.cancel()
        self._report(run, on_parts, reported, False)

    async def _report_on_schedule(
        self,
        req: CallerRequest,
        run: ForwardRun,
        report_times: tuple[Millis, ...],
        on_parts: PartsHandler,
        reported: set[str],
    ) -> None:
        for report_at in report_times:
            await trio.sleep(max(0.0, report_at - self._clock.now()) / SECOND)
            self._report(run, on_parts, reported, True)
            run.may_use_other_servers = True
        while True:
            await trio.sleep(LATE_PARTS_INTERVAL / SECOND)
            self._report(run, on_parts, reported, False)

    def _report(
        self, run: ForwardRun, on_parts: PartsHandler, reported: set[str], report_if_empty: bool
    ) -> None:
        new_parts = {
            name: cast(HttpReply, shard.part)
            for name, shard in run.shards.items()
            if shard.part is not None and name not in reported
        }
        if not new_parts and not report_if_empty:
            return
        reported.update(new_parts)
        destination = cast(AllShards, run.route.destination)
        bundle = self._dialect.bundle(destination, new_parts)
        spent = tuple(name for name, shard in run.shards.items() if shard.is_spent)
        on_parts(bundle._replace(spent=spent))
