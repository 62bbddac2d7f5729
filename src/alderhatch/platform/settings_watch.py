"""Applies changes of the settings file while the node runs."""

from __future__ import annotations

import signal
from pathlib import Path

import trio

from ..clock import SECOND, Millis
from ..log import log_event
from ..log_events import LogEvent
from ..node.node import Node
from .settings import read_settings

POLL_INTERVAL: Millis = 2 * SECOND
"""The file may also change without a signal. A few seconds are soon enough, because the seeds are
needed only when none of the known hosts can be reached."""


async def watch_settings(
    node: Node, path: Path, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Pass each new list of seeds to the node, until cancelled.

    Args:
        node: The node whose seeds are updated.
        path: The settings file, read at each SIGHUP and at a regular interval.
        task_status: Reported as started once SIGHUP no longer ends the process.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        task_status.started()
        while True:
            with trio.move_on_after(POLL_INTERVAL / SECOND):
                await anext(received)
            _apply_seeds(node, path)


def _apply_seeds(node: Node, path: Path) -> None:
    try:
        cfg = read_settings(path)
    except Exception as exc:
        # The file may be read while it is being written. The settings in use stay in force.
        log_event(LogEvent.SETTINGS_REFUSED, why=str(exc))
        return
    if cfg.node.seeds != node.seeds:
        node.seeds = cfg.node.seeds
        log_event(LogEvent.SETTINGS_ADOPTED, seeds=[seed.address for seed in node.seeds])
