from __future__ import annotations

import random
import tempfile
from pathlib import Path

from behave import given, then, when

from alderhatch.core.priority import Priority
from alderhatch.core.request import Request
from alderhatch.core.rule import HeaderMatch, Rule, Serve, When
from alderhatch.core.rule_list import RuleList
from alderhatch.settings.declaration import load_declaration
from alderhatch.settings.fault import SettingsFaultsError
from alderhatch.settings.shadowing import find_shadowed_rules

DECLARATION = """[[rule]]
name = "conflict-check"
[rule.when]
kind = "conflict-check"
priority = "urgent"
headers = [{ name = "x-a", equals = "b" }]
[rule.then]
coverage = 0.99
min_coverage = 0.9
zone = "any_zone"

[[rule]]
name = "rest"
[rule.then]
refuse = "no"
"""


def _write(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.declaration_path = Path(folder.name) / "rules.toml"
    context.declaration_path.write_text(text)


@given('a declaration of two rules in which "{text}" reads "{instead}"')
def step_modified_declaration(context, text, instead):
    assert DECLARATION.count(text) == 1
    _write(context, DECLARATION.replace(text, instead.replace("\\n", "\n")))


@given('a declaration with the tier setting "{setting}"')
def step_tier_setting(context, setting):
    _write(context, f"[tier]\n{setting}\n{DECLARATION}")


def _to_toml_list(cell):
    return "[" + ", ".join(f'"{word.strip()}"' for word in cell.split(",")) + "]"


def _rule_toml(row):
    lines = ["[[rule]]", f'name = "{row["name"]}"', "[rule.when]"]
    lines += [
        f"{key} = {_to_toml_list(row[key])}" for key in ("kind", "upstream", "priority") if row[key]
    ]
    if row["idempotent"]:
        lines.append(f"idempotent = {row['idempotent']}")
    if row["header"]:
        name, value = row["header"].split("=")
        test = f'prefix = "{value[:-1]}"' if value.endswith("*") else f'equals = "{value}"'
        lines.append(f'headers = [{{ name = "{name}", {test} }}]')
    return "\n".join([*lines, "[rule.then]", "coverage = 1.0", ""])


@given("a declaration with these rules")
def step_declaration_of_rules(context):
    _write(context, "\n".join(_rule_toml(row) for row in context.table))


@when("the declaration is loaded")
def step_load_declaration(context):
    context.declaration_faults = ()
    try:
        context.declaration = load_declaration(context.declaration_path)
    except SettingsFaultsError as exc:
        context.declaration_faults = exc.faults


@then(
    'the declaration has a fault at line {line:d}, key "{key}", that says "{message}" and allows "{allowed}"'  # noqa: E501
)
def step_declaration_fault(context, line, key, message, allowed):
    found = [str(fault) for fault in context.declaration_faults]
    assert len(found) == 1, found
    fault = context.declaration_faults[0]
    assert (fault.line, fault.key) == (line, key), found
    assert message in fault.message and allowed in fault.allowed, found


@then("the declaration warns that these rules never match")
def step_warnings(context):
    assert context.declaration_faults == (), context.declaration_faults
    rules = context.declaration.rules
    found = [(shadowed.rule, shadowed.by) for shadowed in find_shadowed_rules(rules)]
    assert found == [(row["rule"], row["shadowed by"]) for row in context.table], found
    warned_rules = [fault.key.split("(")[1].rstrip(")") for fault in context.declaration.warnings]
    assert warned_rules == [rule for rule, _ in found]
    assert all(fault.line for fault in context.declaration.warnings)


def _random_subset(rng, words):
    return tuple(rng.sample(words, rng.choice((0, 0, 1, 2, len(words)))))


def _random_when(rng):
    header = HeaderMatch("X-Unit", *rng.choice((("r1", None), (None, "r"), ("s", None))))
    return When(
        kind=_random_subset(rng, ["route", "log"]),
        upstream=_random_subset(rng, ["navigator", "deskline"]),
        priority=_random_subset(rng, list(Priority)),
        idempotent=rng.choice((None, None, True, False)),
        headers=rng.choice(((), (), (header,))),
    )


def _random_request(rng):
    return Request(
        request_id="1",
        caller="robot",
        kind=rng.choice(("route", "log", "other")),
        upstream=rng.choice(("navigator", "deskline", "other")),
        body=b"{}",
        idempotent=rng.choice((True, False)),
        priority=rng.choice(list(Priority)),
        headers=rng.choice(({}, {"x-unit": "r1"}, {"x-unit": "r2"}, {"x-unit": "s"})),
    )


@then("in random rule lists no random request is matched to a shadowed rule")
def step_shadowed_rules_never_match(context):
    rng = random.Random(7)
    shadowed_count = 0
    for _ in range(200):
        conditions = [_random_when(rng) for _ in range(6)]
        rules = RuleList([Rule(f"rule-{n}", Serve(), when) for n, when in enumerate(conditions)])
        shadowed_names = {shadowed.rule for shadowed in find_shadowed_rules(rules)}
        shadowed_count += len(shadowed_names)
        for _ in range(50):
            assert rules.match(_random_request(rng)).name not in shadowed_names
    assert shadowed_count > 100, "the random rule lists contain too few shadowed rules"


@then('the declaration examples of "{first}" and "{second}" are valid')
def step_examples_valid(context, first, second):
    for deployment in (first, second):
        declaration = load_declaration(Path("examples") / deployment / "rules.toml")
        assert len(declaration.rules.rules) >= 5
        assert declaration.warnings == ()
