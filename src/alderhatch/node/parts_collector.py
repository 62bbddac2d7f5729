"""Asks servers for a share of a gather and hands on what comes in, merged."""

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

LATE_PARTS_EVERY: Millis = 4.0
"""How often parts are handed on that come after the answer was due."""

TakeParts = Callable[[PartsBundle], None]


class PartsCollector:
    """Runs shares of gathers.

    Args:
        runner: Carries out the requests to servers.
        dialect: Merges the answers.
    """

    def __init__(self, runner: ForwardRunner, dialect: Dialect) -> None:
        self._runner = runner
        self._dialect = dialect
        self._clock = LoopClock()

    async def collect(
        self, req: CallerRequest, run: ForwardRun, word_at: tuple[Millis, ...], take: TakeParts
    ) -> None:
        """Ask for the shards of a run until none can come any more.

        Args:
            req: The caller's request.
            run: The run of the share.
            word_at: When to hand on what is there, also if that is nothing; the last one is when
                the answer is due. After it each part is handed on soon after it came.
            take: Takes the parts that were not handed on yet.
        """
        handed: set[str] = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hand_on_in_time, req, run, word_at, take, handed)
            await self._runner.collect(req, run)
            nursery.cancel_scope.cancel()
        self._hand_on(run, take, handed, False)

    async def _hand_on_in_time(
        self,
        req: CallerRequest,
        run: ForwardRun,
        word_at: tuple[Millis, ...],
        take: TakeParts,
        handed: set[str],
    ) -> None:
        for at in word_at:
            await trio.sleep(max(0.0, at - self._clock.now()) / SECOND)
            self._hand_on(run, take, handed, True)
            run.may_use_other_servers = True
        while True:
            await trio.sleep(LATE_PARTS_EVERY / SECOND)
            self._hand_on(run, take, handed, False)

    def _hand_on(
        self, run: ForwardRun, take: TakeParts, handed: set[str], is_sign_of_life: bool
    ) -> None:
        fresh = {
            name: cast(HttpReply, shard.part)
            for name, shard in run.shards.items()
            if shard.part is not None and name not in handed
        }
        if not fresh and not is_sign_of_life:
            return
        handed.update(fresh)
        destination = cast(AllShards, run.route.destination)
        bundle = self._dialect.bundle(destination, fresh)
        spent = tuple(name for name, shard in run.shards.items() if shard.is_spent)
        take(bundle._replace(spent=spent))
