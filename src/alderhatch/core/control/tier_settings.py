"""The tier-wide settings, which operators change at run time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from ...clock import DAY, HOUR, MINUTE, SECOND, Millis
from ...errors import AlderhatchError, ErrorKind, Failure


@dataclass(frozen=True, slots=True)
class TierSettings:
    """The tier-wide settings with the valid range of each field."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    hedge_budget: Annotated[float, Field(ge=0, le=1)] = 0.05
    """Maximum hedges of each rule, as a fraction of its shard requests."""
    retry_budget: Annotated[float, Field(ge=0, le=1)] = 0.1
    """Maximum retries of each upstream, as a fraction of its shard requests."""
    crash_limit: Annotated[int, Field(ge=1, le=10)] = 2
    """Number of crashes after which a body's fingerprint is quarantined."""
    crash_window_ms: Annotated[Millis, Field(ge=SECOND, le=DAY)] = 10 * MINUTE
    """Time for which a crash counts towards ``crash_limit``."""
    quarantine_ms: Annotated[Millis, Field(ge=SECOND, le=DAY)] = 10 * MINUTE
    """Duration of a quarantine."""
    ledger_horizon_ms: Annotated[Millis, Field(ge=MINUTE, le=DAY)] = HOUR
    """Time for which the outcomes of runs are kept."""
    owners_per_server: Annotated[int, Field(ge=0, le=100)] = 0
    """Entries that hold connections to a server; others reach it through them. 0 means all."""


_ADAPTER = TypeAdapter(TierSettings)


def settings_to_plain(settings: TierSettings) -> dict[str, Any]:
    """Return the settings as a plain map that ``merge_settings`` accepts."""
    return asdict(settings)


def merge_settings(current: TierSettings, fields: Mapping[str, object]) -> TierSettings:
    """Return the settings with some fields changed.

    Args:
        current: The settings in force.
        fields: The fields to change, by name.

    Raises:
        AlderhatchError: ``invalid_change`` with the first invalid field.
    """
    try:
        return _ADAPTER.validate_python(asdict(current) | dict(fields))
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        failure = Failure(ErrorKind.INVALID_CHANGE, first["msg"], f"settings.{field}")
        raise AlderhatchError(failure) from exc
