"""The operator API over HTTP and JSON; docs/OPERATOR-API.md is its page."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeAlias
from urllib.parse import unquote

from ..core.control.actions import (
    ACTIONS,
    Action,
    AddRule,
    CancelStop,
    ChangeSettings,
    DepartHost,
    EditRule,
    HostRole,
    LiftQuarantine,
    MoveRule,
    PlanStop,
    RepairControl,
    ReplaceRules,
    ReturnServer,
    WithdrawRule,
)
from ..core.control.operations import (
    OPERATIONS,
    Change,
    ChangeAccepted,
    ChangeRefused,
    HistoryItem,
)
from ..core.request import Request
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpRequest, HttpResponse, failure_response, json_response
from ..log import log_event
from ..log_events import LogEvent
from ._operator_bodies import (
    AddRuleBody,
    ChangeBody,
    DepartBody,
    EditRuleBody,
    ExplainBody,
    MoveRuleBody,
    RepairBody,
    ReplaceRulesBody,
    ReturnBody,
    SettingsBody,
    StopBody,
    int_parameter,
    parse_body,
    timeout_parameter,
)
from ._operator_views import OperatorViews, history_row
from .control_host import ControlHost
from .control_metrics import ControlMetrics
from .leadership import Leadership
from .operator_keys import Operator, OperatorKeys, OperatorRole

HISTORY_PAGE = 50
MAX_HISTORY_PAGE = 200
MAX_REVISION = 2**53


class _Call(NamedTuple):
    """One request to a path, with the name in it."""

    req: HttpRequest
    operator: Operator
    name: str


_Handler: TypeAlias = Callable[[_Call], Awaitable[HttpResponse]]


class _Route(NamedTuple):
    method: str
    path: tuple[str, ...]
    """The parts of the path below ``/v1``; ``*`` stands for a name."""
    role: OperatorRole
    handler: _Handler


class OperatorApi:
    """Answers operators' requests on one control host."""

    def __init__(self, host: ControlHost, keys: OperatorKeys, name: str, zone: str) -> None:
        self._host = host
        self._keys = keys
        self._views = OperatorViews(host, name, zone)
        self._metrics = ControlMetrics(host, name)
        read, change = OperatorRole.READ, OperatorRole.CHANGE
        self._routes = [
            _Route("GET", ("rules",), read, self._get_rules),
            _Route("GET", ("rules", "*"), read, self._get_rule),
            _Route("POST", ("rules",), change, self._add_rule),
            _Route("PUT", ("rules",), change, self._replace_rules),
            _Route("PUT", ("rules", "*"), change, self._edit_rule),
            _Route("POST", ("rules", "*", "move"), change, self._move_rule),
            _Route("POST", ("rules", "*", "withdraw"), change, self._withdraw_rule),
            _Route("POST", ("explain",), read, self._explain),
            _Route("GET", ("settings",), read, self._get_settings),
            _Route("PUT", ("settings",), change, self._put_settings),
            _Route("GET", ("hosts",), read, self._get_hosts),
            _Route("POST", ("hosts", "*", "stop"), change, self._stop),
            _Route("POST", ("hosts", "*", "cancel-stop"), change, self._cancel_stop),
            _Route("POST", ("hosts", "*", "depart"), change, self._depart),
            _Route("POST", ("hosts", "*", "return"), change, self._return),
            _Route("POST", ("hosts", "*", "repair"), change, self._repair),
            _Route("GET", ("quarantines",), read, self._get_quarantines),
            _Route("POST", ("quarantines", "*", "lift"), change, self._lift),
            _Route("GET", ("history",), read, self._get_history),
            _Route("GET", ("in-force",), read, self._get_in_force),
            _Route("GET", ("status",), read, self._get_status),
            _Route("GET", ("dump",), read, self._get_dump),
        ]

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request.

        Raises:
            AlderhatchError: With the kind that the table of errors turns into the answer.
        """
        if req.path == "/healthz":
            return json_response(200, {"ok": True})
        if req.path == "/readyz":
            ready = self._views.ready()
            return json_response(200 if ready else 503, {"ready": ready})
        if req.path == "/metrics":
            page = self._metrics.page()
            return HttpResponse(200, page.body, page.content_type)
        operator = self._find_operator(req)
        route, name = self._find_route(req)
        if route.role is OperatorRole.CHANGE and operator.role is not OperatorRole.CHANGE:
            log_event(LogEvent.OPERATOR_REFUSED, who=operator.name, path=req.path)
            message = f"the key of {operator.name} is for reading only"
            raise AlderhatchError(Failure(ErrorKind.FORBIDDEN, message))
        try:
            return await route.handler(_Call(req, operator, name))
        except AlderhatchError as exc:
            if exc.failure.kind is not ErrorKind.NO_LEADER:
                raise
            return failure_response(exc.failure, leader=self._views.leader())

    def _find_operator(self, req: HttpRequest) -> Operator:
        try:
            return self._keys.find(req.headers)
        except AlderhatchError:
            log_event(LogEvent.OPERATOR_REFUSED, path=req.path[:100])
            raise

    def _find_route(self, req: HttpRequest) -> tuple[_Route, str]:
        parts = [unquote(part) for part in req.path.split("/")[1:]]
        if parts and parts[0] == "v1":
            for route in self._routes:
                if route.method == req.method and _fits(route.path, parts[1:]):
                    name = parts[2] if "*" in route.path else ""
                    return route, name
        message = f"there is no {req.method} {req.path[:100]}"
        raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, message, "path"))

    # Changes

    async def _add_rule(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, AddRuleBody)
        return await self._change(call, body, AddRule(body.rule, body.position))

    async def _replace_rules(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, ReplaceRulesBody)
        return await self._change(call, body, ReplaceRules(body.rules))

    async def _edit_rule(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, EditRuleBody)
        return await self._change(call, body, EditRule(call.name, body.rule))

    async def _move_rule(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, MoveRuleBody)
        return await self._change(call, body, MoveRule(call.name, body.position))

    async def _withdraw_rule(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, ChangeBody)
        return await self._change(call, body, WithdrawRule(call.name))

    async def _put_settings(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, SettingsBody)
        return await self._change(call, body, ChangeSettings(body.settings))

    async def _stop(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, StopBody)
        return await self._change(call, body, PlanStop(call.name, body.forced))

    async def _cancel_stop(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, ChangeBody)
        return await self._change(call, body, CancelStop(call.name))

    async def _depart(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, DepartBody)
        action = DepartHost(call.name, body.role, body.upstream, body.forced)
        return await self._change(call, body, action)

    async def _return(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, ReturnBody)
        if body.role is not HostRole.UPSTREAM:
            message = "only an upstream's server returns; use cancel-stop for others"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "role"))
        return await self._change(call, body, ReturnServer(call.name, body.upstream))

    async def _repair(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, RepairBody)
        new = body.replacement
        action = RepairControl(call.name, new.name, new.zone, new.address, new.port, body.forced)
        return await self._change(call, body, action)

    async def _lift(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, ChangeBody)
        return await self._change(call, body, LiftQuarantine(call.name))

    async def _change(self, call: _Call, body: ChangeBody, action: Action) -> HttpResponse:
        wait = call.req.query.get("wait")
        if wait not in (None, "in_force"):
            message = "the only thing to wait for is in_force"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "wait"))
        timeout = timeout_parameter(call.req)
        leadership = self._leading()
        status = self._host.log.status()
        heard = self._host.log.heard_from() | {status.host}
        down = [voter for voter in status.voters if voter not in heard]
        change = Change(
            body.change_id,
            body.expected_revision,
            call.operator.name,
            list(status.voters),
            down,
            ACTIONS.encode(action),
        )
        (answer,) = await self._host.proposer.submit([OPERATIONS.encode(change)])
        self._metrics.count_change(answer)
        if not isinstance(answer, ChangeAccepted):
            return _refused(call, change, answer)
        _log_accepted(call, answer)
        row: dict[str, object] = _accepted_row(answer)
        if wait is not None:
            found = await leadership.wait_in_force(answer.version, timeout)
            row |= found._asdict()
        return json_response(200, row)

    # Reads

    async def _get_rules(self, call: _Call) -> HttpResponse:
        await self._be_current(call)
        return json_response(200, self._views.rules())

    async def _get_rule(self, call: _Call) -> HttpResponse:
        await self._be_current(call)
        return json_response(200, self._views.rule(call.name))

    async def _explain(self, call: _Call) -> HttpResponse:
        body = parse_body(call.req, ExplainBody).request
        await self._be_current(call)
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

    async def _get_settings(self, call: _Call) -> HttpResponse:
        await self._be_current(call)
        return json_response(200, self._views.settings())

    async def _get_hosts(self, call: _Call) -> HttpResponse:
        await self._be_current(call)
        return json_response(200, self._views.hosts())

    async def _get_quarantines(self, call: _Call) -> HttpResponse:
        await self._be_current(call)
        return json_response(200, self._views.quarantines())

    async def _get_history(self, call: _Call) -> HttpResponse:
        limit = int_parameter(call.req, "limit", HISTORY_PAGE, 1, MAX_HISTORY_PAGE)
        before = int_parameter(call.req, "before", None, 0, MAX_REVISION)
        await self._be_current(call)
        return json_response(200, self._views.history(before, limit or HISTORY_PAGE))

    async def _get_in_force(self, call: _Call) -> HttpResponse:
        timeout = timeout_parameter(call.req)
        leadership = self._leading()
        await self._host.log.read_barrier()
        state = self._host.state
        revision = int_parameter(call.req, "revision", state.revision, 0, MAX_REVISION) or 0
        if revision > state.revision:
            message = f"the newest revision is {state.revision}"
            raise AlderhatchError(Failure(ErrorKind.NOT_FOUND, message, "revision"))
        found = await leadership.wait_in_force(state.version_of(revision), timeout)
        return json_response(200, {"revision": revision} | found._asdict())

    async def _get_status(self, call: _Call) -> HttpResponse:
        return json_response(200, self._views.status())

    async def _get_dump(self, call: _Call) -> HttpResponse:
        return json_response(200, self._views.dump())

    def _leading(self) -> Leadership:
        if self._host.leadership is None:
            message = "this control host does not lead"
            failure = Failure(ErrorKind.NO_LEADER, message, retry_after_ms=200.0)
            raise AlderhatchError(failure)
        return self._host.leadership

    async def _be_current(self, call: _Call) -> None:
        if call.req.query.get("stale") == "true":
            return
        self._leading()
        await self._host.log.read_barrier()


def _fits(path: Sequence[str], parts: Sequence[str]) -> bool:
    if len(path) != len(parts):
        return False
    pairs = zip(path, parts, strict=True)
    return all(wanted == part or (wanted == "*" and part != "") for wanted, part in pairs)


def _accepted_row(answer: ChangeAccepted) -> dict[str, object]:
    return {
        "revision": answer.revision,
        "change_id": answer.change_id,
        "at_ms": answer.at,
        "repeated": answer.repeated,
        "changed": answer.changed,
    }


def _log_accepted(call: _Call, answer: ChangeAccepted) -> None:
    log_event(
        LogEvent.CHANGE_ACCEPTED,
        who=call.operator.name,
        change_id=answer.change_id,
        revision=answer.revision,
        repeated=answer.repeated,
    )


def _refused(call: _Call, change: Change, answer: object) -> HttpResponse:
    if not isinstance(answer, ChangeRefused):
        message = "the control host did not understand its own command"
        return failure_response(Failure(ErrorKind.INTERNAL, message))
    log_event(
        LogEvent.CHANGE_REFUSED,
        who=call.operator.name,
        change_id=change.change_id,
        kind=answer.kind,
        why=answer.message,
    )
    failure = Failure(ErrorKind(answer.kind), answer.message, answer.field)
    extra: dict[str, object] = {"current_revision": answer.current_revision}
    if answer.faults:
        extra["faults"] = [fault._asdict() for fault in answer.faults]
    if failure.kind is ErrorKind.REVISION_CONFLICT:
        extra["won"] = [history_row(item) for item in _items(answer)]
    return failure_response(failure, repeated=answer.repeated, **extra)


def _items(answer: ChangeRefused) -> list[HistoryItem]:
    return list(answer.won)
