"""``alderhatchctl check``: checks settings and declarations offline."""

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
    """The type of a file."""

    AUTO = "auto"
    """Detected from the top-level keys."""
    ENTRY = "entry"
    CONTROL = "control"
    RULES = "rules"


_TYPICAL_KEYS = {
    FileKind.RULES: {"rule"},
    FileKind.CONTROL: {"data_folder", "peers", "links", "keys_file"},
    FileKind.ENTRY: {"upstreams", "callers", "controls", "rules_file"},
}


class _CheckResults(NamedTuple):
    """Errors, warnings and contents of the files checked so far."""

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
        FileKind, typer.Option(help="The type of the files; auto detects it from their keys.")
    ] = FileKind.AUTO,
    files: Annotated[
        bool,
        typer.Option(
            "--files", help="Also check the files that the settings name; run it on their host."
        ),
    ] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Check files offline and print every error with its line and the allowed values.

    With several files, it also checks that they are consistent: no duplicate name or address,
    the same control hosts everywhere, no rule for an upstream that no entry has.
    """
    results = _CheckResults([], [], [], [], [])
    for path in paths:
        _check_file(path, kind, files, results)
    results.faults.extend(_check_consistency(results))
    print_faults(results.faults, output)
    for warning in results.warnings:
        typer.echo(f"warning: {warning}", err=True)
    if results.faults:
        raise typer.Exit(ExitCode.INVALID)
    if output is OutputFormat.TABLE:
        typer.echo(f"{len(paths)} files, no errors")


def _check_file(path: Path, kind: FileKind, files: bool, results: _CheckResults) -> None:
    try:
        match _detect_kind(path) if kind is FileKind.AUTO else kind:
            case FileKind.RULES:
                declaration = load_declaration(path)
                results.declarations.append((path, declaration))
                results.warnings.extend(declaration.warnings)
            case FileKind.CONTROL:
                results.controls.append((path, load_control(path, files)))
            case _:
                results.entries.append((path, load_entry(path, files)))
    except SettingsFaultsError as exc:
        results.faults.extend(exc.faults)


def _detect_kind(path: Path) -> FileKind:
    found_keys = set(read_toml(path).raw)
    match_counts = {kind: len(found_keys & keys) for kind, keys in _TYPICAL_KEYS.items()}
    best = max(match_counts, key=lambda kind: match_counts[kind])
    if match_counts[best] == 0:
        message = "keys of neither a settings file nor a declaration"
        allowed = "the keys of one of them, or give --kind"
        raise SettingsFaultsError([SettingsFault(str(path), 0, "", message, allowed)])
    return best


def _check_consistency(results: _CheckResults) -> list[SettingsFault]:
    faults = _find_duplicates("name", [(path, cfg.name) for path, cfg in results.entries])
    faults += _find_duplicates("name", [(path, cfg.name) for path, cfg in results.controls])
    callers = [(path, f"{cfg.callers.address}:{cfg.callers.port}") for path, cfg in results.entries]
    faults += _find_duplicates("callers", callers)
    peers = {cfg.peers for _, cfg in results.controls} | {
        cfg.controls for _, cfg in results.entries
    }
    if len(peers) > 1:
        last = (results.entries or results.controls)[-1][0]
        message = "the files name different control hosts"
        faults.append(SettingsFault(str(last), 0, "controls", message, "the same in every file"))
    if results.entries:
        faults += _find_unknown_upstreams(results)
    return faults


def _find_duplicates(key: str, values: Sequence[tuple[Path, str]]) -> list[SettingsFault]:
    counts = Counter(value for _, value in values)
    return [
        SettingsFault(str(path), 0, key, f"{value!r} is also in another file", "each once")
        for path, value in values
        if counts[value] > 1
    ]


def _find_unknown_upstreams(results: _CheckResults) -> Iterable[SettingsFault]:
    known_names = {upstream.name for _, cfg in results.entries for upstream in cfg.upstreams}
    for path, declaration in results.declarations:
        for position, rule in enumerate(declaration.rules.rules, start=1):
            for name in rule.when.upstream:
                if name not in known_names:
                    key = f"rule {position} ({rule.name}): when.upstream"
                    message = f"no entry has an upstream {name!r}"
                    yield SettingsFault(str(path), 0, key, message, ", ".join(sorted(known_names)))
