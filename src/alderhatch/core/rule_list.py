"""The ordered list of rules; the first rule that matches a request applies."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from pydantic import TypeAdapter, ValidationError

from .request import Request
from .rule import Refuse, Rule, Serve, When

MAX_RULES = 1000
DEFAULT_RULE = Rule(name="default", then=Serve(), when=When())
"""The rule for a request that no other rule matches."""

_RULE = TypeAdapter(Rule)


class RuleFault(NamedTuple):
    """One error in a list of rules."""

    position: int
    """The position of the rule in the list, counted from 1; 0 for the list as a whole."""
    rule: str
    """The name of the rule, or an empty string if it has none."""
    field: str
    """The dotted path of the invalid field."""
    message: str

    def __str__(self) -> str:
        return f"rule {self.position} ({self.rule or 'unnamed'}): {self.field}: {self.message}"


class RuleFaultsError(Exception):
    """A list of rules has errors and is rejected as a whole."""

    def __init__(self, faults: Sequence[RuleFault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class Explanation(NamedTuple):
    """The rule that applies to a request, and why the earlier rules do not."""

    rule: Rule
    position: int
    """Counted from 1; 0 if no rule matched and the default applies."""
    passed_over: tuple[tuple[str, str], ...]
    """The name of each earlier rule and its first condition that did not hold."""


class RuleList:
    """An immutable list of rules in the order in which they are matched."""

    def __init__(self, rules: Sequence[Rule] = ()) -> None:
        self.rules = tuple(rules)

    def match(self, request: Request) -> Rule:
        """Return the first rule whose conditions all hold, or the default."""
        for rule in self.rules:
            if rule.when.mismatch(request) is None:
                return rule
        return DEFAULT_RULE

    def explain(self, request: Request) -> Explanation:
        """Return the rule that ``match`` returns, and why each earlier rule does not apply."""
        passed_over: list[tuple[str, str]] = []
        for position, rule in enumerate(self.rules, start=1):
            mismatch = rule.when.mismatch(request)
            if mismatch is None:
                return Explanation(rule, position, tuple(passed_over))
            passed_over.append((rule.name, mismatch))
        return Explanation(DEFAULT_RULE, 0, tuple(passed_over))

    def to_plain(self) -> list[dict[str, object]]:
        """Return the rules as plain dicts and lists that ``parse_rules`` accepts."""
        return [rule_to_plain(rule) for rule in self.rules]


def rule_to_plain(rule: Rule) -> dict[str, object]:
    """Return one rule as plain dicts and lists."""
    plain: dict[str, object] = _RULE.dump_python(rule, mode="json")
    return plain


def parse_rules(raw: object) -> RuleList:
    """Parse and validate a list of rules as read from TOML, JSON or CBOR.

    Args:
        raw: A list of tables, each with ``name``, ``when`` and ``then``.

    Returns:
        The rules in the order of the list.

    Raises:
        RuleFaultsError: If the list is invalid; it has every error with its position and field.
    """
    if not isinstance(raw, list | tuple):
        raise RuleFaultsError([RuleFault(0, "", "rule", "expected a list of rules")])
    if len(raw) > MAX_RULES:
        raise RuleFaultsError([RuleFault(0, "", "rule", f"more than {MAX_RULES} rules")])
    faults: list[RuleFault] = []
    rules: list[Rule] = []
    names: set[str] = set()
    for position, raw_rule in enumerate(raw, start=1):
        rule, found = _parse_one(position, raw_rule)
        faults += found
        if rule is None:
            continue
        if rule.name in names:
            faults.append(RuleFault(position, rule.name, "name", "another rule has this name"))
        names.add(rule.name)
        rules.append(rule)
    if faults:
        raise RuleFaultsError(faults)
    return RuleList(rules)


def _parse_one(position: int, raw_rule: object) -> tuple[Rule | None, list[RuleFault]]:
    name = raw_rule.get("name", "") if isinstance(raw_rule, dict) else ""
    name = name if isinstance(name, str) else ""
    try:
        rule = _RULE.validate_python(raw_rule)
    except ValidationError as exc:
        return None, _validation_faults(position, name, raw_rule, exc)
    return rule, [RuleFault(position, name, *fault) for fault in _cross_checks(rule)]


def _validation_faults(
    position: int, name: str, raw_rule: object, exc: ValidationError
) -> list[RuleFault]:
    # A "then" is validated both as Serve and as Refuse; only the errors of the intended form are
    # reported.
    then = raw_rule.get("then") if isinstance(raw_rule, dict) else None
    other_form = "Serve" if isinstance(then, dict) and "refuse" in then else "Refuse"
    faults = []
    for error in exc.errors():
        parts = [str(part) for part in error["loc"]]
        if other_form in parts:
            continue
        path = ".".join(part for part in parts if part not in ("Serve", "Refuse"))
        faults.append(RuleFault(position, name, path or "rule", error["msg"]))
    return faults


def _cross_checks(rule: Rule) -> list[tuple[str, str]]:
    faults = []
    for index, header in enumerate(rule.when.headers):
        if (header.equals is None) == (header.prefix is None):
            message = "expected exactly one of equals and prefix"
            faults.append((f"when.headers.{index}", message))
    match rule.then:
        case Serve(coverage=coverage, min_coverage=minimum) if minimum > coverage:
            faults.append(("then.min_coverage", "is more than the coverage in then.coverage"))
        case Serve() | Refuse():
            pass
    return faults
