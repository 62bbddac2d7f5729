"""Reads the secret shared by all processes of the tier."""

from __future__ import annotations

from pathlib import Path

from .fault import SettingsFault, SettingsFaultsError
from .file_checks import MIN_SECRET_BYTES, check_private_file


def read_secret(path: Path) -> bytes:
    """Return the shared secret, without leading and trailing white space.

    Raises:
        SettingsFaultsError: If the file is missing, too short, or open to other users of the
            host. The message contains nothing of the file's content.
    """
    found = list(check_private_file("secret_file", path, MIN_SECRET_BYTES))
    if found:
        faults = [SettingsFault(str(path), 0, "secret_file", *fault[1:]) for fault in found]
        raise SettingsFaultsError(faults)
    return path.read_bytes().strip()
