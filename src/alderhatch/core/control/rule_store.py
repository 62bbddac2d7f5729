"""The rule list under change: every step keeps the order checked and each rule's history."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from typing import Any, NamedTuple

from ...clock import Millis
from ...errors import AlderhatchError, ErrorKind, Failure
from ..rule_list import RuleList, parse_rules, rule_to_plain

EVENTS_PER_RULE = 32
"""How many events of each rule are kept."""
MAX_NAMES = 4096
"""How many names keep a history; the longest withdrawn go first."""


class RuleEvent(NamedTuple):
    """What happened to one rule."""

    revision: int
    at: Millis
    who: str
    change_id: str
    action: str
    """``added``, ``edited``, ``moved`` or ``withdrawn``."""


class Author(NamedTuple):
    """Who makes a change, and under which number."""

    revision: int
    at: Millis
    who: str
    change_id: str


class RuleStore:
    """The rules in force, with the history of each name, withdrawn ones included."""

    def __init__(self) -> None:
        self.rules = RuleList()
        """The rules in force."""
        self._events: OrderedDict[str, list[RuleEvent]] = OrderedDict()

    def position(self, name: str) -> int | None:
        """Return a rule's place, counted from 1, or None if there is no such rule."""
        for index, rule in enumerate(self.rules.rules, start=1):
            if rule.name == name:
                return index
        return None

    def events(self, name: str) -> tuple[RuleEvent, ...]:
        """Return what is kept of a name's history, oldest first."""
        return tuple(self._events.get(name, ()))

    def add(self, rule: dict[str, Any], position: int | None) -> RuleList:
        """Return the list with one rule more.

        Raises:
            AlderhatchError: ``invalid_change`` if the place is not in the list.
            RuleFaultsError: If the rule has mistakes or its name is taken.
        """
        rows = self.rules.to_plain()
        index = len(rows) if position is None else _index(position, len(rows) + 1)
        return parse_rules([*rows[:index], rule, *rows[index:]])

    def edit(self, name: str, rule: dict[str, Any]) -> RuleList:
        """Return the list with one rule changed in its place.

        Raises:
            AlderhatchError: ``not_found``, or ``invalid_change`` if the rule has another name.
            RuleFaultsError: If the rule has mistakes.
        """
        index = self._index_of(name)
        if rule.get("name") != name:
            raise _invalid("rule.name", f"the name has to stay {name!r}")
        rows = self.rules.to_plain()
        return parse_rules([*rows[:index], rule, *rows[index + 1 :]])

    def move(self, name: str, position: int) -> RuleList:
        """Return the list with one rule at another place.

        Raises:
            AlderhatchError: ``not_found``, or ``invalid_change`` if the place is not in the list.
        """
        index = self._index_of(name)
        rules = list(self.rules.rules)
        target = _index(position, len(rules))
        rules.insert(target, rules.pop(index))
        return RuleList(rules)

    def withdraw(self, name: str) -> RuleList:
        """Return the list without one rule.

        Raises:
            AlderhatchError: ``not_found`` if there is no such rule.
        """
        index = self._index_of(name)
        rules = self.rules.rules
        return RuleList([*rules[:index], *rules[index + 1 :]])

    def adopt(self, rules: RuleList, author: Author) -> None:
        """Put a list in force and note what happened to each of its rules."""
        before = self.rules
        for name, action in _differences(before, rules):
            self._note(name, RuleEvent(*author, action))
        self.rules = rules
        self._forget_oldest()

    def to_plain(self) -> dict[str, Any]:
        """Return the whole state as plain maps and lists."""
        events = [[name, [list(event) for event in kept]] for name, kept in self._events.items()]
        return {"rules": self.rules.to_plain(), "events": events}

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> RuleStore:
        """Return the state that ``to_plain`` gave."""
        book = cls()
        book.rules = parse_rules(plain["rules"])
        for name, kept in plain["events"]:
            book._events[name] = [RuleEvent(*event) for event in kept]
        return book

    def _index_of(self, name: str) -> int:
        position = self.position(name)
        if position is None:
            failure = Failure(ErrorKind.NOT_FOUND, f"there is no rule {name!r}", "name")
            raise AlderhatchError(failure)
        return position - 1

    def _note(self, name: str, event: RuleEvent) -> None:
        kept = self._events.setdefault(name, [])
        kept.append(event)
        del kept[:-EVENTS_PER_RULE]
        self._events.move_to_end(name)

    def _forget_oldest(self) -> None:
        # Generated names would otherwise let the history of withdrawn rules grow without end.
        in_force = {rule.name for rule in self.rules.rules}
        for name in list(self._events):
            if len(self._events) <= MAX_NAMES:
                return
            if name not in in_force:
                del self._events[name]


def _index(position: int, limit: int) -> int:
    if not 1 <= position <= limit:
        raise _invalid("position", f"{position} is not from 1 to {limit}")
    return position - 1


def _invalid(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.INVALID_CHANGE, message, field))


def _differences(before: RuleList, after: RuleList) -> Sequence[tuple[str, str]]:
    old = {rule.name: rule for rule in before.rules}
    new = {rule.name: rule for rule in after.rules}
    found = [(name, "withdrawn") for name in old if name not in new]
    for name, rule in new.items():
        if name not in old:
            found.append((name, "added"))
        elif rule_to_plain(old[name]) != rule_to_plain(rule):
            found.append((name, "edited"))
    return found + [(name, "moved") for name in _moved(list(old), list(new))]


def _moved(old: list[str], new: list[str]) -> list[str]:
    """Return the names, present in both lists, that stand elsewhere among the others.

    One rule that moves shifts all that it passes. Taking it out and comparing the rest tells it
    from those; where more than one moved, all that stand elsewhere are named.
    """
    kept_old = [name for name in old if name in set(new)]
    kept_new = [name for name in new if name in set(old)]
    if kept_old == kept_new:
        return []
    first = next(i for i, pair in enumerate(zip(kept_old, kept_new, strict=True)) if _differ(pair))
    for name in (kept_new[first], kept_old[first]):
        if [n for n in kept_old if n != name] == [n for n in kept_new if n != name]:
            return [name]
    return [
        new_name
        for old_name, new_name in zip(kept_old, kept_new, strict=True)
        if old_name != new_name
    ]


def _differ(pair: tuple[str, str]) -> bool:
    return pair[0] != pair[1]
