from __future__ import annotations

import re
import shlex
from pathlib import Path

import typer
from behave import then

from alderhatch.cli.ctl import app

COMMAND_LINE = re.compile(r"alderhatchctl ((?:[^`\n#|\\]|\\\n)+)")
PAGES = ("README.md", "CONTRIBUTING.md", "docs/GUIDE.md", "docs/OPERATIONS.md")


def _command_lines():
    for page in PAGES:
        for found in COMMAND_LINE.finditer(Path(page).read_text()):
            yield page, found[1].replace("\\\n", " ").strip()


def _why_not(words):
    """Walk down the program's commands; return what is not known, or None."""
    command = typer.main.get_command(app)
    rest = iter(words)
    for word in rest:
        if word.startswith("-"):
            option = next((one for one in command.params if word in _names(one)), None)
            if option is None:
                return word
            if not option.is_flag:
                next(rest, None)
        elif hasattr(command, "commands"):
            if word not in command.commands:
                return word
            command = command.commands[word]
    return "an unfinished command" if hasattr(command, "commands") else None


def _names(param):
    return [*param.opts, *param.secondary_opts]


@then("each alderhatchctl command line in the pages names a command and options that exist")
def step_commands_exist(context):
    lines = list(_command_lines())
    assert len(lines) > 25, lines
    wrong = []
    for page, line in lines:
        why = _why_not(shlex.split(line))
        if why is not None:
            wrong.append(f"{page}: alderhatchctl {line}: {why}")
    assert wrong == [], "\n".join(wrong)
