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
        for match in COMMAND_LINE.finditer(Path(page).read_text()):
            yield page, match[1].replace("\\\n", " ").strip()


def _unknown_part(words):
    """Return the first unknown word of a command line, a note if it is incomplete, or None."""
    command = typer.main.get_command(app)
    remaining = iter(words)
    for word in remaining:
        if word.startswith("-"):
            option = next((known for known in command.params if word in _option_names(known)), None)
            if option is None:
                return word
            if not option.is_flag:
                next(remaining, None)
        elif hasattr(command, "commands"):
            if word not in command.commands:
                return word
            command = command.commands[word]
    return "incomplete command" if hasattr(command, "commands") else None


def _option_names(param):
    return [*param.opts, *param.secondary_opts]


@then("each alderhatchctl command line in the documentation names a command and options that exist")
def step_commands_exist(context):
    lines = list(_command_lines())
    assert len(lines) > 25, lines
    errors = []
    for page, line in lines:
        unknown = _unknown_part(shlex.split(line))
        if unknown is not None:
            errors.append(f"{page}: alderhatchctl {line}: {unknown}")
    assert errors == [], "\n".join(errors)
