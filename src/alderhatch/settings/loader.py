"""Loads the settings of a program from a TOML file and reports all errors in it."""

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

from .allowed_values import AllowedValues, closest_match
from .checks import KeyFault, check_control, check_entry
from .fault import SettingsFault, SettingsFaultsError
from .file_checks import check_control_files, check_entry_files
from .key_lines import KeyLines, KeyPath
from .models import ControlSettings, EntrySettings

MAX_FILE_BYTES = 1024 * 1024
MAX_VALUE_CHARS = 40
"""Longest invalid value that a message repeats."""

_Settings = TypeVar("_Settings", EntrySettings, ControlSettings)
_ERROR_MESSAGES = {
    "string_pattern_mismatch": "is not a valid name",
    "greater_than": "is out of range",
    "greater_than_equal": "is out of range",
    "less_than": "is out of range",
    "less_than_equal": "is out of range",
    "too_short": "has too few items",
    "too_long": "has too many items",
}
"""Messages by pydantic error type; other errors are reported as values of the wrong type."""
_PATH_KEYS = ("data_folder", "keys_file", "rules_file", "secret_file")


class TomlFile(NamedTuple):
    """A parsed TOML file with the lines of its keys."""

    name: str
    raw: dict[str, Any]
    lines: KeyLines

    def fault(self, path: KeyPath, message: str, allowed: str = "") -> SettingsFault:
        """Return a fault at a key of this file."""
        return SettingsFault(self.name, self.lines.find(path), format_path(path), message, allowed)


def format_path(path: KeyPath) -> str:
    """Format a path for messages: names separated by dots, list positions counted from 1."""
    parts = [f"[{part + 1}]" if isinstance(part, int) else f".{part}" for part in path]
    return "".join(parts).removeprefix(".")


def read_toml(path: Path) -> TomlFile:
    """Read a TOML file.

    Raises:
        SettingsFaultsError: If the file can't be read, is too large or is not valid TOML.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise _file_error(path, 0, f"can't be read: {exc.strerror}") from exc
    if len(data) > MAX_FILE_BYTES:
        raise _file_error(path, 0, f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        text = data.decode()
        raw = tomllib.loads(text)
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        raise _file_error(path, line, "is not UTF-8") from exc
    except tomllib.TOMLDecodeError as exc:
        found = re.search(r"line (\d+)", str(exc))
        line = int(found[1]) if found else len(text.splitlines())
        raise _file_error(path, line, f"is not TOML: {exc}") from exc
    try:
        orjson.dumps(raw, default=str)
    except orjson.JSONEncodeError as exc:
        raise _file_error(path, 0, "contains an integer of more than 64 bits") from exc
    return TomlFile(str(path), raw, KeyLines(text))


def load_entry(path: Path, check_files: bool = True) -> EntrySettings:
    """Load and validate the settings of ``alderhatch-entry``.

    Args:
        path: The TOML file; relative paths in it are resolved against its folder.
        check_files: Whether to check the files that the settings refer to. They need to exist
            only on the host that runs the program.

    Raises:
        SettingsFaultsError: With all errors in the file.
    """
    file = read_toml(path)
    return _load(file, path, EntrySettings, check_entry, check_entry_files if check_files else None)


def load_control(path: Path, check_files: bool = True) -> ControlSettings:
    """Load and validate the settings of ``alderhatch-control``.

    Args:
        path: The TOML file; relative paths in it are resolved against its folder.
        check_files: Whether to check the files that the settings refer to. They need to exist
            only on the host that runs the program.

    Raises:
        SettingsFaultsError: With all errors in the file.
    """
    file = read_toml(path)
    check_named_files = check_control_files if check_files else None
    return _load(file, path, ControlSettings, check_control, check_named_files)


def _load(
    file: TomlFile,
    path: Path,
    model: type[_Settings],
    check_model: Callable[[_Settings], list[KeyFault]],
    check_named_files: Callable[[_Settings], list[KeyFault]] | None,
) -> _Settings:
    checked, faults = _validate(file, model)
    if checked is not None:
        checked = _with_absolute_paths(checked, path.parent)
        found = check_model(checked) + (check_named_files(checked) if check_named_files else [])
        reported_keys = {fault.key for fault in faults}
        located_faults = [file.fault(*fault) for fault in found]
        faults += [fault for fault in located_faults if fault.key not in reported_keys]
    if faults or checked is None:
        raise SettingsFaultsError(sorted(faults, key=lambda fault: fault.line))
    return checked


def _validate(
    file: TomlFile, model: type[_Settings]
) -> tuple[_Settings | None, list[SettingsFault]]:
    try:
        return _parse(file.raw, model), []
    except ValidationError as exc:
        errors = [error for error in exc.errors() if not _is_follow_up_error(error)]
    allowed = AllowedValues(model.model_json_schema())
    faults = [to_settings_fault(file, allowed, error) for error in errors]
    # The valid keys are still checked against each other, so that one run reports all errors.
    remaining = _without_invalid_keys(file.raw, [error["loc"] for error in errors])
    try:
        return _parse(remaining, model), faults
    except ValidationError:
        return None, faults


def _parse(raw: dict[str, Any], model: type[_Settings]) -> _Settings:
    # Strict, because pydantic otherwise accepts "3" as a number and false as 0 milliseconds. JSON,
    # because strict mode accepts lists as tuples and strings as paths only from JSON.
    return model.model_validate_json(orjson.dumps(raw, default=str), strict=True)


def _is_follow_up_error(error: ErrorDetails) -> bool:
    """Return whether a list is reported as too short only because its elements are invalid."""
    input_value = error["input"]
    return error["type"] == "too_short" and isinstance(input_value, list) and len(input_value) > 0


def to_settings_fault(
    file: TomlFile, allowed: AllowedValues, error: ErrorDetails, table: KeyPath = ()
) -> SettingsFault:
    """Convert a pydantic error to a settings fault.

    Args:
        file: The file that was validated.
        allowed: The values that the model allows.
        error: The error reported by pydantic.
        table: The path of the table that was validated, if not the whole file.
    """
    relative_path = error["loc"]
    path = (*table, *relative_path)
    match error["type"]:
        case "extra_forbidden" | "unexpected_keyword_argument":
            keys = allowed.keys(relative_path[:-1])
            suggestion = closest_match(str(relative_path[-1]), keys)
            hint = f"unknown key; did you mean {suggestion}?" if suggestion else "unknown key"
            return file.fault(path, hint, ", ".join(keys))
        case "missing":
            return file.fault(path, "is missing", allowed.describe(relative_path))
        case "value_error":
            message = error["msg"].removeprefix("Value error, ")
            return file.fault(path, message, allowed.describe(relative_path))
        case kind:
            problem = _ERROR_MESSAGES.get(kind, "is of the wrong type")
            return file.fault(
                path, f"{_format_value(error['input'])}{problem}", allowed.describe(relative_path)
            )


def _format_value(value: object) -> str:
    """Format a short value for a message; return an empty string for a long one."""
    short = isinstance(value, bool | int | float | str) and len(str(value)) <= MAX_VALUE_CHARS
    return f"{value!r} " if short else ""


def _without_invalid_keys(raw: dict[str, Any], paths: Sequence[KeyPath]) -> dict[str, Any]:
    remaining = deepcopy(raw)
    for path in paths:
        node: Any = remaining
        try:
            for part in path[:-1]:
                node = node[part]
            if path[-1] == "port":
                node["port"] = 0
            elif isinstance(node, dict):
                node.pop(path[-1], None)
        except (KeyError, IndexError, TypeError):
            continue
    return remaining


def _with_absolute_paths(cfg: _Settings, folder: Path) -> _Settings:
    update: dict[str, Path] = {}
    for key in _PATH_KEYS:
        value = getattr(cfg, key, None)
        if value is not None:
            update[key] = (folder / value).resolve()
    return cfg.model_copy(update=update)


def _file_error(path: Path, line: int, message: str) -> SettingsFaultsError:
    return SettingsFaultsError([SettingsFault(str(path), line, "", message)])
