"""A small script of faults: which server fails in which way, from when, for how long."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

import trio
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from ..clock import SECOND, Millis
from .server_faults import FrozenSide, Garbage, ServerFaults
from .standin_server import StandinServer
from .standin_upstream import StandinUpstream

Span = Annotated[Millis, Field(ge=0, le=86_400_000)]


class FaultStep(BaseModel):
    """One fault of some servers. Fields that are left out stay as they are without it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    servers: Annotated[str, Field(min_length=1)] = ""
    """Servers whose ids begin with this."""
    after_ms: Span = 0.0
    """From the start of the upstream."""
    for_ms: Span | None = None
    """How long it lasts; None is for good."""
    straggle_ms: Span | None = None
    lose: bool | None = None
    crash_on: str | None = None
    """Crash on shard requests with this text in their body."""
    shed_ms: Span | None = None
    draining: bool | None = None
    garbage: Garbage | None = None
    health_state: Literal["ready", "starting", "draining"] | None = None
    health_silent: bool | None = None
    report_load: tuple[int, int] | None = None
    cold_ms: Span | None = None
    freeze: FrozenSide | None = None
    """Let the connections that are open at that moment go silent on this side, for good."""
    crash: bool = False
    """Crash at that moment."""
    publish: Literal["version", "partition"] | None = None
    """Publish a new index version, or partition the documents anew, at that moment."""


_STEPS = TypeAdapter(list[FaultStep])
_MOMENTS = {"servers", "after_ms", "for_ms", "freeze", "crash", "publish"}


def parse_fault_script(raw: object) -> list[FaultStep]:
    """Read a script: the list under ``fault`` of a TOML file.

    Raises:
        pydantic.ValidationError: Naming each field at fault.
    """
    return _STEPS.validate_python(raw)


async def run_fault_script(upstream: StandinUpstream, steps: Sequence[FaultStep]) -> None:
    """Carry out a script; return when all of it is done."""
    async with trio.open_nursery() as nursery:
        for step in steps:
            nursery.start_soon(_run_step, upstream, step)


async def _run_step(upstream: StandinUpstream, step: FaultStep) -> None:
    await trio.sleep(step.after_ms / SECOND)
    match step.publish:
        case "version":
            upstream.publish_version()
        case "partition":
            upstream.repartition()
        case None:
            pass
    servers = [item for item in upstream.servers if item.server_id.startswith(step.servers)]
    if not step.servers:
        return
    for server in servers:
        _begin(server, step)
    if step.for_ms is None:
        return
    await trio.sleep(step.for_ms / SECOND)
    for server in servers:
        _end(server, step)


def _fields(step: FaultStep) -> dict[str, object]:
    given = step.model_dump(exclude_none=True, exclude=_MOMENTS)
    if step.crash_on is not None:
        given["crash_on"] = step.crash_on.encode()
    return given


def _begin(server: StandinServer, step: FaultStep) -> None:
    for name, value in _fields(step).items():
        setattr(server.faults, name, value)
    if step.freeze is not None:
        server.freeze_open_connections(step.freeze)
    if step.crash:
        server.crash()


def _end(server: StandinServer, step: FaultStep) -> None:
    healthy = ServerFaults()
    for name in _fields(step):
        setattr(server.faults, name, getattr(healthy, name))
