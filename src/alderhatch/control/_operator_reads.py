"""Handlers for read requests by operators, answered from this control host's state."""

from __future__ import annotations

from ..core.request import Request
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpResponse, json_response
from ._operator_bodies import ExplainBody, int_parameter, parse_body, timeout_parameter
from ._operator_route import OperatorCall, Route, require_leadership
from ._operator_views import OperatorViews
from .control_host import ControlHost
from .operator_keys import OperatorRole

DEFAULT_HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT = 200
MAX_REVISION = 2**53
READ = OperatorRole.READ


class OperatorReads:
    """Handles operators' read requests on one control host.

    Unless a request allows stale data or is about this host itself, it is answered by the leader
    only, after a read barrier.
    """

    def __init__(self, host: ControlHost, views: OperatorViews) -> None:
        self._host = host
        self._views = views

    def routes(self) -> list[Route]:
        """Return the routes of all read requests."""
        return [
            Route("GET", ("rules",), READ, self._get_rules),
            Route("GET", ("rules", "*"), READ, self._get_rule),
            Route("POST", ("explain",), READ, self._explain),
            Route("GET", ("settings",), READ, self._get_settings),
            Route("GET", ("hosts",), READ, self._get_hosts),
            Route("GET", ("quarantines",), READ, self._get_quarantines),
            Route("GET", ("history",), READ, self._get_history),
            Route("GET", ("in-force",), READ, self._get_in_force),
            Route("GET", ("status",), READ, self._get_status),
            Route("GET", ("dump",), READ, self._get_dump),
        ]

    async def _get_rules(self, call: OperatorCall) -> HttpResponse:
        await self._wait_until_current(call)
        return json_response(200, self._views.rules())

    async def _get_rule(self, call: OperatorCall) -> HttpResponse:
        await self._wait_until_current(call)
        return json_response(200, self._views.rule(call.name))

    async def _explain(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, ExplainBody).request
        await self._wait_until_current(call)
        request = Request(
            request_id="explained",
            caller=body.caller,
            kind=body.kind,
            upstream=body.upstream,
            body=b"",
            idempotent=body.idempotent,
            priority=body.priority,
            zone=body.zone,
            headers={name.lower(): value for name, value in body.headers.items()},
        )
        return json_response(200, self._views.explain(request))

    async def _get_settings(self, call: OperatorCall) -> HttpResponse:
        await self._wait_until_current(call)
        return json_response(200, self._views.settings())

    async def _get_hosts(self, call: OperatorCall) -> HttpResponse:
        await self._wait_until_current(call)
        return json_response(200, self._views.hosts())

    async def _get_quarantines(self, call: OperatorCall) -> HttpResponse:
        await self._wait_until_current(call)
        return json_response(200, self._views.quarantines())

    async def _get_history(self, call: OperatorCall) -> HttpResponse:
        limit = int_parameter(call.req, "limit", DEFAULT_HISTORY_LIMIT, 1, MAX_HISTORY_LIMIT)
        before = int_parameter(call.req, "before", None, 0, MAX_REVISION)
        await self._wait_until_current(call)
        return json_response(200, self._views.history(before, limit or DEFAULT_HISTORY_LIMIT))

    async def _get_in_force(self, call: OperatorCall) -> HttpResponse:
        timeout = timeout_parameter(call.req)
        leadership = require_leadership(self._host)
        await self._host.log.read_barrier()
        state = self._host.state
        revision = int_parameter(call.req, "revision", state.revision, 0, MAX_REVISION) or 0
        if revision > state.revision:
            message = f"expected a revision of at most {state.revision}"
            raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, message, "revision"))
        in_force_status = await leadership.wait_in_force(state.version_of(revision), timeout)
        return json_response(200, {"revision": revision} | in_force_status._asdict())

    async def _get_status(self, call: OperatorCall) -> HttpResponse:
        return json_response(200, self._views.status())

    async def _get_dump(self, call: OperatorCall) -> HttpResponse:
        return json_response(200, self._views.dump())

    async def _wait_until_current(self, call: OperatorCall) -> None:
        if call.req.query.get("stale") == "true":
            return
        require_leadership(self._host)
        await self._host.log.read_barrier()
