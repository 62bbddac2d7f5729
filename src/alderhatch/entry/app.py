"""The entry program: listeners, signals and the planned stop."""

from __future__ import annotations

import gc
import signal
import tomllib
from collections.abc import AsyncIterator
from functools import partial

import trio

from ..clock import SECOND, LoopClock, Millis
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
"""The revision of rules that are read from a file."""
MAX_OPERATOR_CONNECTIONS = 50
ADDRESS_MARGIN: Millis = 250.0
"""How long after the time to live of an answer a caller may still connect, because the answer and
the request take time to arrive."""


async def run_entry(
    cfg: EntrySettings,
    *,
    make_control: ControlHookMaker | None = None,
    task_status: trio.TaskStatus[EntryNode] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until a planned stop is complete.

    SIGTERM or SIGINT starts the planned stop; at a second signal, the requests in progress are
    answered with what is known of them, and the process ends.

    Args:
        cfg: The settings.
        make_control: Creates the link to the control hosts; by default they are taken from
            ``cfg.controls``.
        task_status: Receives the entry once it accepts requests.

    Raises:
        AlderhatchError: If the settings lack ``controls`` or ``secret_file`` where one is required.
        OSError: If an address can't be bound, or the rules file can't be read.
        RuleFaultsError: If the rules file has errors.
    """
    rules = _read_rules(cfg)
    secret = read_secret(cfg.secret_file) if cfg.links and cfg.secret_file else None
    node = EntryNode(cfg, make_control=make_control or _control_maker(cfg), secret=secret)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            if rules is not None:
                node.change_rules(FILE_REVISION, rules)
            await nursery.start(node.run)
            await _serve_operators(nursery, node)
            # Excludes objects that live as long as the process from garbage collection.
            gc.collect()
            gc.freeze()
            task_status.started(node)
            nursery.start_soon(_stop_on_signal, signals, node, nursery.cancel_scope)
            await node.stop_requested.wait()
            await planned_stop(node)
            nursery.cancel_scope.cancel()


def _control_maker(cfg: EntrySettings) -> ControlHookMaker | None:
    if not cfg.controls:
        if cfg.links is not None:
            raise AlderhatchError(
                Failure(ErrorKind.BAD_REQUEST, "links is set, but controls is empty", "links")
            )
        return None
    if cfg.secret_file is None:
        raise AlderhatchError(
            Failure(
                ErrorKind.BAD_REQUEST, "controls is set, but secret_file is missing", "secret_file"
            )
        )
    return partial(ControlLink, secret=read_secret(cfg.secret_file))


def _read_rules(cfg: EntrySettings) -> RuleList | None:
    if cfg.controls or cfg.rules_file is None:
        return None
    return parse_rules(tomllib.loads(cfg.rules_file.read_text()).get("rule", []))


async def _serve_operators(nursery: trio.Nursery, node: EntryNode) -> None:
    endpoint = node.cfg.operators
    listeners = await trio.open_tcp_listeners(endpoint.port, host=endpoint.address)
    node.operator_port = listeners[0].socket.getsockname()[1]
    limits = HttpLimits(connections=MAX_OPERATOR_CONNECTIONS)
    await nursery.start(partial(serve_http, listeners, OperatorHandler(node).handle, limits))


async def _stop_on_signal(
    signals: AsyncIterator[int], node: EntryNode, scope: trio.CancelScope
) -> None:
    signalled = False
    async for _ in signals:
        if signalled:
            node.refuse_requests()
            await node.complete_requests(end=0.0)
            scope.cancel()
            return
        signalled = True
        # An operator may have requested the stop already, which goes on then.
        node.request_stop()


async def planned_stop(node: EntryNode) -> None:
    """Take an entry out of service without interrupting requests.

    Callers cache the entries' addresses. Therefore the entry first withdraws its address and
    continues to serve until the last answer that contains it has expired. Then it refuses new
    requests, and running ones may complete within ``drain_ms``. Those that still run then are
    answered with what is known of them.

    Args:
        node: The entry; it keeps running until it is cancelled.
    """
    log_event(LogEvent.ENTRY_STOPPING, name=node.cfg.name)
    clock = LoopClock()
    end = clock.now() + node.cfg.drain_ms
    node.request_stop()
    node.withdraw_address()
    await trio.sleep((node.cfg.address_ttl_ms + ADDRESS_MARGIN) / SECOND)
    node.refuse_requests()
    await node.complete_requests(end)
    cut_off = node.requests_in_flight
    await node.deregister()
    # The time to live starts when the answer reaches the caller, and other entries advertise this
    # one until control has informed them. Meanwhile late callers get the reliable answer that their
    # request did not run, and the other addresses; a closed port would look like a lost
    # request.
    await trio.sleep(node.cfg.address_ttl_ms / SECOND)
    log_event(LogEvent.ENTRY_STOPPED, name=node.cfg.name, cut_off=cut_off)
