"""``alderhatchctl rules``: shows and changes the ordered list of rules."""

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
    exit_if_not_in_force,
    get_context,
    load_declaration_or_exit,
    make_change,
    new_change_id,
    run_or_exit,
    send_change,
)
from .difference import compare_rules, compare_tier
from .exit_codes import ExitCode
from .operator_client import api_path
from .printing import OutputFormat, format_time, print_fields, print_json, print_table

app = typer.Typer(
    help="Show and change the ordered list of rules; the first matching rule applies."
)

NameArgument = Annotated[str, typer.Argument(metavar="NAME", help="The rule's name.")]
FileArgument = Annotated[
    Path, typer.Argument(metavar="FILE", help="A declaration: TOML with [[rule]] tables.")
]
SingleRuleArgument = Annotated[
    Path, typer.Argument(metavar="FILE", help="TOML with exactly one [[rule]] table.")
]
TIER_SUFFIX = "-tier"
POSITION_HELP = "The rule's new position, counted from 1."


@app.command("list")
def list_rules(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the rules in the order in which they are evaluated."""
    client = get_context(ctx).client()
    answer = run_or_exit(output, lambda: client.get("/v1/rules"))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    typer.echo(f"revision {answer['revision']}")
    rows = [
        (position, rule["name"], _format_conditions(rule), _format_treatment(rule))
        for position, rule in enumerate(answer["rules"], start=1)
    ]
    print_table(("position", "name", "when", "then"), rows)


@app.command()
def show(ctx: typer.Context, name: NameArgument, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show a rule with its history, also after it was withdrawn."""
    client = get_context(ctx).client()
    answer = run_or_exit(output, lambda: client.get(api_path("rules", name)))
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    print_fields(answer)


@app.command()
def add(
    ctx: typer.Context,
    file: SingleRuleArgument,
    position: Annotated[int | None, typer.Option(min=1, help=POSITION_HELP)] = None,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Add the rule of FILE, at the end unless a position is given."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    fields: dict[str, Any] = {"rule": _load_single_rule(file, output)}
    if position is not None:
        fields["position"] = position
    make_change(ctx, "POST", "/v1/rules", fields, options)


@app.command()
def edit(
    ctx: typer.Context,
    name: NameArgument,
    file: SingleRuleArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Replace rule NAME with the rule of FILE, which has the same name."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    make_change(
        ctx, "PUT", api_path("rules", name), {"rule": _load_single_rule(file, output)}, options
    )


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
    """Move rule NAME to another position in the list."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    make_change(ctx, "POST", api_path("rules", name, "move"), {"position": position}, options)


@app.command()
def withdraw(
    ctx: typer.Context,
    name: NameArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Remove rule NAME from the list. Its history stays."""
    options = ChangeOptions(change_id, expect_revision, wait, output)
    make_change(ctx, "POST", api_path("rules", name, "withdraw"), {}, options)


@app.command()
def apply(
    ctx: typer.Context,
    file: FileArgument,
    change_id: ChangeIdOption = None,
    expect_revision: ExpectRevisionOption = None,
    wait: WaitOption = Wait.ACCEPTED,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Apply the declaration in FILE. Applying the same FILE again changes nothing.

    The list of rules is replaced as a whole. Tier settings in FILE are set and the others stay;
    they are a separate change that is made first and whose change ID ends in -tier.
    """
    declaration = load_declaration_or_exit(file, output)
    options = ChangeOptions(change_id or new_change_id(), expect_revision, wait, output)
    answers = []
    if declaration.tier:
        first = options._replace(change_id=f"{options.change_id}{TIER_SUFFIX}")
        answers.append(
            send_change(ctx, "PUT", "/v1/settings", {"settings": declaration.tier}, first)
        )
        options = options._replace(expect_revision=answers[0]["revision"])
    answers.append(
        send_change(ctx, "PUT", "/v1/rules", {"rules": _declared_rules(declaration)}, options)
    )
    if output is OutputFormat.JSON:
        print_json(answers)
    elif any(answer["changed"] for answer in answers):
        rules = len(declaration.rules.rules)
        typer.echo(f"{rules} rules accepted, now at revision {answers[-1]['revision']}")
    else:
        typer.echo(f"nothing to change at revision {answers[-1]['revision']}")
    exit_if_not_in_force(answers[-1])


@app.command()
def diff(ctx: typer.Context, file: FileArgument, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show what apply FILE would change; exit code 8 if there are differences."""
    declaration = load_declaration_or_exit(file, output)
    client = get_context(ctx).client()
    answer = run_or_exit(output, lambda: client.get("/v1/rules"))
    all_differences = compare_rules(answer["rules"], _declared_rules(declaration))
    if declaration.tier:
        settings = run_or_exit(output, lambda: client.get("/v1/settings"))["settings"]
        all_differences = compare_tier(settings, declaration.tier) + all_differences
    if output is OutputFormat.JSON:
        differences = [item._asdict() for item in all_differences]
        print_json({"revision": answer["revision"], "differences": differences})
    elif all_differences:
        print_table(("change", "what", "field", "now", "declared"), all_differences)
    else:
        typer.echo(f"no difference from revision {answer['revision']}")
    if all_differences:
        raise typer.Exit(ExitCode.DIFFERENT)


@app.command()
def history(
    ctx: typer.Context,
    name: Annotated[str | None, typer.Argument(metavar="[NAME]", help="Only this rule.")] = None,
    limit: Annotated[
        int, typer.Option(min=1, max=200, help="The maximum number of changes to show.")
    ] = 50,
    before: Annotated[int | None, typer.Option(min=1, help="Only older revisions.")] = None,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show who changed what and when, newest first; with NAME, only changes of that rule."""
    client = get_context(ctx).client()
    if name is None:
        answer = run_or_exit(output, lambda: client.get("/v1/history", limit=limit, before=before))
        items = answer["changes"]
    else:
        answer = run_or_exit(output, lambda: client.get(api_path("rules", name)))
        items = answer["history"]
    if output is OutputFormat.JSON:
        print_json(answer)
        return
    columns = ("who", "action", "target", "change_id")
    rows = [
        [item["revision"], format_time(item["at_ms"]), *(item.get(column) for column in columns)]
        for item in items
    ]
    print_table(("revision", "time", "who", "action", "target", "change id"), rows)


def _declared_rules(declaration: Declaration) -> list[dict[str, Any]]:
    return declaration.rules.to_plain()


def _load_single_rule(file: Path, output: OutputFormat) -> dict[str, Any]:
    rules = load_declaration_or_exit(file, output).rules.rules
    if len(rules) != 1:
        raise typer.BadParameter(f"{file} has {len(rules)} rules, expected exactly one")
    return rule_to_plain(rules[0])


def _format_conditions(rule: dict[str, Any]) -> str:
    conditions = {name: value for name, value in rule["when"].items() if value not in (None, [])}
    return _format_fields(conditions) or "any request"


def _format_treatment(rule: dict[str, Any]) -> str:
    return _format_fields(
        {name: value for name, value in rule["then"].items() if value is not None}
    )


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={_format_value(value)}" for name, value in fields.items())


def _format_value(value: object) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:g}"
        case dict():
            operator = "^" if value.get("prefix") is not None else "="
            return f"{value['name']}{operator}{value.get('prefix') or value.get('equals')}"
    if isinstance(value, Sequence) and not isinstance(value, str):
        return ",".join(_format_value(item) for item in value)
    return str(value)
