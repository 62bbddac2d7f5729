"""The users' platform: its settings, its protocol and its list of servers, translated.

Nothing outside this package knows a name of the platform; nothing inside it decides anything.
"""

from __future__ import annotations

from ..process_start import PROCESS_STARTED

__all__ = ["PROCESS_STARTED"]
