from __future__ import annotations

import os
import subprocess
from pathlib import Path

from behave import given, then, when

from features.support.cli_support import new_folder

ROOT = Path(__file__).resolve().parents[2]
PATIENCE_S = 800
NOT_HANDED_ON = ("VENV", "PYTHONPATH", "MAKEFLAGS", "MAKELEVEL", "MFLAGS", "VIRTUAL_ENV")


@given("a copy of the committed files in a folder of its own")
def step_copy(context):
    context.copy = new_folder(context)
    listing = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True)
    for name in listing.stdout.decode().split("\0"):
        if not name or not (ROOT / name).exists():
            continue
        target = context.copy / name
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes((ROOT / name).read_bytes())


@when('"make {words}" runs there')
def step_make(context, words):
    env = {name: value for name, value in os.environ.items() if name not in NOT_HANDED_ON}
    context.made = subprocess.run(
        ["make", "--no-print-directory", *words.split()],
        cwd=context.copy,
        env=env,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
    )


@then('it ends with exit code {code:d} and its last line is "{last}"')
def step_last_line(context, code, last):
    shown = context.made.stdout[-2000:] + context.made.stderr[-2000:]
    assert context.made.returncode == code, shown
    assert context.made.stdout.splitlines()[-1] == last, shown
