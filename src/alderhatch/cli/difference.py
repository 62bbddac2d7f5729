"""What differs between the tier and a declaration."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from difflib import SequenceMatcher
from typing import Any, NamedTuple


class Difference(NamedTuple):
    """One difference."""

    change: str
    """``added``, ``withdrawn``, ``edited`` or ``moved``."""
    what: str
    """The rule's name, or ``tier``."""
    field: str
    """The field that is edited; empty for the rule as a whole."""
    now: object
    declared: object


def compare_rules(
    now: Sequence[Mapping[str, Any]], declared: Sequence[Mapping[str, Any]]
) -> list[Difference]:
    """Return what has to happen to the present list to make it the declared one."""
    old = {rule["name"]: (position, rule) for position, rule in enumerate(now, start=1)}
    new = {rule["name"]: (position, rule) for position, rule in enumerate(declared, start=1)}
    found = [
        Difference("withdrawn", name, "", f"place {position}", None)
        for name, (position, _) in old.items()
        if name not in new
    ]
    moved = _moved([name for name in old if name in new], [name for name in new if name in old])
    for name, (position, rule) in new.items():
        if name not in old:
            found.append(Difference("added", name, "", None, f"place {position}"))
            continue
        if name in moved:
            places = (f"place {old[name][0]}", f"place {position}")
            found.append(Difference("moved", name, "", *places))
        found += _edits(name, old[name][1], rule)
    return found


def compare_tier(now: Mapping[str, Any], declared: Mapping[str, Any]) -> list[Difference]:
    """Return which declared settings of the tier differ from the present ones."""
    return [
        Difference("edited", "tier", field, now.get(field), value)
        for field, value in declared.items()
        if now.get(field) != value
    ]


def _moved(old: list[str], new: list[str]) -> set[str]:
    """Return the fewest rules whose move turns one order into the other."""
    kept: set[str] = set()
    for block in SequenceMatcher(None, old, new, autojunk=False).get_matching_blocks():
        kept |= set(old[block.a : block.a + block.size])
    return set(old) - kept


def _edits(name: str, old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Difference]:
    flat_old, flat_new = _flat(old), _flat(new)
    return [
        Difference("edited", name, field, flat_old.get(field), flat_new.get(field))
        for field in dict.fromkeys([*flat_old, *flat_new])
        if flat_old.get(field) != flat_new.get(field)
    ]


def _flat(rule: Mapping[str, Any]) -> dict[str, Any]:
    return {
        f"{part}.{field}": value
        for part in ("when", "then")
        for field, value in rule.get(part, {}).items()
    }
