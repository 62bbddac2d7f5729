"""Reads declarations: rules and tier-wide settings that are kept in version control."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import orjson
from pydantic import TypeAdapter, ValidationError

from ..core.control.tier_settings import TierSettings
from ..core.rule import Rule
from ..core.rule_list import RuleFault, RuleFaultsError, RuleList, parse_rules
from .allowed_values import AllowedValues, closest_match
from .fault import SettingsFault, SettingsFaultsError
from .key_lines import KeyPath
from .loader import TomlFile, format_path, read_toml, to_settings_fault
from .shadowing import find_shadowed_rules

_RULE_KEY = "rule"
_TIER_KEY = "tier"
_WRONG_TYPE_PREFIX = "input should be a valid"
"""Start of pydantic's message for a value of the wrong type, with a lower-case first letter."""
_UNEXPECTED_KEY_MESSAGE = "Unexpected keyword argument"
"""Pydantic's message for a key that a dataclass does not have."""


class Declaration(NamedTuple):
    """The contents of a declaration file."""

    rules: RuleList
    tier: dict[str, Any]
    """Tier-wide settings in the file; settings that are not in the file stay unchanged."""
    warnings: tuple[SettingsFault, ...]
    """Valid contents that are probably unintended."""


def load_declaration(path: Path) -> Declaration:
    """Read and validate a declaration.

    Args:
        path: A TOML file with one ``[[rule]]`` table for each rule, in order of precedence, and at
            most one ``[tier]`` table.

    Raises:
        SettingsFaultsError: With all errors in the file.
    """
    file = read_toml(path)
    faults = [
        file.fault((key,), "unknown key", f"[[{_RULE_KEY}]] tables and one [{_TIER_KEY}] table")
        for key in file.raw
        if key not in (_RULE_KEY, _TIER_KEY)
    ]
    tier = file.raw.get(_TIER_KEY, {})
    faults += _check_tier_settings(file, tier)
    rules = RuleList()
    try:
        rules = parse_rules(file.raw.get(_RULE_KEY, []))
    except RuleFaultsError as exc:
        faults += _to_settings_faults(file, exc.faults)
    if faults:
        raise SettingsFaultsError(sorted(faults, key=lambda fault: fault.line))
    return Declaration(rules, tier, tuple(_find_warnings(file, rules)))


def _check_tier_settings(file: TomlFile, tier: object) -> list[SettingsFault]:
    adapter = TypeAdapter(TierSettings)
    try:
        adapter.validate_json(orjson.dumps(tier), strict=True)
    except ValidationError as exc:
        allowed = AllowedValues(adapter.json_schema())
        return [to_settings_fault(file, allowed, error, (_TIER_KEY,)) for error in exc.errors()]
    return []


def _to_settings_faults(file: TomlFile, faults: tuple[RuleFault, ...]) -> list[SettingsFault]:
    allowed = AllowedValues(TypeAdapter(Rule).json_schema())
    located = []
    for fault in faults:
        relative_path = _parse_path(fault.field)
        path: KeyPath = (_RULE_KEY, fault.position - 1, *relative_path)
        message, allowed_text = _describe_fault(fault, relative_path, allowed)
        name = fault.rule or "unnamed"
        field_path = format_path(relative_path) or fault.field
        key = f"rule {fault.position} ({name}): {field_path}" if fault.position else field_path
        located.append(file.fault(path, message, allowed_text)._replace(key=key))
    return located


def _parse_path(field: str) -> KeyPath:
    if field == "rule":
        return ()
    return tuple(int(part) if part.isdigit() else part for part in field.split("."))


def _describe_fault(fault: RuleFault, path: KeyPath, allowed: AllowedValues) -> tuple[str, str]:
    message = fault.message[:1].lower() + fault.message[1:]
    if message.startswith(_WRONG_TYPE_PREFIX):
        message = "is of the wrong type"
    if not path:
        return message, ""
    keys = allowed.keys(path[:-1])
    if fault.message == _UNEXPECTED_KEY_MESSAGE and path[-1] in keys:
        variants = allowed.variants(path[:-1])
        return "can't be combined with the other keys", " or ".join(
            ", ".join(variant) for variant in variants
        )
    if str(path[-1]) in keys or isinstance(path[-1], int):
        return message, allowed.describe(path)
    suggestion = closest_match(str(path[-1]), keys)
    hint = f"unknown key; did you mean {suggestion}?" if suggestion else "unknown key"
    return hint, ", ".join(keys)


def _find_warnings(file: TomlFile, rules: RuleList) -> list[SettingsFault]:
    warnings = []
    for shadowed in find_shadowed_rules(rules):
        path: KeyPath = (_RULE_KEY, shadowed.position - 1)
        earlier = f"rule {shadowed.by_position} ({shadowed.by})"
        message = f"never matches: {earlier} matches every request that it would match"
        key = f"rule {shadowed.position} ({shadowed.rule})"
        warnings.append(file.fault(path, message)._replace(key=key))
    return warnings
