"""Finds rules that never match, because an earlier rule takes all that they would."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..core.priority import Priority
from ..core.rule import HeaderMatch, When
from ..core.rule_list import RuleList


class Shadowed(NamedTuple):
    """A rule that never matches."""

    position: int
    """Counted from 1."""
    rule: str
    by_position: int
    by: str
    """The name of the earlier rule that takes everything."""


def find_shadowed(rules: RuleList) -> list[Shadowed]:
    """Return the rules of which one earlier rule takes every request.

    A rule that is covered only by several earlier ones together is not found.
    """
    found = []
    for later, rule in enumerate(rules.rules):
        for earlier, other in enumerate(rules.rules[:later]):
            if takes_all(other.when, rule.when):
                found.append(Shadowed(later + 1, rule.name, earlier + 1, other.name))
                break
    return found


def takes_all(wide: When, narrow: When) -> bool:
    """Return whether every request that fits ``narrow`` also fits ``wide``."""
    pairs = (
        (wide.kind, narrow.kind),
        (wide.upstream, narrow.upstream),
        (wide.caller, narrow.caller),
        (wide.zone, narrow.zone),
    )
    if not all(_words_include(outer, inner) for outer, inner in pairs):
        return False
    every = set(wide.priority) == set(Priority)
    if not every and not _words_include(wide.priority, narrow.priority):
        return False
    if wide.idempotent is not None and wide.idempotent != narrow.idempotent:
        return False
    return all(_is_implied(header, narrow.headers) for header in wide.headers)


def _words_include(outer: Sequence[str], inner: Sequence[str]) -> bool:
    if not outer:
        return True
    return bool(inner) and set(inner) <= set(outer)


def _is_implied(header: HeaderMatch, given: Sequence[HeaderMatch]) -> bool:
    return any(_implies(other, header) for other in given)


def _implies(narrow: HeaderMatch, wide: HeaderMatch) -> bool:
    if narrow.name.lower() != wide.name.lower():
        return False
    if wide.equals is not None:
        return narrow.equals == wide.equals
    value = narrow.equals if narrow.equals is not None else narrow.prefix
    return wide.prefix is not None and value is not None and value.startswith(wide.prefix)
