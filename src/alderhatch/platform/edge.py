"""The platform's calls to a node, by their paths."""

from __future__ import annotations

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, failure_response, json_response
from ..node.node import EdgeHandlers, Node
from .configuration import decode_configuration
from .dialect import refusal

ADDRESSES_LAST_S = 1.3
"""How long callers may keep an answer; some keep it three times as long, which is still shorter
than a stopping node serves on."""
RETRY_AFTER_MS = 250.0
READINESS = "/-/readiness"
ADDRESSES = "/-/resolve"
CONFIGURATION = "/-/config"
EVACUATION = "/-/evacuation/"
"""An availability zone's name follows."""
VERSION = "version"


class PlatformEdge:
    """Answers the platform's calls by asking the node."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def handlers(self) -> EdgeHandlers:
        """Return what answers on the node's ports."""
        return EdgeHandlers(self.caller, self.addresses, self.readiness, self.operator)

    async def caller(self, req: HttpRequest) -> HttpResponse:
        """Answer a caller's request."""
        try:
            return await self._node.callers.handle(req)
        except AlderhatchError as exc:
            failure = exc.failure
            # The platform takes a 422 of ours for a denial of what its configuration allows.
            is_held_back = failure.kind is ErrorKind.QUARANTINED
            if is_held_back or failure.answer.status in (429, 503):
                return refusal(503, failure.kind, failure.retry_after_ms or RETRY_AFTER_MS)
            return failure_response(failure)

    async def addresses(self, req: HttpRequest) -> HttpResponse:
        """Tell a caller which addresses to use."""
        if req.path != ADDRESSES:
            return _unknown(req)
        found = self._node.callers.addresses(req.query.get("zone", ""))
        if not found:
            return refusal(503, "no host serves yet", RETRY_AFTER_MS)
        return json_response(200, {"addrs": found, "ttl_s": ADDRESSES_LAST_S})

    async def readiness(self, req: HttpRequest) -> HttpResponse:
        """Tell whether this node wants callers."""
        if req.path != READINESS:
            return _unknown(req)
        return json_response(200 if self._node.ready else 503, {})

    async def operator(self, req: HttpRequest) -> HttpResponse:
        """Take or show the configuration, or an order about an availability zone."""
        if req.path.startswith(EVACUATION):
            return await self._evacuation(req)
        if req.path != CONFIGURATION:
            return _unknown(req)
        match req.method:
            case "PUT":
                return await self._put(req)
            case "GET":
                return await self._get()
            case _:
                return _unknown(req)

    async def _put(self, req: HttpRequest) -> HttpResponse:
        cfg = decode_configuration(req.body)
        try:
            in_force = await self._node.configuration_service.put(cfg.version, req.body)
        except AlderhatchError as exc:
            return self._elsewhere(exc, req.path)
        return json_response(200, {VERSION: in_force})

    async def _evacuation(self, req: HttpRequest) -> HttpResponse:
        zone = req.path.removeprefix(EVACUATION)
        zones = self._node.cfg.zones
        if req.method not in ("POST", "DELETE"):
            return _unknown(req)
        if zone not in zones:
            message = f"zone: there is no availability zone {zone!r}"
            return failure_response(Failure(ErrorKind.NOT_FOUND, message, "zone"))
        if req.body:
            message = "body: the order takes none"
            return failure_response(Failure(ErrorKind.BAD_REQUEST, message, "body"))
        try:
            evacuated = await self._node.configuration_service.evacuate(zone, req.method == "POST")
        except AlderhatchError as exc:
            return self._elsewhere(exc, req.path)
        left = sorted(zones - set(evacuated))
        return json_response(200, {"evacuated": list(evacuated), "left": left})

    async def _get(self) -> HttpResponse:
        try:
            stored = await self._node.configuration_service.read()
        except AlderhatchError as exc:
            return self._elsewhere(exc, CONFIGURATION)
        if stored.version == 0:
            return refusal(503, "there is no configuration yet", RETRY_AFTER_MS)
        return HttpResponse(200, stored.document)

    def _elsewhere(self, exc: AlderhatchError, path: str) -> HttpResponse:
        """Send an operator on to the leader if there is another one, else ask it to come back."""
        leader = self._node.leader
        cfg = self._node.cfg
        is_elsewhere = leader is not None and leader.address != cfg.address
        if exc.failure.kind is ErrorKind.NO_LEADER and leader is not None and is_elsewhere:
            where = f"http://{leader.address}:{cfg.ports.operators}{path}"
            return HttpResponse(307, b"{}", headers=(("Location", where),))
        return refusal(503, exc.failure.kind, RETRY_AFTER_MS)


def _unknown(req: HttpRequest) -> HttpResponse:
    return failure_response(Failure(ErrorKind.NOT_FOUND, f"nothing at {req.method} {req.path}"))
