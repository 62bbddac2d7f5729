"""The operator API over HTTP and JSON, documented in docs/OPERATOR-API.md."""

from __future__ import annotations

from urllib.parse import unquote

from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, failure_response, json_response
from ..log import log_event
from ..log_events import LogEvent
from ._operator_changes import OperatorChanges
from ._operator_reads import OperatorReads
from ._operator_route import OperatorCall, Route
from ._operator_views import OperatorViews
from .control_host import ControlHost
from .control_metrics import ControlMetrics
from .operator_keys import Operator, OperatorKeys, OperatorRole

API_VERSION = "v1"
MAX_LOGGED_PATH_CHARS = 100
"""Largest number of characters of a refused path that are logged or returned."""


class OperatorApi:
    """Handles the requests of operators on one control host."""

    def __init__(self, host: ControlHost, keys: OperatorKeys, name: str, zone: str) -> None:
        self._keys = keys
        self._views = OperatorViews(host, name, zone)
        self._metrics = ControlMetrics(host, name)
        reads = OperatorReads(host, self._views)
        changes = OperatorChanges(host, self._metrics)
        self._routes = [*reads.routes(), *changes.routes()]

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Authenticate, route and answer one request.

        Raises:
            AlderhatchError: If the request fails; the kind defines the response.
        """
        if req.path == "/healthz":
            return json_response(200, {"ok": True})
        if req.path == "/readyz":
            ready = self._views.ready()
            return json_response(200 if ready else 503, {"ready": ready})
        if req.path == "/metrics":
            page = self._metrics.render_page()
            return HttpResponse(200, page.body, page.content_type)
        operator = self._find_operator(req)
        route, name = self._find_route(req)
        if route.role is OperatorRole.CHANGE and operator.role is not OperatorRole.CHANGE:
            log_event(LogEvent.OPERATOR_REFUSED, who=operator.name, path=req.path)
            message = f"the key of {operator.name} permits reading only"
            raise AlderhatchError(Failure(ErrorKind.FORBIDDEN, message))
        try:
            return await route.handler(OperatorCall(req, operator, name))
        except AlderhatchError as exc:
            if exc.failure.kind is not ErrorKind.NO_LEADER:
                raise
            return failure_response(exc.failure, leader=self._views.leader())

    def _find_operator(self, req: HttpRequest) -> Operator:
        try:
            return self._keys.authenticate(req.headers)
        except AlderhatchError:
            log_event(LogEvent.OPERATOR_REFUSED, path=req.path[:MAX_LOGGED_PATH_CHARS])
            raise

    def _find_route(self, req: HttpRequest) -> tuple[Route, str]:
        version, *parts = [unquote(part) for part in req.path.split("/")[1:]] or [""]
        if version == API_VERSION:
            for route in self._routes:
                if route.matches(req.method, parts):
                    return route, route.extract_name(parts)
        message = f"no resource at {req.method} {req.path[:MAX_LOGGED_PATH_CHARS]}"
        raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, message, "path"))
