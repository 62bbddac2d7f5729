"""Write the pages of docs/ that show closed lists of the code.

Run it after a change to one of the lists: ``make catalogues``. A test compares the pages with what
this program would write, so that a page never tells of an event, metric or kind of error that is
not there, or leaves one out.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any

import click
import typer
from pydantic import BaseModel, TypeAdapter

from alderhatch.cli import control as control_program
from alderhatch.cli import ctl, demo
from alderhatch.cli import entry as entry_program
from alderhatch.cli import upstream as upstream_program
from alderhatch.cli.exit_codes import ExitCode
from alderhatch.core.control.tier_settings import TierSettings
from alderhatch.core.rule import HeaderMatch, Refuse, Rule, Serve, When
from alderhatch.errors import ERROR_ANSWERS, Resend, RunStatus
from alderhatch.log_events import LogEvent
from alderhatch.metric_catalogue import Metric
from alderhatch.settings.allowed_values import AllowedValues
from alderhatch.settings.attribute_docs import attribute_docs
from alderhatch.settings.models import (
    CallerLimits,
    ControlSettings,
    Endpoint,
    EntrySettings,
    NamedEndpoint,
    UpstreamSettings,
)

DOCS = Path(__file__).resolve().parent.parent / "docs"
WRITTEN_BY = "This page is written by `make catalogues` from the code; don't edit it by hand."

RAN_WORDS = {
    RunStatus.NOT_RUN: "no: it certainly did not",
    RunStatus.RAN: "yes",
    RunStatus.UNKNOWN: "not known",
}
RESEND_WORDS = {
    Resend.NEVER: "no: the same request fails again",
    Resend.SAME_ENTRY: "yes, to the same address, after `retry_after_ms` if it is given",
    Resend.OTHER_ENTRY: "yes, to another of the addresses, at once",
    Resend.SAME_ID: "yes, with the same request id or change id, at any address",
}


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield _line(header)
    yield _line(["---"] * len(header))
    for row in rows:
        yield _line([cell.replace("|", "\\|").replace("\n", " ") for cell in row])


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def errors_page() -> str:
    """Return docs/ERRORS.md."""
    rows = [
        (
            f"`{kind}`",
            str(answer.status),
            RAN_WORDS[answer.ran],
            RESEND_WORDS[answer.resend],
            answer.meaning,
        )
        for kind, answer in ERROR_ANSWERS.items()
    ]
    return _page(
        "Kinds of error",
        "Every refusal and failure that a caller, an operator or one of our own processes is shown "
        "has one of these kinds. The body of the answer has it in `error`, with `message`, `ran`, "
        "`resend` and, where they apply, `field` and `retry_after_ms`.",
        table(("kind", "status", "did it run", "send it again", "meaning"), rows),
    )


def events_page() -> str:
    """Return docs/EVENTS.md."""
    rows = [
        (
            str(event.number),
            f"`{event.name.lower()}`",
            logging.getLevelName(event.value.level).lower(),
            event.value.meaning,
        )
        for event in sorted(LogEvent, key=lambda event: event.number)
    ]
    return _page(
        "Log events",
        "Each line of a log is one JSON object with `time`, `level`, `event`, `number`, `program` "
        "and `fields`. Numbers are never used again. 1000s belong to the entry, 2000s to the "
        "control process, 3000s to the replicated log and its files, 4000s to links between "
        "processes, 5000s to settings and programs. Secrets, keys and request bodies are never "
        "logged.",
        table(("number", "event", "level", "meaning"), rows),
    )


def metrics_page() -> str:
    """Return docs/METRICS.md."""
    rows = [
        (
            f"`{metric.value.name}`",
            metric.value.kind,
            metric.value.unit,
            ", ".join(f"`{label}`" for label in metric.value.labels) or "none",
            metric.value.meaning,
        )
        for metric in Metric
    ]
    return _page(
        "Metrics",
        "Each process shows its metrics in Prometheus' text format at `GET /metrics` of its "
        "`operators` address. Every metric also has the label `process`, the name from the "
        "settings. At most 2000 label combinations of one metric are kept; further ones are "
        "counted together as `other`.",
        table(("metric", "kind", "unit", "labels", "meaning"), rows),
    )


def settings_page() -> str:
    """Return docs/SETTINGS.md."""
    lines: list[str] = []
    for title, model in (
        ("`alderhatch-entry`", EntrySettings),
        ("`alderhatch-control`", ControlSettings),
        ("`[[upstreams]]` of an entry", UpstreamSettings),
        ("`[limits]` of an entry", CallerLimits),
        ("An endpoint, such as `[callers]`, `[operators]`, `[links]` or a seed", Endpoint),
        ("A named endpoint, such as `[[controls]]` or `[[peers]]`", NamedEndpoint),
        ("`[tier]` of a declaration: settings that hold for the whole tier", TierSettings),
        ("`[[rule]]` of a declaration", Rule),
        ("`[rule.when]`: conditions, all of which have to hold", When),
        ("An element of `headers`: exactly one of `equals` and `prefix`", HeaderMatch),
        ("`[rule.then]` of a rule that serves", Serve),
        ("`[rule.then]` of a rule that refuses", Refuse),
    ):
        lines += [f"## {title}", "", *table(("key", "allowed", "default", "meaning"), _keys(model))]
        lines.append("")
    return _page(
        "Settings",
        "Settings and declarations are TOML. Unknown keys are mistakes. Spans end in `_ms` and are "
        "in milliseconds. Paths are relative to the folder of the file. In `[rule.when]` one word "
        "may stand for a list of one. `alderhatchctl check FILE` reports every mistake with its "
        "line.",
        lines[:-1],
    )


def _keys(model: type[Any]) -> Iterator[tuple[str, str, str, str]]:
    schema = TypeAdapter(model).json_schema()
    allowed = AllowedValues(schema)
    docs = attribute_docs(model)
    required = set(schema.get("required", ()))
    for name in _field_names(model):
        default = "required" if name in required else _default(schema["properties"][name])
        meaning = docs.get(name, "").replace("``", "`")
        yield f"`{name}`", allowed.describe((name,)), default, meaning


def _field_names(model: type[Any]) -> list[str]:
    if issubclass(model, BaseModel):
        return list(model.model_fields)
    if is_dataclass(model):
        return [field.name for field in fields(model)]
    raise TypeError(f"no model: {model}")


def _default(field: dict[str, Any]) -> str:
    value = field.get("default")
    match value:
        case None | []:
            return "none"
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:g}" if value < 1e6 else f"{value:.0f}"
        case dict():
            return "as below"
    return str(value)


def commands_page() -> str:
    """Return docs/COMMANDS.md."""
    lines = ["## Exit codes", ""]
    lines += table(("code", "meaning"), [(str(code.value), code.meaning) for code in ExitCode])
    for name, app in (
        ("alderhatch-entry", entry_program.app),
        ("alderhatch-control", control_program.app),
        ("alderhatch-upstream", upstream_program.app),
        ("alderhatch-demo", demo.app),
        ("alderhatchctl", ctl.app),
    ):
        for path, command in _walk(typer.main.get_command(app), name):
            lines += ["", f"## `{path}`", "", *_command_lines(command)]
    return _page(
        "Commands",
        "Every program prints the same with `--help`. All but the demo complete their words in the "
        "shell after `--install-completion`.",
        lines,
    )


def _walk(command: Any, path: str) -> Iterator[tuple[str, Any]]:
    if hasattr(command, "commands"):
        if command.params:
            yield path, command
        for name, inner in command.commands.items():
            yield from _walk(inner, f"{path} {name}")
        return
    yield path, command


def _command_lines(command: Any) -> Iterator[str]:
    yield (command.help or "").split("\n")[0]
    rows = []
    for param in command.params:
        words = "/".join([*param.opts, *param.secondary_opts])
        if isinstance(param, click.Argument) or param.param_type_name == "argument":
            words = param.metavar or param.name
        rows.append((f"`{words}`", getattr(param, "help", "") or ""))
    if rows:
        yield ""
        yield from table(("word", "meaning"), rows)


def _page(title: str, opening: str, body: Iterable[str]) -> str:
    return "\n".join([f"# {title}", "", WRITTEN_BY, "", opening, "", *body]) + "\n"


def pages() -> dict[Path, str]:
    """Return every page with the path where it belongs."""
    return {
        DOCS / "COMMANDS.md": commands_page(),
        DOCS / "ERRORS.md": errors_page(),
        DOCS / "EVENTS.md": events_page(),
        DOCS / "METRICS.md": metrics_page(),
        DOCS / "SETTINGS.md": settings_page(),
    }


def main() -> None:
    """Write all pages."""
    for path, text in pages().items():
        path.write_text(text)


if __name__ == "__main__":
    main()
