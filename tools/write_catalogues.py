"""Generate the reference pages in docs/ from the code.

The pages list commands, errors, log events, metrics and settings. Run ``make catalogues`` after a
change to any of them. A test compares the pages with the output of this program, so that no page
lists an item that does not exist or omits one.
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
GENERATED_NOTICE = "This page is generated from the code by `make catalogues`; do not edit it."

RUN_STATUS_TEXTS = {
    RunStatus.NOT_RUN: "no, guaranteed",
    RunStatus.RAN: "yes",
    RunStatus.UNKNOWN: "unknown",
}
RESEND_TEXTS = {
    Resend.NEVER: "no, the same request fails again",
    Resend.SAME_ENTRY: "yes, to the same address, after `retry_after_ms` if present",
    Resend.OTHER_ENTRY: "yes, to another address, immediately",
    Resend.SAME_ID: "yes, with the same request ID or change ID, to any address",
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
    """Return the content of docs/ERRORS.md."""
    rows = [
        (
            f"`{kind}`",
            str(answer.status),
            RUN_STATUS_TEXTS[answer.ran],
            RESEND_TEXTS[answer.resend],
            answer.meaning,
        )
        for kind, answer in ERROR_ANSWERS.items()
    ]
    return _page(
        "Error kinds",
        "Every error that is returned to a caller, an operator or another alderhatch process has "
        "one of these kinds. The response body contains the kind in `error`, together with "
        "`message`, `ran`, `resend` and, where applicable, `field` and `retry_after_ms`.",
        table(("kind", "HTTP status", "request ran", "resend", "meaning"), rows),
    )


def events_page() -> str:
    """Return the content of docs/EVENTS.md."""
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
        "Each log line is a JSON object with `time`, `level`, `event`, `number`, `program` and "
        "`fields`. Numbers are never reused. Their ranges are 1000 to 1999 for the entry, 2000 to "
        "2999 for the control process, 3000 to 3999 for the replicated log and its files, 4000 to "
        "4999 for links between processes, and 5000 to 5999 for settings and programs. Secrets, "
        "keys and request bodies are never logged.",
        table(("number", "event", "level", "meaning"), rows),
    )


def metrics_page() -> str:
    """Return the content of docs/METRICS.md."""
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
        "Each process exposes its metrics in the Prometheus text format at `GET /metrics` on its "
        "`operators` address. Every metric also has the label `process` with the name of the "
        "process from its settings. At most 2000 label combinations are kept for each metric; "
        "further combinations are counted together as `other`.",
        table(("metric", "kind", "unit", "labels", "meaning"), rows),
    )


def settings_page() -> str:
    """Return the content of docs/SETTINGS.md."""
    lines: list[str] = []
    for title, model in (
        ("`alderhatch-entry`", EntrySettings),
        ("`alderhatch-control`", ControlSettings),
        ("`[[upstreams]]` of an entry", UpstreamSettings),
        ("`[limits]` of an entry", CallerLimits),
        ("An endpoint, such as `[callers]`, `[operators]`, `[links]` or a seed", Endpoint),
        ("A named endpoint, such as `[[controls]]` or `[[peers]]`", NamedEndpoint),
        ("`[tier]` of a declaration: settings that apply to the whole tier", TierSettings),
        ("`[[rule]]` of a declaration", Rule),
        ("`[rule.when]`: conditions, all of which must hold", When),
        ("An element of `headers`: exactly one of `equals` and `prefix`", HeaderMatch),
        ("`[rule.then]` of a rule that serves requests", Serve),
        ("`[rule.then]` of a rule that refuses requests", Refuse),
    ):
        lines += [
            f"## {title}",
            "",
            *table(("key", "allowed", "default", "meaning"), _setting_rows(model)),
        ]
        lines.append("")
    return _page(
        "Settings",
        "Settings and declarations are TOML files. Unknown keys are errors. Keys that end in `_ms` "
        "are durations in milliseconds. Paths are relative to the folder of the file. In "
        "`[rule.when]` a single string may replace a list with one element. "
        "`alderhatchctl check FILE` reports every error with its line.",
        lines[:-1],
    )


def _setting_rows(model: type[Any]) -> Iterator[tuple[str, str, str, str]]:
    schema = TypeAdapter(model).json_schema()
    allowed = AllowedValues(schema)
    docs = attribute_docs(model)
    required = set(schema.get("required", ()))
    for name in _field_names(model):
        default = "required" if name in required else _format_default(schema["properties"][name])
        meaning = docs.get(name, "").replace("``", "`")
        yield f"`{name}`", allowed.describe((name,)), default, meaning


def _field_names(model: type[Any]) -> list[str]:
    if issubclass(model, BaseModel):
        return list(model.model_fields)
    if is_dataclass(model):
        return [field.name for field in fields(model)]
    raise TypeError(f"expected a pydantic model or a dataclass, got {model}")


def _format_default(field: dict[str, Any]) -> str:
    value = field.get("default")
    match value:
        case None | []:
            return "none"
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:g}" if value < 1e6 else f"{value:.0f}"
        case dict():
            return "see below"
    return str(value)


def commands_page() -> str:
    """Return the content of docs/COMMANDS.md."""
    lines = ["## Exit codes", ""]
    lines += table(("code", "meaning"), [(str(code.value), code.meaning) for code in ExitCode])
    for name, app in (
        ("alderhatch-entry", entry_program.app),
        ("alderhatch-control", control_program.app),
        ("alderhatch-upstream", upstream_program.app),
        ("alderhatch-demo", demo.app),
        ("alderhatchctl", ctl.app),
    ):
        for path, command in _documented_commands(typer.main.get_command(app), name):
            lines += ["", f"## `{path}`", "", *_command_lines(command)]
    return _page(
        "Commands",
        "Every program prints its commands and options with `--help`. All programs except the demo "
        "support shell completion after `--install-completion`.",
        lines,
    )


def _documented_commands(command: Any, path: str) -> Iterator[tuple[str, Any]]:
    if hasattr(command, "commands"):
        if command.params:
            yield path, command
        for name, subcommand in command.commands.items():
            yield from _documented_commands(subcommand, f"{path} {name}")
        return
    yield path, command


def _command_lines(command: Any) -> Iterator[str]:
    yield (command.help or "").split("\n")[0]
    rows = []
    for param in command.params:
        display_name = "/".join([*param.opts, *param.secondary_opts])
        if isinstance(param, click.Argument) or param.param_type_name == "argument":
            display_name = param.metavar or param.name
        rows.append((f"`{display_name}`", getattr(param, "help", "") or ""))
    if rows:
        yield ""
        yield from table(("argument or option", "meaning"), rows)


def _page(title: str, intro: str, body: Iterable[str]) -> str:
    return "\n".join([f"# {title}", "", GENERATED_NOTICE, "", intro, "", *body]) + "\n"


def pages() -> dict[Path, str]:
    """Return the content of every generated page by its path."""
    return {
        DOCS / "COMMANDS.md": commands_page(),
        DOCS / "ERRORS.md": errors_page(),
        DOCS / "EVENTS.md": events_page(),
        DOCS / "METRICS.md": metrics_page(),
        DOCS / "SETTINGS.md": settings_page(),
    }


def main() -> None:
    """Write all generated pages."""
    for path, text in pages().items():
        path.write_text(text)


if __name__ == "__main__":
    main()
