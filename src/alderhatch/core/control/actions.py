"""What an operator may ask for: one message type for each kind of change."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ...codec import Codec


class HostRole(StrEnum):
    """The kinds of host that an operator may send away."""

    ENTRY = "entry"
    CONTROL = "control"
    UPSTREAM = "upstream"


class AddRule(NamedTuple):
    """Put a new rule into the list."""

    rule: dict[str, Any]
    position: int | None
    """Counted from 1; None is the end."""


class EditRule(NamedTuple):
    """Give a rule other conditions or another treatment; it keeps its place."""

    name: str
    rule: dict[str, Any]


class MoveRule(NamedTuple):
    """Put a rule at another place."""

    name: str
    position: int


class WithdrawRule(NamedTuple):
    """Take a rule out of the list; its history stays."""

    name: str


class ReplaceRules(NamedTuple):
    """Put another list in the place of the whole list."""

    rules: list[dict[str, Any]]


class ChangeSettings(NamedTuple):
    """Change some of the settings of the whole tier."""

    settings: dict[str, Any]


class PlanStop(NamedTuple):
    """Plan the stop of an entry or a control host."""

    host: str
    forced: bool


class CancelStop(NamedTuple):
    """Take back a planned stop or departure."""

    host: str


class DepartHost(NamedTuple):
    """Declare that a host leaves for good."""

    host: str
    """The host's name; for an upstream the id of one of its servers."""
    role: HostRole
    upstream: str
    """The upstream's name; empty for other roles."""
    forced: bool


class ReturnServer(NamedTuple):
    """Take back the departure of an upstream's server."""

    server: str
    upstream: str


class RepairControl(NamedTuple):
    """Declare that a control host is replaced by a new identity with an empty disk."""

    host: str
    replacement: str
    zone: str
    address: str
    port: int
    forced: bool


class LiftQuarantine(NamedTuple):
    """End a quarantine before its time."""

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
"""Turns actions into bytes and back."""

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
    """Return the name of an action's kind as the history shows it."""
    return _SNAKE_CASE[type(action)]
