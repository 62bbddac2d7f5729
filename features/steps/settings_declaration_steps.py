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
from alderhatch.settings.shadowing import find_shadowed

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
def step_declaration_changed(context, text, instead):
    assert DECLARATION.count(text) == 1
    _write(context, DECLARATION.replace(text, instead.replace("\\n", "\n")))


@given('a declaration with the tier setting "{setting}"')
def step_tier_setting(context, setting):
    _write(context, f"[tier]\n{setting}\n{DECLARATION}")


def _quoted(cell):
    return "[" + ", ".join(f'"{word.strip()}"' for word in cell.split(",")) + "]"


def _toml_of(row):
    lines = ["[[rule]]", f'name = "{row["name"]}"', "[rule.when]"]
    lines += [
        f"{key} = {_quoted(row[key])}" for key in ("kind", "upstream", "priority") if row[key]
    ]
    if row["idempotent"]:
        lines.append(f"idempotent = {row['idempotent']}")
    if row["header"]:
        name, value = row["header"].split("=")
        test = f'prefix = "{value[:-1]}"' if value.endswith("*") else f'equals = "{value}"'
        lines.append(f'headers = [{{ name = "{name}", {test} }}]')
    return "\n".join([*lines, "[rule.then]", "coverage = 1.0", ""])


@given("a declaration with these rules")
def step_rules_table(context):
    _write(context, "\n".join(_toml_of(row) for row in context.table))


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
    found = [(one.rule, one.by) for one in find_shadowed(rules)]
    assert found == [(row["rule"], row["because of"]) for row in context.table], found
    warned = [fault.key.split("(")[1].rstrip(")") for fault in context.declaration.warnings]
    assert warned == [rule for rule, _ in found]
    assert all(fault.line for fault in context.declaration.warnings)


def _some(rng, words):
    return tuple(rng.sample(words, rng.choice((0, 0, 1, 2, len(words)))))


def _random_when(rng):
    header = HeaderMatch("X-Unit", *rng.choice((("r1", None), (None, "r"), ("s", None))))
    return When(
        kind=_some(rng, ["route", "log"]),
        upstream=_some(rng, ["navigator", "deskline"]),
        priority=_some(rng, list(Priority)),
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


@then("for random lists of rules a shadowed rule takes none of many random requests")
def step_shadowed_takes_none(context):
    rng = random.Random(7)
    shadowed_rules = 0
    for _ in range(200):
        whens = [_random_when(rng) for _ in range(6)]
        rules = RuleList([Rule(f"rule-{n}", Serve(), when) for n, when in enumerate(whens)])
        shadowed = {one.rule for one in find_shadowed(rules)}
        shadowed_rules += len(shadowed)
        for _ in range(50):
            assert rules.match(_random_request(rng)).name not in shadowed
    assert shadowed_rules > 100, "the trial found too few shadowed rules to say anything"


@then('the declaration examples of "{first}" and "{second}" are sound')
def step_examples_sound(context, first, second):
    for deployment in (first, second):
        declaration = load_declaration(Path("examples") / deployment / "rules.toml")
        assert len(declaration.rules.rules) >= 5
        assert declaration.warnings == ()
