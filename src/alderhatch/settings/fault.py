"""What is wrong with a settings file: every mistake with its place and what is allowed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class SettingsFault(NamedTuple):
    """One mistake in one file."""

    file: str
    line: int
    """The line that is at fault, counted from 1; 0 for the file as a whole."""
    key: str
    """A dotted path to the key at fault, empty for the file as a whole."""
    message: str
    allowed: str = ""
    """What may stand there, where that can be said in a few words."""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        subject = f"{self.key}: " if self.key else ""
        allowed = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{place}: {subject}{self.message}{allowed}"


class SettingsFaultsError(Exception):
    """A settings file has mistakes; none of it is taken."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)
        """All mistakes, in the order of their lines."""
