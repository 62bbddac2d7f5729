"""What each kind of change does to the state."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ...errors import AlderhatchError, ErrorKind, Failure
from ..rule_list import RuleList, parse_rules
from .actions import (
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
from .crash_table import CrashTable
from .feed import (
    ControlPlace,
    ControlsPatch,
    LeavingPatch,
    LeavingServer,
    Patch,
    QuarantinePatch,
    RosterPatch,
    SettingsPatch,
    rules_patch,
)
from .host_table import HostTable, Quorum
from .roster import control_places, roster_row
from .rule_store import Author, RuleStore
from .tier_settings import TierSettings, merge_settings, settings_to_plain

MAX_NAMED = 5
"""Entries that a refusal names at most."""


class ChangeableState(Protocol):
    """The part of the state that operators change."""

    settings: TierSettings
    rule_store: RuleStore
    hosts: HostTable
    crashes: CrashTable


class ChangeOutcome(NamedTuple):
    """What a change that was taken did."""

    changed: bool
    target: str
    """The rule, setting or host that it is about."""
    summary: str
    patches: tuple[Patch, ...] = ()
    """What entries are told of it."""


def apply_action(
    state: ChangeableState, action: Action, author: Author, quorum: Quorum
) -> ChangeOutcome:
    """Carry out one action, wholly or not at all.

    Args:
        state: The state, which is changed.
        action: What to do.
        author: Who does it, for the rules' history.
        quorum: The control hosts as the leader knew them.

    Raises:
        AlderhatchError: With the kind and field if the action does not fit the state.
        RuleFaultsError: With every mistake of a rule or list of rules.
    """
    match action:
        case AddRule(rule, position):
            name = str(rule.get("name", ""))
            after = state.rule_store.add(rule, position)
            return _adopt(state, after, author, name, f"added rule {name}")
        case EditRule(name, rule):
            after = state.rule_store.edit(name, rule)
            return _adopt(state, after, author, name, f"edited rule {name}")
        case MoveRule(name, position):
            after = state.rule_store.move(name, position)
            return _adopt(state, after, author, name, f"moved rule {name} to {position}")
        case WithdrawRule(name):
            after = state.rule_store.withdraw(name)
            return _adopt(state, after, author, name, f"withdrew rule {name}")
        case ReplaceRules(rows):
            after = parse_rules(rows)
            summary = f"replaced the list by {len(rows)} rules"
            return _adopt(state, after, author, "rules", summary)
        case ChangeSettings(fields):
            return _change_settings(state, fields)
        case LiftQuarantine(fingerprint):
            return _lift(state, fingerprint)
        case _:
            before = control_places(state.hosts)
            outcome = _apply_host_action(state.hosts, action, author, quorum)
            return _with_controls(outcome, before, control_places(state.hosts))


def _adopt(
    state: ChangeableState, after: RuleList, author: Author, target: str, summary: str
) -> ChangeOutcome:
    before = state.rule_store.rules
    if before.to_plain() == after.to_plain():
        return ChangeOutcome(False, target, summary)
    state.rule_store.adopt(after, author)
    return ChangeOutcome(True, target, summary, (rules_patch(before, after),))


def _change_settings(state: ChangeableState, fields: dict[str, object]) -> ChangeOutcome:
    target = ", ".join(sorted(fields))
    settings = merge_settings(state.settings, fields)
    if settings == state.settings:
        return ChangeOutcome(False, target, "changed no setting")
    if settings.owners_per_server not in (0, state.settings.owners_per_server):
        _check_links(state.hosts)
    state.settings = settings
    values = ", ".join(f"{name} = {getattr(settings, name)}" for name in sorted(fields))
    patch = SettingsPatch(settings_to_plain(settings))
    return ChangeOutcome(True, target, f"set {values}", (patch,))


def _check_links(hosts: HostTable) -> None:
    # An entry without links owns nothing and reaches no owner. Once others go by owners it would
    # refuse every query, seen only by its callers, as the change itself went well.
    without = sorted(name for name, entry in hosts.entries.items() if not entry.link_port)
    if not without:
        return
    named = ", ".join(without[:MAX_NAMED])
    message = f"{len(without)} entries have no links in their settings: {named}"
    field = "settings.owners_per_server"
    raise AlderhatchError(Failure(ErrorKind.INVALID_CHANGE, message, field))


def _lift(state: ChangeableState, fingerprint: str) -> ChangeOutcome:
    if not state.crashes.lift(fingerprint):
        failure = Failure(ErrorKind.NOT_FOUND, f"{fingerprint!r} is not quarantined", "fingerprint")
        raise AlderhatchError(failure)
    patch = QuarantinePatch([], [fingerprint])
    return ChangeOutcome(True, fingerprint, f"lifted quarantine {fingerprint}", (patch,))


def _apply_host_action(
    hosts: HostTable, action: Action, author: Author, quorum: Quorum
) -> ChangeOutcome:
    match action:
        case PlanStop(host, forced):
            changed = hosts.plan_stop(action, quorum)
            return _host_outcome(hosts, changed, host, f"planned the stop of {host}", forced)
        case CancelStop(host):
            changed = hosts.cancel_stop(action)
            return _host_outcome(hosts, changed, host, f"cancelled the stop of {host}")
        case DepartHost(host, HostRole.UPSTREAM, upstream, _):
            changed = hosts.depart(action, quorum, author.at)
            leaving = LeavingPatch([LeavingServer(upstream, host)], [])
            summary = f"server {host} of {upstream} leaves"
            return ChangeOutcome(changed, host, summary, (leaving,))
        case DepartHost(host, role, _, forced):
            changed = hosts.depart(action, quorum, author.at)
            return _host_outcome(hosts, changed, host, f"{role} {host} departs", forced)
        case ReturnServer(server, upstream):
            changed = hosts.return_server(action)
            returned = LeavingPatch([], [LeavingServer(upstream, server)])
            summary = f"server {server} of {upstream} returns"
            return ChangeOutcome(changed, server, summary, (returned,))
        case RepairControl(host, replacement, forced=forced):
            changed = hosts.repair(action, quorum)
            summary = f"{replacement} takes the place of {host}"
            return _host_outcome(hosts, changed, host, summary, forced)
        case _:
            raise AssertionError(f"no host action: {action!r}")


def _host_outcome(
    hosts: HostTable, changed: bool, host: str, summary: str, forced: bool = False
) -> ChangeOutcome:
    patches: tuple[Patch, ...] = ()
    if host in hosts.entries:
        patches = (RosterPatch([roster_row(hosts, host)], []),)
    return ChangeOutcome(changed, host, summary + (" (forced)" if forced else ""), patches)


def _with_controls(
    outcome: ChangeOutcome, before: list[ControlPlace], after: list[ControlPlace]
) -> ChangeOutcome:
    if before == after:
        return outcome
    return outcome._replace(patches=(*outcome.patches, ControlsPatch(after)))
