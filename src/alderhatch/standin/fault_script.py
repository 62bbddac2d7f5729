"""Fault scripts: which servers fail in which way, when and for how long."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

import trio
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from ..clock import SECOND, Millis
from .server_faults import FrozenSide, Garbage, ServerFaults
from .standin_server import StandinServer
from .standin_upstream import StandinUpstream

DurationMs = Annotated[Millis, Field(ge=0, le=86_400_000)]


class FaultStep(BaseModel):
    """One fault of some servers. Fields that are not set leave the servers unchanged."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    servers: Annotated[str, Field(min_length=1)] = ""
    """Prefix of the IDs of the servers that fail; no server if empty."""
    after_ms: DurationMs = 0.0
    """Start of the fault, from the start of the upstream."""
    for_ms: DurationMs | None = None
    """Duration of the fault; None: until the upstream ends."""
    straggle_ms: DurationMs | None = None
    lose: bool | None = None
    crash_on: str | None = None
    """Crash on a shard request that has this text in its body."""
    shed_ms: DurationMs | None = None
    draining: bool | None = None
    garbage: Garbage | None = None
    health_state: Literal["ready", "starting", "draining"] | None = None
    health_silent: bool | None = None
    report_load: tuple[int, int] | None = None
    cold_ms: DurationMs | None = None
    freeze: FrozenSide | None = None
    """Stop this direction of the connections open at the start, until they close."""
    crash: bool = False
    """Crash at the start of the fault."""
    publish: Literal["version", "partition"] | None = None
    """Publish a new index version, or repartition the documents, at the start."""


_STEPS = TypeAdapter(list[FaultStep])
_STEP_ONLY_FIELDS = {"servers", "after_ms", "for_ms", "freeze", "crash", "publish"}


def parse_fault_script(raw: object) -> list[FaultStep]:
    """Parse a script: the list under ``fault`` of a TOML file.

    Raises:
        pydantic.ValidationError: If the script is invalid; it names each invalid field.
    """
    return _STEPS.validate_python(raw)


async def run_fault_script(upstream: StandinUpstream, steps: Sequence[FaultStep]) -> None:
    """Run a script; return once all its steps have ended."""
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
        _apply_fault(server, step)
    if step.for_ms is None:
        return
    await trio.sleep(step.for_ms / SECOND)
    for server in servers:
        _clear_fault(server, step)


def _fault_fields(step: FaultStep) -> dict[str, object]:
    fields = step.model_dump(exclude_none=True, exclude=_STEP_ONLY_FIELDS)
    if step.crash_on is not None:
        fields["crash_on"] = step.crash_on.encode()
    return fields


def _apply_fault(server: StandinServer, step: FaultStep) -> None:
    for name, value in _fault_fields(step).items():
        setattr(server.faults, name, value)
    if step.freeze is not None:
        server.freeze_open_connections(step.freeze)
    if step.crash:
        server.crash()


def _clear_fault(server: StandinServer, step: FaultStep) -> None:
    defaults = ServerFaults()
    for name in _fault_fields(step):
        setattr(server.faults, name, getattr(defaults, name))
