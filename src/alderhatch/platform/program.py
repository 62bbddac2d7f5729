"""Main program of the node, which the platform starts on each of its machines."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import trio

from ..build_info import build_info
from ..core.policy import change_policy
from ..errors import AlderhatchError
from ..exit_guard import ExitGuard, end_process
from ..log import log_event, set_up_bounded_logs
from ..log_events import LogEvent
from ..node.boot_clock import BootClock
from ..node.node import Node
from . import PROCESS_STARTED
from .configuration import decode_configuration
from .dialect import PlatformDialect
from .edge import PlatformEdge
from .server_list import PlatformServerList
from .settings import read_settings
from .settings_watch import watch_settings

SETTINGS_VARIABLE = "ALDERHATCH_SETTINGS"
POLICY_VARIABLE = "ALDERHATCH_POLICY"
"""Overrides of policy values, used to measure the effect of single mechanisms."""
SETTINGS_PATH = "/etc/alderhatch/settings.conf"
PROGRAM_NAME = "alderhatch-node"
EXIT_CANNOT_START = 2


def main() -> int:
    """Run the node until it is stopped and return the exit code."""
    set_up_bounded_logs(PROGRAM_NAME, sys.stdout.fileno())
    log_event(LogEvent.PROGRAM_BUILD, **build_info()._asdict())
    path = Path(os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH))
    try:
        cfg = read_settings(path)
        policy = change_policy(cfg.node.policy, os.environ.get(POLICY_VARIABLE, ""))
    except (AlderhatchError, OSError) as exc:
        log_event(LogEvent.PROGRAM_CANNOT_START, why=str(exc))
        return EXIT_CANNOT_START
    log_output = set_up_bounded_logs(PROGRAM_NAME, sys.stdout.fileno(), host=cfg.node.name)
    source = PlatformServerList(cfg.list_address, cfg.list_port)
    settings = cfg.node._replace(process_started=PROCESS_STARTED, policy=policy)
    node = Node(settings, PlatformDialect(), decode_configuration, source, log_output)
    node.exit_within = ExitGuard().arm
    trio.run(_run, node, path, clock=BootClock())
    log_output.write_pending()
    # The interpreter would free its memory, which takes long where others want the processor, and a
    # process that is killed meanwhile counts as one that did not end.
    end_process(0)
    return 0


async def _run(node: Node, path: Path) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_settings, node, path)
        await node.run(PlatformEdge(node).handlers())
        nursery.cancel_scope.cancel()
