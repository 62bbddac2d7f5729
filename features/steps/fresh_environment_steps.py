from __future__ import annotations

import os
import subprocess
from pathlib import Path

from behave import given, then, when

from features.support.cli_support import new_folder

ROOT = Path(__file__).resolve().parents[2]
MAKE_TIMEOUT_S = 800
EXCLUDED_ENV_VARS = ("VENV", "PYTHONPATH", "MAKEFLAGS", "MAKELEVEL", "MFLAGS", "VIRTUAL_ENV")


@given("a copy of the committed files in a new folder")
def step_copy(context):
    context.copy = new_folder(context)
    listing = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True)
    for name in listing.stdout.decode().split("\0"):
        if not name or not (ROOT / name).exists():
            continue
        target = context.copy / name
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes((ROOT / name).read_bytes())


@when('"make {arguments}" runs there')
def step_make(context, arguments):
    env = {name: value for name, value in os.environ.items() if name not in EXCLUDED_ENV_VARS}
    context.result = subprocess.run(
        ["make", "--no-print-directory", *arguments.split()],
        cwd=context.copy,
        env=env,
        capture_output=True,
        text=True,
        timeout=MAKE_TIMEOUT_S,
    )


@then('it ends with exit code {code:d} and its last line is "{last}"')
def step_last_line(context, code, last):
    output = context.result.stdout[-2000:] + context.result.stderr[-2000:]
    assert context.result.returncode == code, output
    assert context.result.stdout.splitlines()[-1] == last, output
