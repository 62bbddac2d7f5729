"""An operator's configuration as the platform writes it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

import orjson

from ..clock import SECOND
from ..core.forwarding.route import (
    AllShards,
    CallerLimits,
    Destination,
    OneUpstream,
    Route,
    SplitUpstreams,
    TierConfiguration,
    UpstreamSettings,
    WeightedUpstream,
)
from ..errors import AlderhatchError, ErrorKind, Failure

IDEMPOTENT = "safe"
"""The word for requests that may run more than once; whatever else stands there may not."""
DEFAULT_TIMEOUT = 30_000
DEFAULT_PRIORITY = 1
DEFAULT_CONNECTIONS = 16


def decode_configuration(document: bytes) -> TierConfiguration:
    """Read a whole configuration.

    Args:
        document: The JSON body as the operator sent it.

    Raises:
        AlderhatchError: With kind ``bad_request``, naming the field that is wrong.
    """
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError as exc:
        raise _invalid("", f"not JSON: {exc}") from exc
    top = _Table(raw, "")
    version = top.integer("version")
    upstreams = tuple(_upstream(one) for one in top.tables("services"))
    known = {one.name for one in upstreams}
    routes = tuple(_route(one, known) for one in top.tables("routes"))
    _check_places(routes)
    return TierConfiguration(version, routes, upstreams, _limits(top))


class _Table:
    """A JSON object whose fields are checked as they are read."""

    def __init__(self, raw: object, where: str) -> None:
        if not isinstance(raw, Mapping):
            raise _invalid(where, "an object is wanted")
        self.raw: Mapping[str, Any] = raw
        self._where = where

    def place(self, name: str) -> str:
        """Return the dotted path of a field."""
        return f"{self._where}.{name}" if self._where else name

    def has(self, name: str) -> bool:
        return self.raw.get(name) is not None

    def text(self, name: str) -> str:
        value = self.raw.get(name)
        if not isinstance(value, str) or not value:
            raise _invalid(self.place(name), "a text is wanted")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self.raw.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            raise _invalid(self.place(name), "a number that is not negative is wanted")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        value = self.number(name, default)
        if value != int(value):
            raise _invalid(self.place(name), "a whole number is wanted")
        return int(value)

    def tables(self, name: str) -> list[_Table]:
        value = self.raw.get(name)
        if not isinstance(value, list):
            raise _invalid(self.place(name), "a list is wanted")
        return [_Table(one, f"{self.place(name)}.{index}") for index, one in enumerate(value)]

    def texts(self, name: str) -> tuple[str, ...]:
        value = self.raw.get(name)
        if not isinstance(value, list) or not all(isinstance(one, str) for one in value):
            raise _invalid(self.place(name), "a list of texts is wanted")
        return tuple(value)


def _route(table: _Table, known: set[str]) -> Route:
    timeout = table.integer("timeout-ms", DEFAULT_TIMEOUT)
    if timeout == 0:
        raise _invalid(table.place("timeout-ms"), "a timeout is longer than 0")
    route = Route(
        name=table.text("name"),
        host=table.text("host").lower(),
        path_prefix=table.text("path-prefix"),
        idempotent=table.raw.get("route-type") == IDEMPOTENT or table.has("gather"),
        destination=_destination(table),
        max_servers=max(1, table.integer("max-attempts", 1)),
        timeout=float(timeout),
        target_latency=float(table.number("target-latency-ms", timeout)),
        rank=table.integer("priority", DEFAULT_PRIORITY),
    )
    for upstream in route.upstreams:
        if upstream not in known:
            raise _invalid(table.place("service"), f"there is no service {upstream!r}")
    return route


def _destination(table: _Table) -> Destination:
    if table.has("gather"):
        shards = table.texts("gather")
        if not shards or len(set(shards)) != len(shards):
            raise _invalid(table.place("gather"), "different services are wanted")
        coverage = table.number("min-coverage", 1.0)
        return AllShards(shards, table.integer("top-k", 0), float(coverage))
    if table.has("traffic-split"):
        parts = tuple(
            WeightedUpstream(one.text("service"), float(one.number("weight")))
            for one in table.tables("traffic-split")
        )
        if sum(part.weight for part in parts) <= 0:
            raise _invalid(table.place("traffic-split"), "the weights add up to 0")
        return SplitUpstreams(parts)
    return OneUpstream(table.text("service"))


def _upstream(table: _Table) -> UpstreamSettings:
    connections = max(1, table.integer("max-connections", DEFAULT_CONNECTIONS))
    cold_span = table.number("warmup-s", 0.0) * SECOND
    cold_rate = table.number("warmup-per-s") if table.has("warmup-per-s") else None
    return UpstreamSettings(table.text("name"), connections, cold_span, cold_rate)


def _limits(top: _Table) -> CallerLimits:
    if not top.has("limits"):
        return CallerLimits()
    table = _Table(top.raw["limits"], "limits")
    usual = CallerLimits()
    return CallerLimits(
        table.integer("max-header-bytes", usual.head_bytes),
        table.integer("max-body-bytes", usual.body_bytes),
        float(table.number("header-timeout-ms", usual.head_timeout)),
        float(table.number("idle-timeout-ms", usual.idle_timeout)),
    )


def _check_places(routes: tuple[Route, ...]) -> None:
    places = Counter((route.host, route.path_prefix) for route in routes)
    for index, route in enumerate(routes):
        if places[(route.host, route.path_prefix)] > 1:
            message = f"another route has host {route.host!r} and prefix {route.path_prefix!r} too"
            raise _invalid(f"routes.{index}.path-prefix", message)


def _invalid(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{field}: {message}", field or None))
