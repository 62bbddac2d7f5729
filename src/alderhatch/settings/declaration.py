"""Reads a declaration: the rules and tier-wide settings that a team keeps in version control."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import orjson
from pydantic import TypeAdapter, ValidationError

from ..core.control.tier_settings import TierSettings
from ..core.rule import Rule
from ..core.rule_list import RuleFault, RuleFaultsError, RuleList, parse_rules
from .allowed_values import AllowedValues, nearest
from .fault import SettingsFault, SettingsFaultsError
from .key_lines import KeyPath
from .loader import TomlFile, dotted, read_toml, to_settings_fault
from .shadowing import find_shadowed

_RULE_KEY = "rule"
_TIER_KEY = "tier"
_WRONG_TYPE = "input should be a valid"
"""How pydantic begins to say that a value is of another type."""
_WRONG_FORM = "Unexpected keyword argument"
"""What pydantic says of a key that a dataclass does not have."""


class Declaration(NamedTuple):
    """What a declaration file says."""

    rules: RuleList
    tier: dict[str, Any]
    """The settings of the whole tier that the file gives; those it leaves out stay as they are."""
    warnings: tuple[SettingsFault, ...]
    """What is allowed, but most likely not meant."""


def load_declaration(path: Path) -> Declaration:
    """Read and check a declaration.

    Args:
        path: A TOML file with one ``[[rule]]`` table for each rule, in their order, and at most
            one ``[tier]`` table.

    Raises:
        SettingsFaultsError: With every mistake.
    """
    file = read_toml(path)
    faults = [
        file.fault((key,), "unknown key", f"[[{_RULE_KEY}]] tables and one [{_TIER_KEY}] table")
        for key in file.raw
        if key not in (_RULE_KEY, _TIER_KEY)
    ]
    tier = file.raw.get(_TIER_KEY, {})
    faults += _tier_faults(file, tier)
    rules = RuleList()
    try:
        rules = parse_rules(file.raw.get(_RULE_KEY, []))
    except RuleFaultsError as exc:
        faults += _located(file, exc.faults)
    if faults:
        raise SettingsFaultsError(sorted(faults, key=lambda fault: fault.line))
    return Declaration(rules, tier, tuple(_warnings(file, rules)))


def _tier_faults(file: TomlFile, tier: object) -> list[SettingsFault]:
    adapter = TypeAdapter(TierSettings)
    try:
        adapter.validate_json(orjson.dumps(tier), strict=True)
    except ValidationError as exc:
        allowed = AllowedValues(adapter.json_schema())
        return [to_settings_fault(file, allowed, error, (_TIER_KEY,)) for error in exc.errors()]
    return []


def _located(file: TomlFile, faults: tuple[RuleFault, ...]) -> list[SettingsFault]:
    allowed = AllowedValues(TypeAdapter(Rule).json_schema())
    located = []
    for fault in faults:
        inner = _path_of(fault.field)
        path: KeyPath = (_RULE_KEY, fault.position - 1, *inner)
        message, may_be = _reworded(fault, inner, allowed)
        name = fault.rule or "unnamed"
        place = dotted(inner) or fault.field
        key = f"rule {fault.position} ({name}): {place}" if fault.position else place
        located.append(file.fault(path, message, may_be)._replace(key=key))
    return located


def _path_of(field: str) -> KeyPath:
    if field == "rule":
        return ()
    return tuple(int(part) if part.isdigit() else part for part in field.split("."))


def _reworded(fault: RuleFault, path: KeyPath, allowed: AllowedValues) -> tuple[str, str]:
    message = fault.message[:1].lower() + fault.message[1:]
    if message.startswith(_WRONG_TYPE):
        message = "is of the wrong type"
    if not path:
        return message, ""
    keys = allowed.keys(path[:-1])
    if fault.message == _WRONG_FORM and path[-1] in keys:
        forms = allowed.forms(path[:-1])
        return "does not go with the other keys", " or ".join(", ".join(form) for form in forms)
    if str(path[-1]) in keys or isinstance(path[-1], int):
        return message, allowed.describe(path)
    close = nearest(str(path[-1]), keys)
    hint = f"unknown key; did you mean {close}?" if close else "unknown key"
    return hint, ", ".join(keys)


def _warnings(file: TomlFile, rules: RuleList) -> list[SettingsFault]:
    warnings = []
    for shadowed in find_shadowed(rules):
        path: KeyPath = (_RULE_KEY, shadowed.position - 1)
        earlier = f"rule {shadowed.by_position} ({shadowed.by})"
        message = f"never matches: {earlier} already takes every request that it would"
        key = f"rule {shadowed.position} ({shadowed.rule})"
        warnings.append(file.fault(path, message)._replace(key=key))
    return warnings
