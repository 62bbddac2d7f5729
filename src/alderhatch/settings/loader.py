"""Reads the settings of a program from a TOML file and reports every mistake in it."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Sequence
from copy import deepcopy
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import orjson
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from .allowed_values import AllowedValues, nearest
from .checks import CrossFault, check_control, check_entry
from .fault import SettingsFault, SettingsFaultsError
from .file_checks import check_control_files, check_entry_files
from .key_lines import KeyLines, KeyPath
from .models import ControlSettings, EntrySettings

MAX_FILE_BYTES = 1024 * 1024
MAX_SHOWN = 40
"""Characters of a faulty value that a message repeats at most."""

_Settings = TypeVar("_Settings", EntrySettings, ControlSettings)
_MESSAGES = {
    "string_pattern_mismatch": "is not a valid name",
    "greater_than": "is out of its range",
    "greater_than_equal": "is out of its range",
    "less_than": "is out of its range",
    "less_than_equal": "is out of its range",
    "too_short": "has too few items",
    "too_long": "has too many items",
}
"""How an error of pydantic is told; the rest are values of the wrong type."""
_PATH_KEYS = ("data_folder", "keys_file", "rules_file", "secret_file")


class TomlFile(NamedTuple):
    """A TOML file as read, with the lines of its keys."""

    name: str
    raw: dict[str, Any]
    lines: KeyLines

    def fault(self, path: KeyPath, message: str, allowed: str = "") -> SettingsFault:
        """Return a fault at one key of this file."""
        return SettingsFault(self.name, self.lines.find(path), dotted(path), message, allowed)


def dotted(path: KeyPath) -> str:
    """Return a path for people to read: dots between names, list positions counted from 1."""
    parts = [f"[{part + 1}]" if isinstance(part, int) else f".{part}" for part in path]
    return "".join(parts).removeprefix(".")


def read_toml(path: Path) -> TomlFile:
    """Read a TOML file.

    Raises:
        SettingsFaultsError: If it can't be read, is too large or is not TOML.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise _whole_file(path, 0, f"can't be read: {exc.strerror}") from exc
    if len(data) > MAX_FILE_BYTES:
        raise _whole_file(path, 0, f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        text = data.decode()
        raw = tomllib.loads(text)
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        raise _whole_file(path, line, "is not UTF-8") from exc
    except tomllib.TOMLDecodeError as exc:
        found = re.search(r"line (\d+)", str(exc))
        line = int(found[1]) if found else len(text.splitlines())
        raise _whole_file(path, line, f"is not TOML: {exc}") from exc
    try:
        orjson.dumps(raw, default=str)
    except orjson.JSONEncodeError as exc:
        raise _whole_file(path, 0, "holds a number of more than 64 bits") from exc
    return TomlFile(str(path), raw, KeyLines(text))


def load_entry(path: Path, check_files: bool = True) -> EntrySettings:
    """Read and check the settings of ``alderhatch-entry``.

    Args:
        path: The TOML file; paths in it are relative to its folder.
        check_files: Whether the files that it names must be there and fit, as they have to on
            the host that runs the program.

    Raises:
        SettingsFaultsError: With every mistake.
    """
    file = read_toml(path)
    return _load(file, path, EntrySettings, check_entry, check_entry_files if check_files else None)


def load_control(path: Path, check_files: bool = True) -> ControlSettings:
    """Read and check the settings of ``alderhatch-control``.

    Args:
        path: The TOML file; paths in it are relative to its folder.
        check_files: Whether the files that it names must be there and fit, as they have to on
            the host that runs the program.

    Raises:
        SettingsFaultsError: With every mistake.
    """
    file = read_toml(path)
    files = check_control_files if check_files else None
    return _load(file, path, ControlSettings, check_control, files)


def _load(
    file: TomlFile,
    path: Path,
    model: type[_Settings],
    cross: Callable[[_Settings], list[CrossFault]],
    files: Callable[[_Settings], list[CrossFault]] | None,
) -> _Settings:
    checked, faults = _validate(file, model)
    if checked is not None:
        checked = _with_absolute_paths(checked, path.parent)
        found = cross(checked) + (files(checked) if files else [])
        known = {fault.key for fault in faults}
        more = [file.fault(*fault) for fault in found]
        faults += [fault for fault in more if fault.key not in known]
    if faults or checked is None:
        raise SettingsFaultsError(sorted(faults, key=lambda fault: fault.line))
    return checked


def _validate(
    file: TomlFile, model: type[_Settings]
) -> tuple[_Settings | None, list[SettingsFault]]:
    try:
        return _check(file.raw, model), []
    except ValidationError as exc:
        errors = [error for error in exc.errors() if not _is_echo(error)]
    allowed = AllowedValues(model.model_json_schema())
    faults = [to_settings_fault(file, allowed, error) for error in errors]
    # Comparisons between the keys that are sound are made too, so that one run shows every fault.
    sound = _without(file.raw, [error["loc"] for error in errors])
    try:
        return _check(sound, model), faults
    except ValidationError:
        return None, faults


def _check(raw: dict[str, Any], model: type[_Settings]) -> _Settings:
    # Strict, or pydantic would take "3 s" for text and false for 0 milliseconds. As JSON, because
    # only there do lists stand for tuples and text for paths under strict rules.
    return model.model_validate_json(orjson.dumps(raw, default=str), strict=True)


def _is_echo(error: ErrorDetails) -> bool:
    """Return whether a list only counts as too short because its elements have mistakes."""
    given = error["input"]
    return error["type"] == "too_short" and isinstance(given, list) and len(given) > 0


def to_settings_fault(
    file: TomlFile, allowed: AllowedValues, error: ErrorDetails, table: KeyPath = ()
) -> SettingsFault:
    """Return the fault that an error of pydantic tells of.

    Args:
        file: Where it is.
        allowed: What the model allows.
        error: What pydantic says.
        table: The path of the table that was checked.
    """
    inner = error["loc"]
    path = (*table, *inner)
    match error["type"]:
        case "extra_forbidden" | "unexpected_keyword_argument":
            keys = allowed.keys(inner[:-1])
            close = nearest(str(inner[-1]), keys)
            hint = f"unknown key; did you mean {close}?" if close else "unknown key"
            return file.fault(path, hint, ", ".join(keys))
        case "missing":
            return file.fault(path, "is missing", allowed.describe(inner))
        case "value_error":
            message = error["msg"].removeprefix("Value error, ")
            return file.fault(path, message, allowed.describe(inner))
        case kind:
            what = _MESSAGES.get(kind, "is of the wrong type")
            return file.fault(path, f"{_shown(error['input'])}{what}", allowed.describe(inner))


def _shown(value: object) -> str:
    """Return a short value for a message; the long ones are left out."""
    short = isinstance(value, bool | int | float | str) and len(str(value)) <= MAX_SHOWN
    return f"{value!r} " if short else ""


def _without(raw: dict[str, Any], paths: Sequence[KeyPath]) -> dict[str, Any]:
    sound = deepcopy(raw)
    for path in paths:
        node: Any = sound
        try:
            for part in path[:-1]:
                node = node[part]
            if path[-1] == "port":
                node["port"] = 0
            elif isinstance(node, dict):
                node.pop(path[-1], None)
        except (KeyError, IndexError, TypeError):
            continue
    return sound


def _with_absolute_paths(cfg: _Settings, folder: Path) -> _Settings:
    update: dict[str, Path] = {}
    for key in _PATH_KEYS:
        value = getattr(cfg, key, None)
        if value is not None:
            update[key] = (folder / value).resolve()
    return cfg.model_copy(update=update)


def _whole_file(path: Path, line: int, message: str) -> SettingsFaultsError:
    return SettingsFaultsError([SettingsFault(str(path), line, "", message)])
