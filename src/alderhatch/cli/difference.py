"""Differences between the current configuration of a tier and a declaration file."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from difflib import SequenceMatcher
from typing import Any, NamedTuple


class Difference(NamedTuple):
    """One change that turns the current configuration into the declared one."""

    change: str
    """``added``, ``withdrawn``, ``edited`` or ``moved``."""
    what: str
    """The rule's name, or ``tier``."""
    field: str
    """The edited field; empty if the change concerns the whole rule."""
    now: object
    """The current value of the field or place of the rule; None if there is none."""
    declared: object
    """The declared value or place; None if there is none."""


def compare_rules(
    now: Sequence[Mapping[str, Any]], declared: Sequence[Mapping[str, Any]]
) -> list[Difference]:
    """Return the changes that turn the current list of rules into the declared one."""
    old = {rule["name"]: (position, rule) for position, rule in enumerate(now, start=1)}
    new = {rule["name"]: (position, rule) for position, rule in enumerate(declared, start=1)}
    differences = [
        Difference("withdrawn", name, "", f"place {position}", None)
        for name, (position, _) in old.items()
        if name not in new
    ]
    moved = _find_moved(
        [name for name in old if name in new], [name for name in new if name in old]
    )
    for name, (position, rule) in new.items():
        if name not in old:
            differences.append(Difference("added", name, "", None, f"place {position}"))
            continue
        if name in moved:
            positions = (f"place {old[name][0]}", f"place {position}")
            differences.append(Difference("moved", name, "", *positions))
        differences += _find_edited_fields(name, old[name][1], rule)
    return differences


def compare_tier(now: Mapping[str, Any], declared: Mapping[str, Any]) -> list[Difference]:
    """Return the declared tier settings that differ from the current ones."""
    return [
        Difference("edited", "tier", field, now.get(field), value)
        for field, value in declared.items()
        if now.get(field) != value
    ]


def _find_moved(old: list[str], new: list[str]) -> set[str]:
    """Return the names of the rules that have to move to turn the old order into the new one."""
    unmoved: set[str] = set()
    for block in SequenceMatcher(None, old, new, autojunk=False).get_matching_blocks():
        unmoved |= set(old[block.a : block.a + block.size])
    return set(old) - unmoved


def _find_edited_fields(
    name: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> list[Difference]:
    old_fields, new_fields = _flatten(old), _flatten(new)
    return [
        Difference("edited", name, field, old_fields.get(field), new_fields.get(field))
        for field in dict.fromkeys([*old_fields, *new_fields])
        if old_fields.get(field) != new_fields.get(field)
    ]


def _flatten(rule: Mapping[str, Any]) -> dict[str, Any]:
    return {
        f"{section}.{field}": value
        for section in ("when", "then")
        for field, value in rule.get(section, {}).items()
    }
