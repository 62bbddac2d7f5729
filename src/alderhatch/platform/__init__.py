"""Adapter to the users' platform: its settings, HTTP protocol and list of servers.

The platform's names occur only in this package. The package translates and makes no decisions.
"""

from __future__ import annotations

from ..process_start import PROCESS_STARTED

__all__ = ["PROCESS_STARTED"]
