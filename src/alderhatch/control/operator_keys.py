"""Operators' keys and what each may do."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from ..errors import AlderhatchError, ErrorKind, Failure

MIN_KEY_LENGTH = 16
_SCHEME = "bearer "


class OperatorRole(StrEnum):
    """What a key is good for."""

    READ = "read"
    CHANGE = "change"
    """Everything, reading included."""


class Operator(NamedTuple):
    """Who a key belongs to."""

    name: str
    role: OperatorRole


class KeyFileError(Exception):
    """The key file has a line that is no key; the message names the line, never the key."""


class OperatorKeys:
    """The keys of one key file."""

    def __init__(self, keys: Mapping[str, Operator]) -> None:
        self._keys = [(key.encode(), operator) for key, operator in keys.items()]

    def find(self, headers: Mapping[str, str]) -> Operator:
        """Return the operator whose key a request carries.

        Args:
            headers: The request's header fields with lower-case names.

        Raises:
            AlderhatchError: ``unauthorized`` if there is no key or nobody has it.
        """
        value = headers.get("authorization", "")
        found: Operator | None = None
        if value[: len(_SCHEME)].lower() == _SCHEME:
            given = value[len(_SCHEME) :].strip().encode()
            # Comparing up to the first difference, or stopping at the first match, lets a caller
            # find a key byte by byte from how long the refusal takes.
            for key, operator in self._keys:
                if hmac.compare_digest(key, given):
                    found = operator
        if found is None:
            raise AlderhatchError(Failure(ErrorKind.UNAUTHORIZED, "no key, or not a known one"))
        return found


def parse_keys(text: str) -> OperatorKeys:
    """Read the lines ``operator role key`` of a key file.

    Raises:
        KeyFileError: With the number of the first line at fault.
    """
    keys: dict[str, Operator] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split("#", 1)[0].split()
        if not words:
            continue
        if len(words) != 3:
            raise KeyFileError(f"line {number}: expected three words: operator, role, key")
        name, role, key = words
        if role not in tuple(OperatorRole):
            raise KeyFileError(f"line {number}: the role is read or change")
        if len(key) < MIN_KEY_LENGTH:
            raise KeyFileError(f"line {number}: the key has under {MIN_KEY_LENGTH} characters")
        if key in keys:
            raise KeyFileError(f"line {number}: the key stands in the file twice")
        keys[key] = Operator(name, OperatorRole(role))
    return OperatorKeys(keys)


def load_keys(path: Path) -> OperatorKeys:
    """Read a key file.

    Raises:
        KeyFileError: If it can't be read or has a line at fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise KeyFileError(f"{path}: {exc}") from exc
    return parse_keys(text)
