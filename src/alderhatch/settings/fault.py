"""Errors in settings files, with their location and the allowed values."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class SettingsFault(NamedTuple):
    """One error in a settings file."""

    file: str
    line: int
    """The line of the error, counted from 1; 0 if the error is not in one line."""
    key: str
    """The dotted path of the invalid key; empty if the error concerns the whole file."""
    message: str
    allowed: str = ""
    """The values that are allowed; empty if there is no short description."""

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        subject = f"{self.key}: " if self.key else ""
        allowed = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{location}: {subject}{self.message}{allowed}"


class SettingsFaultsError(Exception):
    """A settings file has errors; none of its settings are used."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)
        """All errors, in the order of their lines."""
