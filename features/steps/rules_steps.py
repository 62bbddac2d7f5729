from __future__ import annotations

import tomllib

from behave import then, use_step_matcher, when
from hypothesis import given
from hypothesis import strategies as st

from alderhatch.core.priority import Priority
from alderhatch.core.request import Request
from alderhatch.core.rule import HeaderMatch, Rule, Serve, When
from alderhatch.core.rule_list import DEFAULT_RULE, RuleFaultsError, RuleList, parse_rules
from features.support.core_harness import make_request

use_step_matcher("re")


def read_table(text):
    lines = []
    for word in ("name=", "when=", "then="):
        text = text.replace(f" {word}", f"\n{word}")
    lines.append(text)
    return tomllib.loads("\n".join(lines))


@when('rules are read from the tables "(?P<first>.*)" and "(?P<second>.*)"')
def step_read_rules(context, first, second):
    context.rule_faults = ()
    context.rule_list = None
    try:
        context.rule_list = parse_rules([read_table(first), read_table(second)])
    except RuleFaultsError as exc:
        context.rule_faults = exc.faults


@then('rule (?P<position>\\d+) is rejected at field "(?P<field>.*)"')
def step_rule_rejected(context, position, field):
    reported = [(fault.position, fault.field) for fault in context.rule_faults]
    assert reported == [(int(position), field)], reported


@then("(?P<count>\\d+) errors in the rules are reported")
def step_count_faults(context, count):
    assert len(context.rule_faults) == int(count), context.rule_faults


@then(
    'the explanation for caller "(?P<caller>.*)" and kind "(?P<kind>.*)" is rule (?P<position>\\d+)'
    ' after "(?P<earlier>.*)" failed on "(?P<field>.*)"'
)
def step_explained(context, caller, kind, position, earlier, field):
    request = make_request(caller=caller, kind=kind)
    explanation = context.rule_list.explain(request)
    assert explanation.position == int(position), explanation
    assert explanation.passed_over[0] == (earlier, field), explanation


use_step_matcher("parse")

WORDS = st.sampled_from(["x", "y", "z"])
LISTS = st.lists(WORDS, max_size=2, unique=True).map(tuple)
PRIORITIES = st.lists(st.sampled_from(list(Priority)), max_size=2, unique=True).map(tuple)
HEADERS = st.lists(
    st.builds(
        lambda name, value, exact: HeaderMatch(
            name, equals=value if exact else None, prefix=None if exact else value
        ),
        WORDS,
        st.sampled_from(["x", "xy"]),
        st.booleans(),
    ),
    max_size=1,
).map(tuple)
WHENS = st.builds(
    When, LISTS, LISTS, LISTS, LISTS, PRIORITIES, st.sampled_from([None, True, False]), HEADERS
)
RULE_LISTS = st.lists(WHENS, max_size=6).map(
    lambda whens: RuleList([Rule(f"r{index}", Serve(), when) for index, when in enumerate(whens)])
)
REQUESTS = st.builds(
    Request,
    request_id=st.just("1"),
    caller=WORDS,
    kind=WORDS,
    upstream=WORDS,
    body=st.just(b"{}"),
    idempotent=st.booleans(),
    priority=st.sampled_from(list(Priority)),
    zone=WORDS,
    headers=st.dictionaries(WORDS, st.sampled_from(["x", "xyz", "z"]), max_size=2),
)


def naive_mismatches(when, request):
    """Return the names of the conditions of a rule that do not hold."""
    conditions = [
        ("kind", len(when.kind) == 0 or request.kind in when.kind),
        ("upstream", len(when.upstream) == 0 or request.upstream in when.upstream),
        ("caller", len(when.caller) == 0 or request.caller in when.caller),
        ("zone", len(when.zone) == 0 or request.zone in when.zone),
        ("priority", len(when.priority) == 0 or request.priority in when.priority),
        ("idempotent", when.idempotent is None or when.idempotent is request.idempotent),
    ]
    for header in when.headers:
        value = request.headers.get(header.name)
        if header.equals is not None:
            holds = value is not None and value == header.equals
        else:
            holds = value is not None and value[: len(header.prefix)] == header.prefix
        conditions.append((f"headers.{header.name}", holds))
    return [name for name, holds in conditions if not holds]


@then("rules match and explain as a naive implementation does, for any rules and requests")
def step_rules_differential(context):
    @given(RULE_LISTS, REQUESTS)
    def check(rules, request):
        mismatches = [naive_mismatches(rule.when, request) for rule in rules.rules]
        matching = [index for index, names in enumerate(mismatches) if not names]
        expected = rules.rules[matching[0]] if matching else DEFAULT_RULE
        assert rules.match(request) is expected
        explanation = rules.explain(request)
        assert explanation.rule is expected
        earlier = rules.rules[: matching[0]] if matching else rules.rules
        assert explanation.passed_over == tuple(
            (rule.name, mismatches[index][0]) for index, rule in enumerate(earlier)
        )

    check()


@then("any list of rules reads back the same from its plain form")
def step_rules_round(context):
    @given(RULE_LISTS)
    def check(rules):
        assert parse_rules(rules.to_plain()).rules == rules.rules

    check()
