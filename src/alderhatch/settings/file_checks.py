"""Checks of the files that settings name; they hold on the host that runs the program."""

from __future__ import annotations

import os
import stat
from collections.abc import Iterator
from pathlib import Path

from .checks import CrossFault
from .models import ControlSettings, EntrySettings

MIN_SECRET_BYTES = 16


def check_entry_files(cfg: EntrySettings) -> list[CrossFault]:
    """Return what is wrong with the files that an entry's settings name."""
    faults: list[CrossFault] = []
    if cfg.secret_file is not None:
        faults += check_private_file("secret_file", cfg.secret_file, MIN_SECRET_BYTES)
    if cfg.rules_file is not None and not cfg.rules_file.is_file():
        faults.append(CrossFault(("rules_file",), f"there is no file {cfg.rules_file}", "a file"))
    return faults


def check_control_files(cfg: ControlSettings) -> list[CrossFault]:
    """Return what is wrong with the files that a control host's settings name."""
    faults = list(check_private_file("secret_file", cfg.secret_file, MIN_SECRET_BYTES))
    faults += check_private_file("keys_file", cfg.keys_file, 1)
    folder = cfg.data_folder
    if folder.exists() and not folder.is_dir():
        faults.append(CrossFault(("data_folder",), f"{folder} is no folder", "a folder"))
    elif folder.exists() and not os.access(folder, os.W_OK | os.X_OK):
        message = f"{folder} can't be written by this user"
        faults.append(CrossFault(("data_folder",), message, "a folder that the program owns"))
    elif not folder.exists() and not folder.parent.is_dir():
        message = f"neither {folder} nor the folder round it exists"
        faults.append(CrossFault(("data_folder",), message, "a folder on the host's disk"))
    return faults


def check_private_file(key: str, path: Path, min_bytes: int) -> Iterator[CrossFault]:
    """Check a file that holds something secret.

    Args:
        key: The setting that names it.
        path: The file.
        min_bytes: How long it has to be, without white space at its ends.

    Yields:
        What is wrong, without anything of the file's content.
    """
    try:
        mode = path.stat().st_mode
        size = len(path.read_bytes().strip()) if stat.S_ISREG(mode) else 0
    except OSError as exc:
        yield CrossFault((key,), f"{path}: {exc.strerror}", "a file that this user can read")
        return
    if not stat.S_ISREG(mode):
        yield CrossFault((key,), f"{path} is not an ordinary file", "an ordinary file")
        return
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        # Another user of the host could read the secret and join the tier, or change its rules
        # as an operator; nothing would be seen of it.
        message = f"{path} is open to others (mode {stat.S_IMODE(mode):o})"
        yield CrossFault((key,), message, "mode 600 or 400")
    if size < min_bytes:
        message = f"{path} holds {size} bytes"
        yield CrossFault((key,), message, f"{min_bytes} bytes or more")
