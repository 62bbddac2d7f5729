"""Handlers for changes by operators; each change is one command on the replicated log."""

from __future__ import annotations

from ..clock import Millis
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
from ..core.control.operations import OPERATIONS, Change, ChangeAccepted, ChangeRefused
from ..errors import AlderhatchError, ErrorKind, Failure
from ..http.messages import HttpResponse, failure_response, json_response
from ..log import log_event
from ..log_events import LogEvent
from ._operator_bodies import (
    AddRuleBody,
    ChangeBody,
    DepartBody,
    EditRuleBody,
    MoveRuleBody,
    RepairBody,
    ReplaceRulesBody,
    ReturnBody,
    SettingsBody,
    StopBody,
    parse_body,
    timeout_parameter,
)
from ._operator_route import OperatorCall, Route, require_leadership
from ._operator_views import history_row
from .control_host import ControlHost
from .control_metrics import ControlMetrics
from .leadership import InForceStatus, Leadership
from .operator_keys import OperatorRole

CHANGE = OperatorRole.CHANGE


class OperatorChanges:
    """Handles operators' changes on one control host."""

    def __init__(self, host: ControlHost, metrics: ControlMetrics) -> None:
        self._host = host
        self._metrics = metrics

    def routes(self) -> list[Route]:
        """Return the routes of all changes."""
        return [
            Route("POST", ("rules",), CHANGE, self._add_rule),
            Route("PUT", ("rules",), CHANGE, self._replace_rules),
            Route("PUT", ("rules", "*"), CHANGE, self._edit_rule),
            Route("POST", ("rules", "*", "move"), CHANGE, self._move_rule),
            Route("POST", ("rules", "*", "withdraw"), CHANGE, self._withdraw_rule),
            Route("PUT", ("settings",), CHANGE, self._put_settings),
            Route("POST", ("hosts", "*", "stop"), CHANGE, self._stop),
            Route("POST", ("hosts", "*", "cancel-stop"), CHANGE, self._cancel_stop),
            Route("POST", ("hosts", "*", "depart"), CHANGE, self._depart),
            Route("POST", ("hosts", "*", "return"), CHANGE, self._return),
            Route("POST", ("hosts", "*", "repair"), CHANGE, self._repair),
            Route("POST", ("quarantines", "*", "lift"), CHANGE, self._lift),
        ]

    async def _add_rule(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, AddRuleBody)
        return await self._change(call, body, AddRule(body.rule, body.position))

    async def _replace_rules(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, ReplaceRulesBody)
        return await self._change(call, body, ReplaceRules(body.rules))

    async def _edit_rule(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, EditRuleBody)
        return await self._change(call, body, EditRule(call.name, body.rule))

    async def _move_rule(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, MoveRuleBody)
        return await self._change(call, body, MoveRule(call.name, body.position))

    async def _withdraw_rule(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, ChangeBody)
        return await self._change(call, body, WithdrawRule(call.name))

    async def _put_settings(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, SettingsBody)
        return await self._change(call, body, ChangeSettings(body.settings))

    async def _stop(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, StopBody)
        return await self._change(call, body, PlanStop(call.name, body.forced))

    async def _cancel_stop(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, ChangeBody)
        return await self._change(call, body, CancelStop(call.name))

    async def _depart(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, DepartBody)
        action = DepartHost(call.name, body.role, body.upstream, body.forced)
        return await self._change(call, body, action)

    async def _return(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, ReturnBody)
        if body.role is not HostRole.UPSTREAM:
            message = "expected role upstream; use cancel-stop for other roles"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "role"))
        return await self._change(call, body, ReturnServer(call.name, body.upstream))

    async def _repair(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, RepairBody)
        new = body.replacement
        action = RepairControl(call.name, new.name, new.zone, new.address, new.port, body.forced)
        return await self._change(call, body, action)

    async def _lift(self, call: OperatorCall) -> HttpResponse:
        body = parse_body(call.req, ChangeBody)
        return await self._change(call, body, LiftQuarantine(call.name))

    async def _change(self, call: OperatorCall, body: ChangeBody, action: Action) -> HttpResponse:
        wait = call.req.query.get("wait")
        if wait not in (None, "in_force"):
            message = "expected in_force or no value"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "wait"))
        timeout = timeout_parameter(call.req)
        leadership = require_leadership(self._host)
        status = self._host.log.status()
        responsive = self._host.log.responsive_members() | {status.host}
        down = [voter for voter in status.voters if voter not in responsive]
        change = Change(
            body.change_id,
            body.expected_revision,
            call.operator.name,
            list(status.voters),
            down,
            ACTIONS.encode(action),
        )
        (answer,) = await self._host.proposer.submit([OPERATIONS.encode(change)])
        self._metrics.record_change(answer)
        if not isinstance(answer, ChangeAccepted):
            return _refusal_response(call, change, answer)
        _log_accepted(call, answer)
        row: dict[str, object] = _accepted_row(answer)
        if wait is not None:
            status_row = await _wait_in_force(leadership, answer.version, timeout)
            row |= status_row._asdict()
        return json_response(200, row)


async def _wait_in_force(leadership: Leadership, version: int, timeout: Millis) -> InForceStatus:
    """Wait until an accepted change is in force, or this host no longer knows whether it is."""
    try:
        return await leadership.wait_in_force(version, timeout)
    except AlderhatchError:
        # The failure says that nothing was changed, but the change is accepted.
        return leadership.check_in_force(version)._replace(in_force=False)


def _accepted_row(answer: ChangeAccepted) -> dict[str, object]:
    return {
        "revision": answer.revision,
        "change_id": answer.change_id,
        "at_ms": answer.at,
        "repeated": answer.repeated,
        "changed": answer.changed,
    }


def _log_accepted(call: OperatorCall, answer: ChangeAccepted) -> None:
    log_event(
        LogEvent.CHANGE_ACCEPTED,
        who=call.operator.name,
        change_id=answer.change_id,
        revision=answer.revision,
        repeated=answer.repeated,
    )


def _refusal_response(call: OperatorCall, change: Change, answer: object) -> HttpResponse:
    if not isinstance(answer, ChangeRefused):
        message = "internal error: unexpected type of answer to a change"
        return failure_response(Failure(ErrorKind.INTERNAL, message))
    log_event(
        LogEvent.CHANGE_REFUSED,
        who=call.operator.name,
        change_id=change.change_id,
        kind=answer.kind,
        why=answer.message,
    )
    failure = Failure(ErrorKind(answer.kind), answer.message, answer.field)
    details: dict[str, object] = {"current_revision": answer.current_revision}
    if answer.faults:
        details["faults"] = [fault._asdict() for fault in answer.faults]
    if failure.kind is ErrorKind.REVISION_CONFLICT:
        details["won"] = [history_row(item) for item in answer.won]
    return failure_response(failure, repeated=answer.repeated, **details)
