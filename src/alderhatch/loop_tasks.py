"""Tasks that are started from plain functions and belong to one object."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

import trio

Args = TypeVarTuple("Args")


class LoopTasks:
    """Keeps the tasks of one object while it runs."""

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # What is still asked for while the process goes down has no task any more.
                self._nursery = None

    @property
    def running(self) -> bool:
        """Whether tasks can be started."""
        return self._nursery is not None

    def start(self, task: Callable[[*Args], Awaitable[object]], *args: *Args) -> None:
        """Start a task; does nothing while this does not run."""
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)
