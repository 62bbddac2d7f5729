"""The keys of operators and their roles."""

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
    """What a key permits."""

    READ = "read"
    CHANGE = "change"
    """Changes and reading."""


class Operator(NamedTuple):
    """The holder of a key, with its role."""

    name: str
    role: OperatorRole


class KeyFileError(Exception):
    """The key file can't be read or has an invalid line; the message never contains a key."""


class OperatorKeys:
    """The operators by key, as listed in a key file."""

    def __init__(self, keys: Mapping[str, Operator]) -> None:
        self._keys = [(key.encode(), operator) for key, operator in keys.items()]

    def authenticate(self, headers: Mapping[str, str]) -> Operator:
        """Return the operator whose key a request contains.

        Args:
            headers: The request's header fields with lower-case names.

        Raises:
            AlderhatchError: ``unauthorized`` if the key is missing or unknown.
        """
        header = headers.get("authorization", "")
        found: Operator | None = None
        if header[: len(_SCHEME)].lower() == _SCHEME:
            presented_key = header[len(_SCHEME) :].strip().encode()
            # The comparison takes constant time and covers all keys. If it ended at the first
            # difference or match, a caller could guess a key byte by byte from the response time.
            for key, operator in self._keys:
                if hmac.compare_digest(key, presented_key):
                    found = operator
        if found is None:
            raise AlderhatchError(
                Failure(ErrorKind.UNAUTHORIZED, "operator key missing or unknown")
            )
        return found


def parse_keys(text: str) -> OperatorKeys:
    """Parse the lines ``operator role key`` of a key file.

    Raises:
        KeyFileError: With the number of the first invalid line.
    """
    keys: dict[str, Operator] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        fields = line.split("#", 1)[0].split()
        if not fields:
            continue
        if len(fields) != 3:
            raise KeyFileError(f"line {number}: expected three words: operator, role, key")
        name, role, key = fields
        if role not in tuple(OperatorRole):
            raise KeyFileError(f"line {number}: expected the role read or change")
        if len(key) < MIN_KEY_LENGTH:
            raise KeyFileError(f"line {number}: the key has under {MIN_KEY_LENGTH} characters")
        if key in keys:
            raise KeyFileError(f"line {number}: the key occurs a second time")
        keys[key] = Operator(name, OperatorRole(role))
    return OperatorKeys(keys)


def load_keys(path: Path) -> OperatorKeys:
    """Read a key file.

    Raises:
        KeyFileError: If the file can't be read or has an invalid line.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise KeyFileError(f"{path}: {exc}") from exc
    return parse_keys(text)
