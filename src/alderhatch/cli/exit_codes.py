"""The closed table of the programs' exit codes."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What the exit code of each of the programs means."""

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
        """One sentence for help texts and the docs."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: "Done, or nothing had to be done.",
    ExitCode.FAULT: "A fault of alderhatch itself; the log has a traceback.",
    ExitCode.USAGE: "The command line was wrong; nothing was tried.",
    ExitCode.INVALID: "A settings or declaration file has mistakes; each was printed.",
    ExitCode.REFUSED: "Refused or failed; the message says why. The same again would not help.",
    ExitCode.CONFLICT: "The configuration is at another revision than expected; nothing changed.",
    ExitCode.UNAVAILABLE: "Nobody could take it now: not run, and worth another try later.",
    ExitCode.UNKNOWN: "It may have happened. The message says whether to send the same id.",
    ExitCode.DIFFERENT: "diff found differences.",
    ExitCode.NOT_IN_FORCE: "Accepted, but not in force everywhere within the time given.",
    ExitCode.CANNOT_START: "The program could not open its addresses or its data folder.",
}
