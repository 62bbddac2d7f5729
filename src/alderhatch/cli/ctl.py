"""``alderhatchctl``: the operators' command line, a client of the operator API."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from .. import __version__
from ..build_info import build_info
from . import ctl_caller, ctl_check, ctl_hosts, ctl_inspect, ctl_logs, ctl_rules
from .ctl_context import CtlContext, parse_endpoints, seconds_to_millis
from .exit_codes import ExitCode
from .program import exit_code_help

app = typer.Typer(
    name="alderhatchctl",
    no_args_is_help=True,
    rich_markup_mode=None,
    help=f"""Inspect and change an alderhatch tier.

    Give the hosts and the key before the command, or set them in the environment:

    \b
      export ALDERHATCH_CONTROLS=10.20.1.11:7501,10.20.2.11:7501
      export ALDERHATCH_KEY_FILE=~/.alderhatch-key
      export ALDERHATCH_ENTRIES=10.20.1.21:7400

    A typical change of rules that are kept in version control:

    \b
      alderhatchctl check rules.toml
      alderhatchctl rules diff rules.toml
      alderhatchctl rules apply rules.toml --wait in-force

    Each change prints its change ID before it is sent. If the answer is lost, send the same
    change again with that --change-id and --expect-revision: it is applied only once.

    {exit_code_help()}
    """,
)
app.add_typer(ctl_check.app)
app.add_typer(ctl_rules.app, name="rules")
app.add_typer(ctl_inspect.app)
app.add_typer(ctl_hosts.app)
app.add_typer(ctl_hosts.stop_app, name="stop")
app.add_typer(ctl_inspect.quarantine_app, name="quarantine")
app.add_typer(ctl_caller.app)
app.add_typer(ctl_logs.app)


def _show_version(requested: bool) -> None:
    if requested:
        build = build_info()
        typer.echo(f"alderhatch {__version__}, sources {build.sources}, commit {build.commit}")
        raise typer.Exit(ExitCode.OK)


@app.callback()
def common(
    ctx: typer.Context,
    control: Annotated[
        list[str] | None,
        typer.Option(
            envvar="ALDERHATCH_CONTROLS",
            help="ADDRESS:PORT of a control host's operator API; comma-separated or repeated.",
        ),
    ] = None,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            envvar="ALDERHATCH_ENTRIES",
            help="ADDRESS:PORT of an entry, for query and book; comma-separated or repeated.",
        ),
    ] = None,
    key_file: Annotated[
        Path | None,
        typer.Option(
            envvar="ALDERHATCH_KEY_FILE",
            help="A file with your key that only you can read. The key is never a command-line "
            "argument, because every user of the host can see those.",
        ),
    ] = None,
    timeout: Annotated[
        float, typer.Option(min=0.1, max=600, help="Seconds to wait for an answer, over all hosts.")
    ] = 10.0,
    in_force_timeout: Annotated[
        float, typer.Option(min=1, max=60, help="Seconds to wait with --wait in-force.")
    ] = 7.0,
    _version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True, help="Show the version."),
    ] = False,
) -> None:
    """Store the options that are given before the command."""
    ctx.obj = CtlContext(
        parse_endpoints(control or ()),
        parse_endpoints(entry or ()),
        key_file,
        seconds_to_millis(timeout),
        seconds_to_millis(in_force_timeout),
    )


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
