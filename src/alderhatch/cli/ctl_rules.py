"""``alderhatchctl rules``: the ordered list of rules."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import typer

from ..core.rule_list import rule_to_plain
from ..settings.declaration import Declaration
from .ctl_context import (
    ChangeIdOption,
    ChangeOptions,
    ExpectRevisionOption,
    OutputOption,
    Wait,
    WaitOption,
    ask,
    change,
    context_of,
    declaration_or_exit,
    exit_if_not_in_force,
    new_change_id,
    send_change,
)
from .difference import compare_rules, compare_tier
from .exit_codes import ExitCode
from .operator_client import path_of
from .printing import OutputFormat, print_fields, print_json, print_table, shown_time

app = typer.Typer(help="Show and change the ordered list of rules; the first match decides.")

NameArgument = Annotated[str, typer.Argument(metavar="NAME", help="The rule's name.")]
FileArgument = Annotated[
    Path, typer.Argument(metavar="FILE", help="A declaration: TOML with [[rule]] tables.")
]
OneRuleArgument = Annotated[
    Path, typer.Argument(metavar="FILE", help="TOML with exactly one [[rule]] table.")
]
TIER_SUFFIX = "-tier"
POSITION_HELP = "Its new place, counted from 1."


@app.command("list")
def list_rules(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the rules in the order in which they are tried."""
    client = context_of(ctx).client()
    answer = ask(output, lambda: client.get("/v1/rules"))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    typer.echo(f"revision {answer['revision']}")
    rows = [
        (position, rule["name"], _conditions(rule), _treatment(rule))
        for position, rule in enumerate(answer["rules"], start=1)
    ]
    print_table(("place", "name", "when", "then"), rows)


@app.command()
def show(ctx: typer.Context, name: NameArgument, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show one rule with its history; a withdrawn rule still has one."""
    client = context_of(ctx).client()
    answer = ask(output, lambda: client.get(path_of("rules", name)))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    print_fields(answer)


@app.command()
def add(
    ctx: typer.Context,
    file: OneRuleArgument,
    position: Annotated[int | None, typer.Option(min=1, help=POSITION_HELP)] = None,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Add the rule of FILE, at the end unless a position is given."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    fields: dict[str, Any] = {"rule": _only_rule(file, output)}
    if position is not None:
        fields["position"] = position
    change(ctx, "POST", "/v1/rules", fields, options)


@app.command()
def edit(
    ctx: typer.Context,
    name: NameArgument,
    file: OneRuleArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Put the rule of FILE, which has the same name, in the place of rule NAME."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    change(ctx, "PUT", path_of("rules", name), {"rule": _only_rule(file, output)}, options)


@app.command()
def move(
    ctx: typer.Context,
    name: NameArgument,
    position: Annotated[int, typer.Argument(min=1, help=POSITION_HELP)],
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Move rule NAME to another place in the list."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    change(ctx, "POST", path_of("rules", name, "move"), {"position": position}, options)


@app.command()
def withdraw(
    ctx: typer.Context,
    name: NameArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Take rule NAME out of the list. Its history stays."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    change(ctx, "POST", path_of("rules", name, "withdraw"), {}, options)


@app.command()
def apply(
    ctx: typer.Context,
    file: FileArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Make the tier what FILE declares. The same FILE twice changes nothing.

    The rules are replaced as a whole. Of the tier's settings, those in FILE are set and the
    others stay; they are a change of their own, made first, whose change id ends in -tier.
    """
    declaration = declaration_or_exit(file, output)
    options = ChangeOptions(change_id or new_change_id(), expect_revision, wait, output)
    answers = []
    if declaration.tier:
        first = options._replace(change_id=f"{options.change_id}{TIER_SUFFIX}")
        answers.append(
            send_change(ctx, "PUT", "/v1/settings", {"settings": declaration.tier}, first)
        )
        options = options._replace(expect_revision=answers[0]["revision"])
    answers.append(send_change(ctx, "PUT", "/v1/rules", {"rules": _plain(declaration)}, options))
    if output is OutputFormat.JSON:
        print_json(answers)
    elif any(answer["changed"] for answer in answers):
        rules = len(declaration.rules.rules)
        typer.echo(f"{rules} rules are accepted, now at revision {answers[-1]['revision']}")
    else:
        typer.echo(f"nothing to change at revision {answers[-1]['revision']}")
    exit_if_not_in_force(answers[-1])


@app.command()
def diff(ctx: typer.Context, file: FileArgument, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show what apply FILE would change; exit code 8 if there is anything."""
    declaration = declaration_or_exit(file, output)
    client = context_of(ctx).client()
    answer = ask(output, lambda: client.get("/v1/rules"))
    found = compare_rules(answer["rules"], _plain(declaration))
    if declaration.tier:
        settings = ask(output, lambda: client.get("/v1/settings"))["settings"]
        found = compare_tier(settings, declaration.tier) + found
    if output is OutputFormat.JSON:
        differences = [item._asdict() for item in found]
        print_json({"revision": answer["revision"], "differences": differences})
    elif found:
        print_table(("change", "what", "field", "now", "declared"), found)
    else:
        typer.echo(f"no difference from revision {answer['revision']}")
    if found:
        raise typer.Exit(ExitCode.DIFFERENT)


@app.command()
def history(
    ctx: typer.Context,
    name: Annotated[str | None, typer.Argument(metavar="[NAME]", help="Only this rule.")] = None,
    limit: Annotated[int, typer.Option(min=1, max=200, help="Changes to show at most.")] = 50,
    before: Annotated[int | None, typer.Option(min=1, help="Only older revisions.")] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show who changed what and when, the newest first; with NAME, that rule's own history."""
    client = context_of(ctx).client()
    if name is None:
        answer = ask(output, lambda: client.get("/v1/history", limit=limit, before=before))
        items = answer["changes"]
    else:
        answer = ask(output, lambda: client.get(path_of("rules", name)))
        items = answer["history"]
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    columns = ("who", "action", "target", "change_id")
    rows = [
        [item["revision"], shown_time(item["at_ms"]), *(item.get(column) for column in columns)]
        for item in items
    ]
    print_table(("revision", "time", "who", "action", "target", "change id"), rows)


def _plain(declaration: Declaration) -> list[dict[str, Any]]:
    return declaration.rules.to_plain()


def _only_rule(file: Path, output: OutputFormat) -> dict[str, Any]:
    rules = declaration_or_exit(file, output).rules.rules
    if len(rules) != 1:
        raise typer.BadParameter(f"{file} has {len(rules)} rules, exactly one is expected")
    return rule_to_plain(rules[0])


def _conditions(rule: dict[str, Any]) -> str:
    given = {name: value for name, value in rule["when"].items() if value not in (None, [])}
    return _joined(given) or "any request"


def _treatment(rule: dict[str, Any]) -> str:
    return _joined({name: value for name, value in rule["then"].items() if value is not None})


def _joined(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={_word(value)}" for name, value in fields.items())


def _word(value: object) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:g}"
        case dict():
            test = "^" if value.get("prefix") is not None else "="
            return f"{value['name']}{test}{value.get('prefix') or value.get('equals')}"
    if isinstance(value, Sequence) and not isinstance(value, str):
        return ",".join(_word(item) for item in value)
    return str(value)
