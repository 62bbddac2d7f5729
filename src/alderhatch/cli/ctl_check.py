"""``alderhatchctl check``: settings and declarations, checked without any process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from ..settings.declaration import Declaration, load_declaration
from ..settings.fault import SettingsFault, SettingsFaultsError
from ..settings.loader import load_control, load_entry, read_toml
from ..settings.models import ControlSettings, EntrySettings
from .ctl_context import OutputOption
from .exit_codes import ExitCode
from .printing import OutputFormat, print_faults

app = typer.Typer()


class FileKind(StrEnum):
    """What a file holds."""

    AUTO = "auto"
    """Told from the keys at its top."""
    ENTRY = "entry"
    CONTROL = "control"
    RULES = "rules"


_KEYS_OF = {
    FileKind.RULES: {"rule"},
    FileKind.CONTROL: {"data_folder", "peers", "links", "keys_file"},
    FileKind.ENTRY: {"upstreams", "callers", "controls", "rules_file"},
}


class _Checked(NamedTuple):
    """What was found in the files so far."""

    faults: list[SettingsFault]
    warnings: list[SettingsFault]
    entries: list[tuple[Path, EntrySettings]]
    controls: list[tuple[Path, ControlSettings]]
    declarations: list[tuple[Path, Declaration]]


@app.command()
def check(
    paths: Annotated[
        list[Path], typer.Argument(metavar="FILE...", help="Settings and declarations.")
    ],
    kind: Annotated[
        FileKind, typer.Option(help="What the files hold; auto tells it from their keys.")
    ] = FileKind.AUTO,
    files: Annotated[
        bool,
        typer.Option("--files", help="Also check the files that settings name, on their host."),
    ] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Check files offline and print every mistake with its line and what is allowed.

    Given several files, it also checks that they fit together: no name or address twice, the
    same control hosts everywhere, no rule for an upstream that no entry has.
    """
    found = _Checked([], [], [], [], [])
    for path in paths:
        _check_one(path, kind, files, found)
    found.faults.extend(_check_set(found))
    print_faults(found.faults, output)
    for warning in found.warnings:
        typer.echo(f"warning: {warning}", err=True)
    if found.faults:
        raise typer.Exit(ExitCode.INVALID)
    if output is OutputFormat.TABLE:
        typer.echo(f"{len(paths)} files, no mistakes")


def _check_one(path: Path, kind: FileKind, files: bool, found: _Checked) -> None:
    try:
        match _kind_of(path) if kind is FileKind.AUTO else kind:
            case FileKind.RULES:
                declaration = load_declaration(path)
                found.declarations.append((path, declaration))
                found.warnings.extend(declaration.warnings)
            case FileKind.CONTROL:
                found.controls.append((path, load_control(path, files)))
            case _:
                found.entries.append((path, load_entry(path, files)))
    except SettingsFaultsError as exc:
        found.faults.extend(exc.faults)


def _kind_of(path: Path) -> FileKind:
    given = set(read_toml(path).raw)
    hits = {kind: len(given & keys) for kind, keys in _KEYS_OF.items()}
    best = max(hits, key=lambda kind: hits[kind])
    if hits[best] == 0:
        message = "neither the settings of a program nor a declaration"
        allowed = "the keys of one of them; or say --kind"
        raise SettingsFaultsError([SettingsFault(str(path), 0, "", message, allowed)])
    return best


def _check_set(found: _Checked) -> list[SettingsFault]:
    faults = _twice("name", [(path, cfg.name) for path, cfg in found.entries])
    faults += _twice("name", [(path, cfg.name) for path, cfg in found.controls])
    callers = [(path, f"{cfg.callers.address}:{cfg.callers.port}") for path, cfg in found.entries]
    faults += _twice("callers", callers)
    peers = {cfg.peers for _, cfg in found.controls} | {cfg.controls for _, cfg in found.entries}
    if len(peers) > 1:
        last = (found.entries or found.controls)[-1][0]
        message = "the files do not agree on the control hosts"
        faults.append(SettingsFault(str(last), 0, "controls", message, "the same in every file"))
    if found.entries:
        faults += _unknown_upstreams(found)
    return faults


def _twice(key: str, given: Sequence[tuple[Path, str]]) -> list[SettingsFault]:
    counts = Counter(value for _, value in given)
    return [
        SettingsFault(str(path), 0, key, f"{value!r} is also in another file", "each once")
        for path, value in given
        if counts[value] > 1
    ]


def _unknown_upstreams(found: _Checked) -> Iterable[SettingsFault]:
    known = {upstream.name for _, cfg in found.entries for upstream in cfg.upstreams}
    for path, declaration in found.declarations:
        for position, rule in enumerate(declaration.rules.rules, start=1):
            for name in rule.when.upstream:
                if name not in known:
                    key = f"rule {position} ({rule.name}): when.upstream"
                    message = f"no entry has an upstream {name!r}"
                    yield SettingsFault(str(path), 0, key, message, ", ".join(sorted(known)))
