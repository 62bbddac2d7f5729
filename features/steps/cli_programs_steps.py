from __future__ import annotations

import json
import os
import signal
import subprocess
import sys

from behave import given, then, when

from features.support.cli_support import call, new_folder
from features.support.tier import Tier

INVALID_SETTINGS = {
    "entry": ('name = "Entry"\nzone = "waco-hall"\ndrain_ms = 0\n', ":1: name: ", ":3: drain_ms: "),
    "control": ('name = "a"\nzone = "Waco"\nlease_ms = 1\n', ":2: zone: ", ":3: lease_ms: "),
}


def _command(program, *arguments):
    return [sys.executable, "-m", f"alderhatch.cli.{program}", *arguments]


def _env():
    return os.environ | {"PYTHONPATH": "src"}


def _run(context, program, *arguments):
    context.program = subprocess.run(
        _command(program, *arguments), env=_env(), capture_output=True, text=True, timeout=60
    )


@given("a running tier of {controls:d} control hosts and {entries:d} entry")
@given("a running tier of {controls:d} control hosts and {entries:d} entries")
def step_tier(context, controls, entries):
    context.tier = Tier(controls, entries)
    context.add_cleanup(context.tier.close)
    context.tier.start()


@when("a caller queries the tier for towels")
def step_query(context):
    arguments = ["--entry", context.tier.entry_addresses, "query", '{"topic": "towels"}']
    call(context, *arguments, "--upstream", "navigator", "--kind", "order-status")


@then('the program "{name}" ends with exit code {code:d} after SIGTERM')
def step_sigterm(context, name, code):
    program = context.tier.programs[name]
    found = program.stop()
    assert found == code, (found, program.log())


@then('the log of "{name}" has the events "{events}" as JSON')
def step_log_events(context, name, events):
    lines = [json.loads(line) for line in context.tier.programs[name].log().splitlines()]
    for line in lines:
        assert {"time", "level", "event", "number", "program", "fields"} <= set(line), line
    found = [line["event"] for line in lines]
    assert set(events.split(", ")) <= set(found), found


@when('the program "{program}" is started with a settings file with two errors')
def step_invalid_settings(context, program):
    path = new_folder(context) / "settings.toml"
    text, *context.expected_errors = INVALID_SETTINGS[program]
    path.write_text(text)
    _run(context, program, str(path))


@when("an entry is started alone with a rules file with two errors")
def step_invalid_rules_file(context):
    folder = new_folder(context)
    context.tier = Tier(0, 1)
    context.add_cleanup(context.tier.close)
    context.tier.start()
    settings = (context.tier.folder / "entry-1.toml").read_text()
    (folder / "entry.toml").write_text(settings)
    (folder / "rules.toml").write_text('[[rule]]\nname = "A"\nthen = { coverage = "all" }\n')
    context.expected_errors = (
        "rules.toml:2: rule 1 (A): name",
        "rules.toml:3: rule 1 (A): then.coverage",
    )
    _run(context, "entry", str(folder / "entry.toml"))


@then("the program ends with exit code {code:d}")
def step_program_code(context, code):
    assert context.program.returncode == code, context.program


@then("the program printed both errors with their lines")
def step_printed_errors(context):
    for error in context.expected_errors:
        assert error in context.program.stderr, context.program.stderr
    assert "Traceback" not in context.program.stderr


@when('the entry "{name}" is started a second time')
def step_second_time(context, name):
    _run(context, "entry", str(context.tier.folder / f"{name}.toml"))


@then('the program logged "{event}" with "{text}" and no traceback')
def step_logged(context, event, text):
    lines = [json.loads(line) for line in context.program.stderr.splitlines()]
    found = [line for line in lines if line["event"] == event]
    assert len(found) == 1 and text in found[0]["fields"]["why"], lines
    assert "Traceback" not in context.program.stderr


@when('the settings of "{name}" are checked by their program')
def step_check_by_program(context, name):
    _run(context, "entry", "--check", str(context.tier.folder / f"{name}.toml"))


@when("the stand-in upstream is started with a fault script with two errors")
def step_invalid_fault_script(context):
    path = new_folder(context) / "faults.toml"
    path.write_text('[[fault]]\nservers = "n"\nafter_ms = -1\n[[fault]]\nstragle_ms = 3\n')
    context.expected_errors = (
        ":3: fault[1].after_ms: ",
        ":5: fault[2].stragle_ms: unknown key; did you",
    )
    _run(context, "upstream", "navigator", "--faults", str(path))


@when("the stand-in upstream is started with {shards:d} shards of {servers:d} servers")
def step_upstream(context, shards, servers):
    arguments = ["spotbook", "--shards", str(shards), "--servers", str(servers)]
    context.upstream = subprocess.Popen(
        _command("upstream", *arguments), env=_env(), stdout=subprocess.PIPE, text=True
    )
    context.add_cleanup(context.upstream.stdout.close)
    context.add_cleanup(context.upstream.kill)


@then("it prints {count:d} servers with their ports and ends with exit code {code:d} after SIGTERM")
def step_upstream_prints(context, count, code):
    servers = json.loads(context.upstream.stdout.readline())["servers"]
    assert len({server["port"] for server in servers}) == count, servers
    context.upstream.send_signal(signal.SIGTERM)
    assert context.upstream.wait(30) == code
