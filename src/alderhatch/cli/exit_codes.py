"""The exit codes of the programs."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """An exit code of the programs."""

    OK = 0
    FAULT = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    DIFFERENT = 8
    NOT_IN_FORCE = 9
    CANNOT_START = 10

    @property
    def meaning(self) -> str:
        """Description for help texts and the documentation."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: "Success, or there was nothing to do.",
    ExitCode.FAULT: "An internal error in alderhatch; the log has a traceback.",
    ExitCode.USAGE: "The command line was invalid; nothing was done.",
    ExitCode.INVALID: "A settings or declaration file has errors; each was printed.",
    ExitCode.REFUSED: "Refused or failed; the message says why. A retry would not help.",
    ExitCode.CONFLICT: "The configuration is at another revision than expected; nothing changed.",
    ExitCode.UNAVAILABLE: "No host could accept it now; it did not run and can be retried later.",
    ExitCode.UNKNOWN: "Outcome unknown. The message says whether to resend it with the same ID.",
    ExitCode.DIFFERENT: "diff found differences.",
    ExitCode.NOT_IN_FORCE: "Accepted, but not in force everywhere within the time limit.",
    ExitCode.CANNOT_START: "The program could not open its addresses or its data folder.",
}
