"""Parser of the operator's configuration in the platform's JSON format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

import orjson

from ..clock import SECOND
from ..core.forwarding.organisation import Organisation
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

IDEMPOTENT_ROUTE_TYPE = "safe"
"""The ``route-type`` of idempotent requests. Requests of any other type are not idempotent."""
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_PRIORITY = 1
DEFAULT_CONNECTIONS = 16
ORGANISATIONS = "tenants"
KEYS = "api-keys"
MAX_NUMBER = 1e15
"""Sums and products of larger numbers may exceed what a float holds."""
NOT_A_FIELD_VALUE = (
    "expected printable Latin-1 text without spaces at its ends, as a header field carries it"
)


def decode_configuration(document: bytes) -> TierConfiguration:
    """Decode and validate a configuration.

    Args:
        document: The JSON body as the operator sent it.

    Raises:
        AlderhatchError: With kind ``bad_request``, naming the invalid field.
    """
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError as exc:
        raise _invalid("", f"not JSON: {exc}") from exc
    root = _JsonObject(raw, "")
    version = root.integer("version")
    upstreams = tuple(_upstream(service) for service in root.objects("services"))
    upstream_names = {settings.name for settings in upstreams}
    routes = tuple(_route(raw_route, upstream_names) for raw_route in root.objects("routes"))
    _check_unique_routes(routes)
    return TierConfiguration(version, routes, upstreams, _limits(root), _organisations(root))


class _JsonObject:
    """A JSON object whose fields are checked as they are read."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, Mapping):
            raise _invalid(path, "expected an object")
        self.raw: Mapping[str, Any] = raw
        self._path = path

    def field_path(self, name: str) -> str:
        """Return the dotted path of a field."""
        return f"{self._path}.{name}" if self._path else name

    def has(self, name: str) -> bool:
        return self.raw.get(name) is not None

    def string(self, name: str) -> str:
        value = self.raw.get(name)
        if not isinstance(value, str) or not value:
            raise _invalid(self.field_path(name), "expected a non-empty string")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self.raw.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            raise _invalid(self.field_path(name), "expected a number of 0 or more")
        if value > MAX_NUMBER:
            raise _invalid(self.field_path(name), f"expected a number up to {MAX_NUMBER:g}")
        return value

    def boolean(self, name: str, default: bool) -> bool:
        value = self.raw.get(name, default)
        if not isinstance(value, bool):
            raise _invalid(self.field_path(name), "expected true or false")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        value = self.number(name, default)
        if value != int(value):
            raise _invalid(self.field_path(name), "expected an integer")
        return int(value)

    def objects(self, name: str) -> list[_JsonObject]:
        value = self.raw.get(name)
        if not isinstance(value, list):
            raise _invalid(self.field_path(name), "expected a list")
        return [
            _JsonObject(item, f"{self.field_path(name)}.{index}")
            for index, item in enumerate(value)
        ]

    def strings(self, name: str) -> tuple[str, ...]:
        value = self.raw.get(name)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise _invalid(self.field_path(name), "expected a list of strings")
        return tuple(value)


def _route(obj: _JsonObject, upstream_names: set[str]) -> Route:
    timeout = obj.integer("timeout-ms", DEFAULT_TIMEOUT_MS)
    if timeout == 0:
        raise _invalid(obj.field_path("timeout-ms"), "expected a timeout above 0, got 0")
    route = Route(
        name=obj.string("name"),
        host=obj.string("host").lower(),
        path_prefix=obj.string("path-prefix"),
        idempotent=obj.raw.get("route-type") == IDEMPOTENT_ROUTE_TYPE or obj.has("gather"),
        destination=_destination(obj),
        max_servers=max(1, obj.integer("max-attempts", 1)),
        timeout=float(timeout),
        target_latency=float(obj.number("target-latency-ms", timeout)),
        rank=obj.integer("priority", DEFAULT_PRIORITY),
        public=obj.boolean("public", False),
    )
    for upstream in route.upstreams:
        if upstream not in upstream_names:
            raise _invalid(obj.field_path("service"), f"unknown service {upstream!r}")
    return route


def _destination(obj: _JsonObject) -> Destination:
    if obj.has("gather"):
        shards = obj.strings("gather")
        if not shards or len(set(shards)) != len(shards):
            raise _invalid(
                obj.field_path("gather"), "expected a non-empty list of distinct services"
            )
        coverage = obj.number("min-coverage", 1.0)
        return AllShards(shards, obj.integer("top-k", 0), float(coverage))
    if obj.has("traffic-split"):
        weighted_upstreams = tuple(
            WeightedUpstream(item.string("service"), float(item.number("weight")))
            for item in obj.objects("traffic-split")
        )
        if sum(weighted.weight for weighted in weighted_upstreams) <= 0:
            raise _invalid(
                obj.field_path("traffic-split"), "expected a sum of weights above 0, got 0"
            )
        return SplitUpstreams(weighted_upstreams)
    return OneUpstream(obj.string("service"))


def _upstream(obj: _JsonObject) -> UpstreamSettings:
    connections = max(1, obj.integer("max-connections", DEFAULT_CONNECTIONS))
    cold_duration = obj.number("warmup-s", 0.0) * SECOND
    cold_rate = obj.number("warmup-per-s") if obj.has("warmup-per-s") else None
    return UpstreamSettings(obj.string("name"), connections, cold_duration, cold_rate)


def _organisations(root: _JsonObject) -> tuple[Organisation, ...] | None:
    # A null is invalid here: taken for a missing list, it would let callers without a key in.
    if ORGANISATIONS not in root.raw:
        return None
    objects = root.objects(ORGANISATIONS)
    organisations = tuple(_organisation(obj) for obj in objects)
    _check_unique_names(objects, organisations)
    _check_unique_keys(objects, organisations)
    return organisations


def _organisation(obj: _JsonObject) -> Organisation:
    name = obj.string("name")
    if not _fits_header_field(name):
        raise _invalid(obj.field_path("name"), NOT_A_FIELD_VALUE)
    return Organisation(
        name,
        _keys(obj),
        obj.integer("priority") if obj.has("priority") else None,
        float(obj.number("rate-per-s", 0.0)),
        float(obj.number("burst-size", 0.0)),
    )


def _keys(obj: _JsonObject) -> tuple[str, ...]:
    """Return the distinct keys of an organisation; a key that is listed twice counts once."""
    keys = obj.strings(KEYS)
    for index, key in enumerate(keys):
        # No message contains a key: messages end up in logs and with other operators.
        if not key or not _fits_header_field(key):
            raise _invalid(f"{obj.field_path(KEYS)}.{index}", NOT_A_FIELD_VALUE)
    return tuple(dict.fromkeys(keys))


def _fits_header_field(text: str) -> bool:
    """Return whether a header field can carry a text unchanged."""
    return text.isprintable() and text == text.strip() and all(ord(one) < 256 for one in text)


def _limits(root: _JsonObject) -> CallerLimits:
    if not root.has("limits"):
        return CallerLimits()
    obj = _JsonObject(root.raw["limits"], "limits")
    defaults = CallerLimits()
    return CallerLimits(
        obj.integer("max-header-bytes", defaults.head_bytes),
        obj.integer("max-body-bytes", defaults.body_bytes),
        float(obj.number("header-timeout-ms", defaults.head_timeout)),
        float(obj.number("idle-timeout-ms", defaults.idle_timeout)),
    )


def _check_unique_routes(routes: tuple[Route, ...]) -> None:
    route_counts = Counter((route.host, route.path_prefix) for route in routes)
    for index, route in enumerate(routes):
        if route_counts[(route.host, route.path_prefix)] > 1:
            message = f"another route also has host {route.host!r} and prefix {route.path_prefix!r}"
            raise _invalid(f"routes.{index}.path-prefix", message)


def _check_unique_names(
    objects: list[_JsonObject], organisations: tuple[Organisation, ...]
) -> None:
    known: set[str] = set()
    for obj, organisation in zip(objects, organisations, strict=True):
        if organisation.name in known:
            message = f"another organisation also has the name {organisation.name!r}"
            raise _invalid(obj.field_path("name"), message)
        known.add(organisation.name)


def _check_unique_keys(objects: list[_JsonObject], organisations: tuple[Organisation, ...]) -> None:
    owners: dict[str, str] = {}
    for obj, organisation in zip(objects, organisations, strict=True):
        for key in organisation.keys:
            if key in owners:
                message = f"organisation {owners[key]!r} also has one of these keys"
                raise _invalid(obj.field_path(KEYS), message)
            owners[key] = organisation.name


def _invalid(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{field}: {message}", field or None))
