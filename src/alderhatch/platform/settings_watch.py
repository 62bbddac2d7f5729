"""Takes changes of the settings file while the node runs."""

from __future__ import annotations

import signal
from pathlib import Path

import trio

from ..clock import SECOND, Millis
from ..errors import AlderhatchError
from ..log import log_event
from ..log_events import LogEvent
from ..node.node import Node
from .settings import read_settings

LOOK_EVERY: Millis = 2 * SECOND
"""The file also changes without a signal; the seeds in it matter only once all hosts that this one
knows are gone."""


async def watch_settings(
    node: Node, path: Path, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Hand the node each new list of seeds, until cancelled.

    Args:
        node: Told of other seeds.
        path: The settings file, read at each SIGHUP and every now and then.
        task_status: Told once the signal no longer ends the process.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        task_status.started()
        while True:
            with trio.move_on_after(LOOK_EVERY / SECOND):
                await anext(received)
            _look(node, path)


def _look(node: Node, path: Path) -> None:
    try:
        cfg = read_settings(path)
    except (AlderhatchError, OSError) as exc:
        # The file may be read while it is written. The settings in use stay as they are.
        log_event(LogEvent.SETTINGS_REFUSED, why=str(exc))
        return
    if cfg.node.seeds != node.seeds:
        node.seeds = cfg.node.seeds
        log_event(LogEvent.SETTINGS_ADOPTED, seeds=[seed.address for seed in node.seeds])
