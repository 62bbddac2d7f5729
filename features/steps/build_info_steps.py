from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from alderhatch.build_info import PACKAGE, STAMP_NAME, build_info, sources_checksum
from alderhatch.cli.ctl import app

ROOT = Path(__file__).resolve().parents[2]


def new_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@given("a copy of the package as the deploy file builds it")
def step_built(context):
    root = new_folder(context)
    shutil.copytree(ROOT / "src", root / "src", ignore=shutil.ignore_patterns("__pycache__"))
    deps = root / "target" / "deps"
    deps.mkdir(parents=True)
    # The libraries are there already.
    shutil.copy(ROOT / "requirements.lock", root)
    (deps / ".built").touch()
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    subprocess.run(deploy["build"], shell=True, check=True, cwd=root, stdout=subprocess.DEVNULL)
    context.package = deps / "alderhatch"


@then("its stamp has the checksum of the sources")
def step_stamped(context):
    assert (context.package / STAMP_NAME).exists()
    assert build_info(context.package).sources == sources_checksum(PACKAGE)


@given("a stamp of the package")
def step_stamp(context):
    context.package = new_folder(context) / "alderhatch"
    shutil.copytree(PACKAGE, context.package, ignore=shutil.ignore_patterns("__pycache__"))
    context.checksum = sources_checksum(context.package)


@when("{what} has changed")
def step_changed(context, what):
    if what == "one module":
        (context.package / "clock.py").write_text("# changed\n")


@when("one module has another name")
def step_renamed(context):
    (context.package / "clock.py").rename(context.package / "clocks.py")


@when("a compiled file was added")
def step_compiled(context):
    (context.package / "__pycache__").mkdir(exist_ok=True)
    (context.package / "__pycache__" / "clock.cpython-311.pyc").write_bytes(b"x")


@then("the checksum of the sources is {result}")
def step_checksum(context, result):
    is_same = sources_checksum(context.package) == context.checksum
    assert is_same == (result == "the same")


@when("a node of the copy can't read its settings")
def step_no_settings(context):
    env = os.environ | {
        "PYTHONPATH": str(context.package.parent),
        "ALDERHATCH_SETTINGS": str(context.package / "nothing"),
    }
    command = [sys.executable, "-m", "alderhatch.platform"]
    run = subprocess.run(command, env=env, capture_output=True, text=True, timeout=60, check=False)
    context.lines = [json.loads(line) for line in run.stdout.splitlines()]


@then("its first log line names the checksum")
def step_logged(context):
    first = context.lines[0]
    assert first["event"] == "program_build", first
    assert first["fields"]["sources"] == sources_checksum(PACKAGE), first


@when("alderhatchctl is asked for its version")
def step_version(context):
    context.output = CliRunner().invoke(app, ["--version"]).output


@then("it names the checksum of the package")
def step_named(context):
    assert build_info().sources in context.output, context.output
