"""Checks the files that settings refer to, on the host that runs the program."""

from __future__ import annotations

import os
import stat
from collections.abc import Iterator
from pathlib import Path

from .checks import KeyFault
from .models import ControlSettings, EntrySettings

MIN_SECRET_BYTES = 16


def check_entry_files(cfg: EntrySettings) -> list[KeyFault]:
    """Return the faults of the files that an entry's settings refer to."""
    faults: list[KeyFault] = []
    if cfg.secret_file is not None:
        faults += check_private_file("secret_file", cfg.secret_file, MIN_SECRET_BYTES)
    if cfg.rules_file is not None and not cfg.rules_file.is_file():
        faults.append(
            KeyFault(("rules_file",), f"{cfg.rules_file} is not a file", "an existing file")
        )
    return faults


def check_control_files(cfg: ControlSettings) -> list[KeyFault]:
    """Return the faults of the files that a control host's settings refer to."""
    faults = list(check_private_file("secret_file", cfg.secret_file, MIN_SECRET_BYTES))
    faults += check_private_file("keys_file", cfg.keys_file, 1)
    folder = cfg.data_folder
    if folder.exists() and not folder.is_dir():
        faults.append(KeyFault(("data_folder",), f"{folder} is not a folder", "a folder"))
    elif folder.exists() and not os.access(folder, os.W_OK | os.X_OK):
        message = f"{folder} is not writable by this user"
        faults.append(KeyFault(("data_folder",), message, "a folder that the program can write to"))
    elif not folder.exists() and not folder.parent.is_dir():
        message = f"neither {folder} nor its parent folder exists"
        faults.append(
            KeyFault(("data_folder",), message, "a folder, or a path in an existing folder")
        )
    return faults


def check_private_file(key: str, path: Path, min_bytes: int) -> Iterator[KeyFault]:
    """Check a file that contains a secret.

    Args:
        key: The setting that refers to the file.
        path: The path of the file.
        min_bytes: The minimum length, without leading and trailing white space.

    Yields:
        The errors found; their messages contain nothing of the file's content.
    """
    try:
        mode = path.stat().st_mode
        size = len(path.read_bytes().strip()) if stat.S_ISREG(mode) else 0
    except OSError as exc:
        yield KeyFault((key,), f"{path}: {exc.strerror}", "a file that this user can read")
        return
    if not stat.S_ISREG(mode):
        yield KeyFault((key,), f"{path} is not a regular file", "a regular file")
        return
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        # With the secret or a key, another user of the host could join the tier or change its
        # rules as an operator, unnoticed.
        message = f"{path} is open to others (mode {stat.S_IMODE(mode):o})"
        yield KeyFault((key,), message, "mode 600 or 400")
    if size < min_bytes:
        message = f"{path} contains {size} bytes"
        yield KeyFault((key,), message, f"at least {min_bytes} bytes")
