"""Background tasks of an object, started from synchronous functions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

import trio

from .clock import SECOND, Millis
from .task_faults import TaskKind, record_task_fault

RESTART_PAUSE: Millis = 1 * SECOND
"""Pause before a background task that has failed runs again, as the cause may still be there."""

Args = TypeVarTuple("Args")


async def keep_running(task: Callable[[*Args], Awaitable[object]], *args: *Args) -> None:
    """Run a task that should run as long as the process, and again after each error.

    Args:
        task: Runs until cancelled; when it starts again, it looks at the present state anew.
        args: Its arguments.
    """
    while True:
        try:
            await task(*args)
            return
        except Exception as exc:
            # Uncaught, it would end the process with all requests of its callers.
            record_task_fault(TaskKind.BACKGROUND, exc)
        await trio.sleep(RESTART_PAUSE / SECOND)


class LoopTasks:
    """Runs the background tasks of one object in a nursery; an error in one ends no other.

    Args:
        kind: What the tasks handle.
    """

    def __init__(self, kind: TaskKind) -> None:
        self._kind = kind
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # Tasks that are requested during shutdown are not started.
                self._nursery = None

    @property
    def running(self) -> bool:
        """Whether tasks can be started."""
        return self._nursery is not None

    def start(self, task: Callable[[*Args], Awaitable[object]], *args: *Args) -> None:
        """Start a task; does nothing unless ``run`` is active."""
        if self._nursery is not None:
            self._nursery.start_soon(self._run_guarded, task, *args)

    async def _run_guarded(self, task: Callable[[*Args], Awaitable[object]], *args: *Args) -> None:
        try:
            await task(*args)
        except Exception as exc:
            # Uncaught, it would end the nursery with all other tasks, and the process.
            record_task_fault(self._kind, exc)
