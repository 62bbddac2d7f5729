"""The actions of operators: one message type for each kind of change."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ...codec import Codec


class HostRole(StrEnum):
    """The roles of hosts that an operator can declare as departed."""

    ENTRY = "entry"
    CONTROL = "control"
    UPSTREAM = "upstream"


class AddRule(NamedTuple):
    """Insert a new rule."""

    rule: dict[str, Any]
    position: int | None
    """Counted from 1; None appends the rule."""


class EditRule(NamedTuple):
    """Replace the conditions and treatment of a rule; its position stays."""

    name: str
    rule: dict[str, Any]


class MoveRule(NamedTuple):
    """Move a rule to another position."""

    name: str
    position: int


class WithdrawRule(NamedTuple):
    """Remove a rule; its history is kept."""

    name: str


class ReplaceRules(NamedTuple):
    """Replace the whole list of rules."""

    rules: list[dict[str, Any]]


class ChangeSettings(NamedTuple):
    """Change some of the tier-wide settings."""

    settings: dict[str, Any]


class PlanStop(NamedTuple):
    """Announce the planned stop of an entry or a control host."""

    host: str
    forced: bool


class CancelStop(NamedTuple):
    """Cancel a planned stop or a departure."""

    host: str


class DepartHost(NamedTuple):
    """Declare that a host leaves permanently."""

    host: str
    """The host's name; for the role ``upstream`` the ID of one of its servers."""
    role: HostRole
    upstream: str
    """The upstream's name; empty for other roles."""
    forced: bool


class ReturnServer(NamedTuple):
    """Cancel the departure of a server."""

    server: str
    upstream: str


class RepairControl(NamedTuple):
    """Replace a control host by a new member that starts with an empty disk."""

    host: str
    replacement: str
    zone: str
    address: str
    port: int
    forced: bool


class LiftQuarantine(NamedTuple):
    """End a quarantine before it expires."""

    fingerprint: str


Action: TypeAlias = (
    AddRule
    | EditRule
    | MoveRule
    | WithdrawRule
    | ReplaceRules
    | ChangeSettings
    | PlanStop
    | CancelStop
    | DepartHost
    | ReturnServer
    | RepairControl
    | LiftQuarantine
)

ACTIONS = Codec(
    AddRule,
    EditRule,
    MoveRule,
    WithdrawRule,
    ReplaceRules,
    ChangeSettings,
    PlanStop,
    CancelStop,
    DepartHost,
    ReturnServer,
    RepairControl,
    LiftQuarantine,
)
"""Encodes and decodes actions."""

_SNAKE_CASE = {
    AddRule: "add_rule",
    EditRule: "edit_rule",
    MoveRule: "move_rule",
    WithdrawRule: "withdraw_rule",
    ReplaceRules: "replace_rules",
    ChangeSettings: "change_settings",
    PlanStop: "plan_stop",
    CancelStop: "cancel_stop",
    DepartHost: "depart_host",
    ReturnServer: "return_server",
    RepairControl: "repair_control",
    LiftQuarantine: "lift_quarantine",
}


def action_name(action: Action) -> str:
    """Return the name of an action's type as shown in the history."""
    return _SNAKE_CASE[type(action)]
