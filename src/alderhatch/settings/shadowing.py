"""Finds rules that never match because an earlier rule matches all of their requests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..core.priority import Priority
from ..core.rule import HeaderMatch, When
from ..core.rule_list import RuleList


class ShadowedRule(NamedTuple):
    """A rule that never matches, and the earlier rule that shadows it."""

    position: int
    """Position of the shadowed rule, counted from 1."""
    rule: str
    """Name of the shadowed rule."""
    by_position: int
    """Position of the earlier rule, counted from 1."""
    by: str
    """Name of the earlier rule."""


def find_shadowed_rules(rules: RuleList) -> list[ShadowedRule]:
    """Return the rules whose requests are all matched by a single earlier rule.

    A rule that is shadowed only by several earlier rules together is not found.
    """
    found = []
    for later, rule in enumerate(rules.rules):
        for earlier, other in enumerate(rules.rules[:later]):
            if covers(other.when, rule.when):
                found.append(ShadowedRule(later + 1, rule.name, earlier + 1, other.name))
                break
    return found


def covers(wide: When, narrow: When) -> bool:
    """Return whether every request that matches ``narrow`` also matches ``wide``."""
    pairs = (
        (wide.kind, narrow.kind),
        (wide.upstream, narrow.upstream),
        (wide.caller, narrow.caller),
        (wide.zone, narrow.zone),
    )
    if not all(_covers_values(outer, inner) for outer, inner in pairs):
        return False
    all_priorities = set(wide.priority) == set(Priority)
    if not all_priorities and not _covers_values(wide.priority, narrow.priority):
        return False
    if wide.idempotent is not None and wide.idempotent != narrow.idempotent:
        return False
    return all(_is_implied_by_any(header, narrow.headers) for header in wide.headers)


def _covers_values(outer: Sequence[str], inner: Sequence[str]) -> bool:
    if not outer:
        return True
    return bool(inner) and set(inner) <= set(outer)


def _is_implied_by_any(header: HeaderMatch, headers_of_narrow: Sequence[HeaderMatch]) -> bool:
    return any(_implies(other, header) for other in headers_of_narrow)


def _implies(narrow: HeaderMatch, wide: HeaderMatch) -> bool:
    if narrow.name.lower() != wide.name.lower():
        return False
    if wide.equals is not None:
        return narrow.equals == wide.equals
    value = narrow.equals if narrow.equals is not None else narrow.prefix
    return wide.prefix is not None and value is not None and value.startswith(wide.prefix)
