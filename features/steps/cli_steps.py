from __future__ import annotations

import json
import os
import shlex
import shutil
import subprocess
import sys
from pathlib import Path

import typer
from behave import given, then, when

from alderhatch.cli.ctl import app
from alderhatch.cli.difference import compare_rules
from alderhatch.cli.exit_codes import ExitCode
from features.support.cli_support import call, key_file, new_folder

BAD_ENTRY = """name = "entry-1"
zone = "waco-hall"
rules_file = "rules.toml"
upstreams = [{ name = "navigator", seeds = [{ address = "10.0.0.1", port = 1 }] }]
address_ttl_ms = 5000
drain_ms = 4000

[callers]
address = "10.0.0.2"
port = 70000

[operators]
address = "10.0.0.2"
port = 7401
"""
BAD_RULES = """[[rule]]
name = "first"
[rule.when]
kinds = "route"
[rule.then]
coverage = 2
"""


def _commands(command, path):
    if hasattr(command, "commands"):
        for name, inner in command.commands.items():
            yield from _commands(inner, [*path, name])
    yield path, command


@then("each command of alderhatchctl has a help text and each of its options too")
def step_help_texts(context):
    seen = 0
    for path, command in _commands(typer.main.get_command(app), []):
        assert command.help or not path, path
        for param in command.params:
            assert getattr(param, "help", None), (path, param.name)
            seen += 1
    assert seen > 100, seen


@when('alderhatchctl is called with "{words}"')
def step_call(context, words):
    call(context, *shlex.split(words))


@when("alderhatchctl is called with a key file that the group can read")
def step_group_readable_key(context):
    path = key_file(context, 0o640)
    call(context, "--control", "127.0.0.1:1", "--key-file", path, "rules", "list")


@then("the command ends with exit code {code:d}")
def step_exit_code(context, code):
    found = context.cli
    assert found.exit_code == code, (found.exit_code, found.stdout, found.stderr)
    ExitCode(code)


@then("the command printed every exit code with its meaning")
def step_all_codes(context):
    for code in ExitCode:
        assert f"{code.value:2}  {code.meaning}" in context.cli.stdout, code


@then('the command printed "{text}"')
def step_printed(context, text):
    assert text in context.cli.stdout, context.cli.output


@then('the command printed the error "{text}"')
def step_printed_error(context, text):
    assert text in context.cli.stderr, context.cli.output


@then('the completion of "{words}" offers "{offers}"')
def step_completion(context, words, offers):
    env = os.environ | {
        "_ALDERHATCHCTL_COMPLETE": "complete_bash",
        "COMP_WORDS": words,
        "COMP_CWORD": str(len(words.split(" ")) - 1),
    }
    code = "import sys; sys.argv = ['alderhatchctl']; from alderhatch.cli.ctl import main; main()"
    done = subprocess.run(
        [sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=60
    )
    assert sorted(done.stdout.split()) == sorted(offers.split(", ")), done


@when('alderhatchctl checks every file of the example "{deployment}"')
def step_check_example(context, deployment):
    files = sorted(Path("examples", deployment).rglob("*.toml"))
    call(context, "check", *map(str, files))


@given("a folder with an entry file and a rules file that have two errors each")
def step_bad_folder(context):
    context.cli_folder = new_folder(context)
    (context.cli_folder / "entry.toml").write_text(BAD_ENTRY)
    (context.cli_folder / "rules.toml").write_text(BAD_RULES)


@given("copies of the brazos example in which {change}")
def step_copies(context, change):
    folder = new_folder(context) / "brazos"
    shutil.copytree("examples/brazos", folder)
    context.cli_folder = folder
    second = folder / "entry" / "austin-hall-entry-2.toml"
    old, new, path = {
        "two entries have the same name": ("entry-2", "entry-1", second),
        "two entries have the same address": ("10.20.1.22", "10.20.1.21", second),
        "one entry names another control host": ('"control-5"', '"control-6"', second),
        "a rule is for an unknown upstream": (
            'upstream = "navigator"',
            'upstream = "navigater"',
            folder / "rules.toml",
        ),
    }[change]
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


def _check_folder(context, *words):
    files = sorted(context.cli_folder.rglob("*.toml"))
    call(context, "check", *words, *map(str, files))


@when("alderhatchctl checks the files of that folder")
def step_check_folder(context):
    _check_folder(context)


@when("alderhatchctl checks the files of that folder as JSON")
def step_check_folder_json(context):
    _check_folder(context, "--output", "json")


@then("the command printed lines that start with these locations")
def step_locations(context):
    lines = context.cli.stdout.splitlines()
    assert len(lines) == len(context.table.rows), lines
    for line, row in zip(lines, context.table, strict=True):
        assert line.startswith(f"{context.cli_folder}/{row['location']}: {row['key']}: "), line


@then(
    "the command printed a JSON list of {count:d} faults with file, line, key, message and allowed"
)
def step_json_faults(context, count):
    faults = json.loads(context.cli.stdout)
    assert len(faults) == count
    for fault in faults:
        assert set(fault) == {"file", "line", "key", "message", "allowed"}
        assert all(fault.values()), fault


def _parse_rules(words):
    rules = []
    for word in words.split():
        kind = ["edited"] if word.endswith("*") else []
        rules.append({"name": word.rstrip("*"), "when": {"kind": kind}, "then": {}})
    return rules


@when('the list of rules "{now}" is compared with "{declared}"')
def step_compare(context, now, declared):
    context.differences = compare_rules(_parse_rules(now), _parse_rules(declared))


@then('the rule differences are "{differences}"')
def step_differences(context, differences):
    found = [f"{item.change} {item.what} {item.field}".strip() for item in context.differences]
    assert found == differences.split(", "), found


@then('the rule differences are ""')
def step_no_differences(context):
    assert context.differences == []
