"""The entry as a program: listeners, signals and the planned stop."""

from __future__ import annotations

import gc
import signal
import tomllib
from collections.abc import AsyncIterator
from functools import partial

import trio

from ..clock import SECOND, LoopClock, Millis
from ..core.entry_events import StopRequested
from ..core.rule_list import RuleList, parse_rules
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpLimits
from ..http.server import serve_http
from ..log import log_event
from ..log_events import LogEvent
from ..settings.models import EntrySettings
from ..settings.secret import read_secret
from .control_hook import ControlHookMaker
from .control_link import ControlLink
from .entry_node import EntryNode
from .operator_handler import OperatorHandler

FILE_REVISION = 1
"""The revision of rules that were read from a file."""
DRAIN_CHECK_EVERY: Millis = 10.0
MAX_OPERATORS = 50
ADDRESS_MARGIN: Millis = 250.0
"""How much later than the time to live a caller may still connect by an answer: it was on its way
for a moment, and so is the request."""


async def run_entry(
    cfg: EntrySettings,
    *,
    make_control: ControlHookMaker | None = None,
    task_status: trio.TaskStatus[EntryNode] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until a planned stop is through.

    SIGTERM or SIGINT begins the planned stop; a second one ends the process at once.

    Args:
        cfg: The settings.
        make_control: Makes the link to the control hosts; the one of ``cfg.controls`` if none is
            given.
        task_status: Given the entry once it takes requests.

    Raises:
        OSError: If an address can't be listened on, or the file of rules can't be read.
        RuleFaultsError: If the file of rules has mistakes.
    """
    rules = _read_rules(cfg)
    secret = read_secret(cfg.secret_file) if cfg.links and cfg.secret_file else None
    node = EntryNode(cfg, make_control=make_control or _control_of(cfg), secret=secret)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            if rules is not None:
                node.change_rules(FILE_REVISION, rules)
            await nursery.start(node.run)
            await _serve_operators(nursery, node)
            # What lives as long as the process need not be walked through by each collection.
            gc.collect()
            gc.freeze()
            task_status.started(node)
            nursery.start_soon(_stop_on_signal, signals, node, nursery.cancel_scope)
            await node.stop_requested.wait()
            await planned_stop(node)
            nursery.cancel_scope.cancel()


def _control_of(cfg: EntrySettings) -> ControlHookMaker | None:
    if not cfg.controls:
        if cfg.links is not None:
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, "links need controls", "links"))
        return None
    if cfg.secret_file is None:
        raise AlderhatchError(
            Failure(ErrorKind.BAD_REQUEST, "controls need a secret_file", "secret_file")
        )
    return partial(ControlLink, secret=read_secret(cfg.secret_file))


def _read_rules(cfg: EntrySettings) -> RuleList | None:
    if cfg.controls or cfg.rules_file is None:
        return None
    return parse_rules(tomllib.loads(cfg.rules_file.read_text()).get("rule", []))


async def _serve_operators(nursery: trio.Nursery, node: EntryNode) -> None:
    where = node.cfg.operators
    listeners = await trio.open_tcp_listeners(where.port, host=where.address)
    node.operator_port = listeners[0].socket.getsockname()[1]
    limits = HttpLimits(connections=MAX_OPERATORS)
    await nursery.start(partial(serve_http, listeners, OperatorHandler(node).handle, limits))


async def _stop_on_signal(
    signals: AsyncIterator[int], node: EntryNode, scope: trio.CancelScope
) -> None:
    async for _ in signals:
        if node.stop_requested.is_set():
            scope.cancel()
            return
        node.request_stop()


async def planned_stop(node: EntryNode) -> None:
    """Take an entry out of service without cutting off a request.

    Callers keep an answer about addresses for a while and connect by it. So the entry first
    leaves the answers and serves on until the last answer that names it has run out; only then
    does it refuse, and what runs goes on to its end, within the limit of the settings.

    Args:
        node: The entry, which runs on until it is cancelled.
    """
    log_event(LogEvent.ENTRY_STOPPING, name=node.cfg.name)
    clock = LoopClock()
    end = clock.now() + node.cfg.drain_ms
    node.request_stop()
    node.leave_addresses()
    await trio.sleep((node.cfg.address_ttl_ms + ADDRESS_MARGIN) / SECOND)
    node.callers.closing = True
    node.feed(StopRequested())
    if node.owner_server is not None:
        # Others are told not_sent, truly, and go to another owner at once.
        node.owner_server.closing = True
    while (node.callers.exchanges or node.running_for_others) and clock.now() < end:
        await trio.sleep(DRAIN_CHECK_EVERY / SECOND)
    cut_off = node.callers.exchanges + node.running_for_others
    await node.say_goodbye()
    # A caller's time to live starts when its answer arrives, and other entries name this one until
    # control has told them. Whoever still comes is refused truly and told of the other addresses;
    # a closed port would look like a lost request.
    await trio.sleep(node.cfg.address_ttl_ms / SECOND)
    log_event(LogEvent.ENTRY_STOPPED, name=node.cfg.name, cut_off=cut_off)
