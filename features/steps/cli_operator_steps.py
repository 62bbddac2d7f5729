from __future__ import annotations

import json
import shlex
from pathlib import Path

from behave import given, then, when

from features.support.cli_support import call, new_folder
from features.support.control_server_thread import CHANGE_KEY, READ_KEY, SECRET, ControlServerThread

UNKNOWN_KEY = "unknown-key-of-the-tests-0123456789"


@given('a control server with the entries "{first}" in {zone_1} and "{second}" in {zone_2}')
def step_control_server(context, first, zone_1, second, zone_2):
    context.cli_folder = new_folder(context)
    context.control = ControlServerThread(context.cli_folder, {first: zone_1, second: zone_2})
    context.control.start()
    context.add_cleanup(context.control.stop)


def _run_as_operator(context, words, key=CHANGE_KEY):
    path = context.cli_folder / "key"
    path.write_text(key)
    path.chmod(0o600)
    endpoint = f"127.0.0.1:{context.control.operator_port}"
    files = {file.name: str(file) for file in context.cli_folder.glob("*.toml")}
    parts = [files.get(word, word) for word in shlex.split(words)]
    call(context, "--control", endpoint, "--key-file", str(path), *parts)


@given("the operator has applied the brazos rules")
def step_applied_rules(context):
    _run_as_operator(context, "rules apply examples/brazos/rules.toml")
    assert context.cli.exit_code == 0, context.cli.output


@given('a rule file "{name}" with the rule "{rule}" that refuses')
def step_rule_file(context, name, rule):
    text = f'[[rule]]\nname = "{rule}"\n[rule.then]\nrefuse = "not now"\n'
    (context.cli_folder / name).write_text(text)


@given('a declaration "{name}" of the brazos rules with "{setting}"')
def step_tier_file(context, name, setting):
    rules = Path("examples/brazos/rules.toml").read_text()
    (context.cli_folder / name).write_text(f"[tier]\n{setting}\n\n{rules}")


@when('the operator runs "{words}"')
def step_run_as_operator(context, words):
    _run_as_operator(context, words)


@when('the operator with the read key runs "{words}"')
def step_run_as_operator_read(context, words):
    _run_as_operator(context, words, READ_KEY)


@when('the operator with an unknown key runs "{words}"')
def step_run_as_operator_unknown(context, words):
    _run_as_operator(context, words, UNKNOWN_KEY)


@then('the command printed a row with "{cells}"')
def step_row(context, cells):
    expected = cells.split(", ")
    for line in context.cli.stdout.splitlines():
        found = [cell.strip() for cell in line.split("  ") if cell.strip()]
        if _in_order(expected, found):
            return
    raise AssertionError(context.cli.output)


def _in_order(expected, found):
    remaining = iter(found)
    return all(cell in remaining for cell in expected)


@then("the command printed {count:d} lines")
def step_lines(context, count):
    assert len(context.cli.stdout.splitlines()) == count, context.cli.stdout


@then('the command printed JSON whose "{path}" is "{value}"')
def step_json_value(context, path, value):
    found = json.loads(context.cli.stdout)
    for part in path.split("."):
        found = found[int(part) if part.isdigit() else part]
    assert found == value, found


@then("the command printed no secret")
def step_no_secret(context):
    for secret in (CHANGE_KEY, READ_KEY, UNKNOWN_KEY, SECRET.decode()):
        assert secret not in context.cli.output
