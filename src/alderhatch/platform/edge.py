"""HTTP endpoints of a node for the platform, for callers and for operators."""

from __future__ import annotations

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, failure_response, json_response
from ..node.node import EdgeHandlers, Node
from .configuration import decode_configuration
from .dialect import refusal_response

ADDRESSES_TTL_S = 1.3
"""How long callers may cache the addresses. Some cache them three times as long, which is still
shorter than the time for which a stopping node continues to serve."""
RETRY_AFTER_MS = 250.0
READINESS_PATH = "/-/readiness"
ADDRESSES_PATH = "/-/resolve"
CONFIGURATION_PATH = "/-/config"
EVACUATION_PREFIX = "/-/evacuation/"
"""Prefix of the path; the name of an availability zone follows."""
VERSION_KEY = "version"


class PlatformEdge:
    """Answers HTTP requests of the platform, of callers and of operators."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def handlers(self) -> EdgeHandlers:
        """Return the handlers for the node's HTTP ports."""
        return EdgeHandlers(
            self.handle_caller,
            self.handle_addresses,
            self.handle_readiness,
            self.handle_operator,
            caller_failure_response,
        )

    async def handle_caller(self, req: HttpRequest) -> HttpResponse:
        """Answer a caller's request."""
        try:
            return await self._node.callers.handle(req)
        except AlderhatchError as exc:
            return caller_failure_response(exc.failure)

    async def handle_addresses(self, req: HttpRequest) -> HttpResponse:
        """Return the addresses that a caller should send requests to."""
        if req.path != ADDRESSES_PATH:
            return _not_found(req)
        addresses_found = await self._node.addresses(req.query.get("zone", ""))
        if not addresses_found:
            return refusal_response(503, "no host is serving requests yet", RETRY_AFTER_MS)
        return json_response(200, {"addrs": addresses_found, "ttl_s": ADDRESSES_TTL_S})

    async def handle_readiness(self, req: HttpRequest) -> HttpResponse:
        """Report whether this node accepts requests of callers."""
        if req.path != READINESS_PATH:
            return _not_found(req)
        return json_response(200 if self._node.ready else 503, {})

    async def handle_operator(self, req: HttpRequest) -> HttpResponse:
        """Change or return the configuration, or start or end the evacuation of a zone."""
        if req.path.startswith(EVACUATION_PREFIX):
            return await self._change_evacuation(req)
        if req.path != CONFIGURATION_PATH:
            return _not_found(req)
        match req.method:
            case "PUT":
                return await self._put_configuration(req)
            case "GET":
                return await self._get_configuration()
            case _:
                return _not_found(req)

    async def _put_configuration(self, req: HttpRequest) -> HttpResponse:
        cfg = decode_configuration(req.body)
        try:
            version_in_force = await self._node.configuration_service.put(cfg.version, req.body)
        except AlderhatchError as exc:
            return self._redirect_to_leader(exc, req.path)
        return json_response(200, {VERSION_KEY: version_in_force})

    async def _change_evacuation(self, req: HttpRequest) -> HttpResponse:
        zone = req.path.removeprefix(EVACUATION_PREFIX)
        zones = self._node.cfg.zones
        if req.method not in ("POST", "DELETE"):
            return _not_found(req)
        if zone not in zones:
            message = f"zone: unknown availability zone {zone!r}"
            return failure_response(Failure(ErrorKind.NOT_FOUND, message, "zone"))
        if req.body:
            message = "body: expected an empty body"
            return failure_response(Failure(ErrorKind.BAD_REQUEST, message, "body"))
        try:
            evacuated = await self._node.configuration_service.evacuate(zone, req.method == "POST")
        except AlderhatchError as exc:
            return self._redirect_to_leader(exc, req.path)
        not_evacuated = sorted(zones - set(evacuated))
        return json_response(200, {"evacuated": list(evacuated), "left": not_evacuated})

    async def _get_configuration(self) -> HttpResponse:
        try:
            stored = await self._node.configuration_service.read()
        except AlderhatchError as exc:
            return self._redirect_to_leader(exc, CONFIGURATION_PATH)
        if stored.version == 0:
            return refusal_response(503, "no configuration has been stored yet", RETRY_AFTER_MS)
        return HttpResponse(200, stored.document)

    def _redirect_to_leader(self, exc: AlderhatchError, path: str) -> HttpResponse:
        """Redirect an operator to the leader if that is another host, else answer 503."""
        leader = self._node.leader
        cfg = self._node.cfg
        is_remote = leader is not None and leader.address != cfg.address
        if exc.failure.kind is ErrorKind.NO_LEADER and leader is not None and is_remote:
            location = f"http://{leader.address}:{cfg.ports.operators}{path}"
            return HttpResponse(307, b"{}", headers=(("Location", location),))
        return refusal_response(503, exc.failure.kind, RETRY_AFTER_MS)


def caller_failure_response(failure: Failure) -> HttpResponse:
    """Return the response to a caller's request that failed, in most cases before it ran."""
    status = failure.answer.status
    if failure.kind is ErrorKind.QUARANTINED:
        # The platform would interpret a 422 as the denial of a request that its configuration
        # allows.
        status = 503
    if status in (429, 503):
        return refusal_response(status, failure.kind, failure.retry_after_ms or RETRY_AFTER_MS)
    return failure_response(failure)


def _not_found(req: HttpRequest) -> HttpResponse:
    return failure_response(Failure(ErrorKind.NOT_FOUND, f"no resource at {req.method} {req.path}"))
