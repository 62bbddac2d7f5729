"""The few file operations that the data folder needs, so that tests can make each of them fail."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class AppendFile(Protocol):
    """A file that is only ever written at its end."""

    def write(self, data: bytes) -> None:
        """Write all the bytes; they last only once ``sync`` has returned.

        Raises:
            OSError: If the disk is full or failed.
        """

    def sync(self) -> None:
        """Return once everything written is on disk.

        Raises:
            OSError: If that can't be known; the file is not to be used any more.
        """

    def close(self) -> None:
        """Close the file without syncing it."""


class Files(Protocol):
    """A folder's files. Names are relative to the folder."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""

    def read_part(self, name: str, offset: int, length: int) -> bytes:
        """Return some bytes of a file; fewer if it ends before."""

    def create(self, name: str) -> AppendFile:
        """Create an empty file, or empty one that is there, and open it for writing."""

    def reopen(self, name: str) -> AppendFile:
        """Open a file for writing at its end."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file off and sync it."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, in place of one with the new name; lasts once the folder is synced."""

    def remove(self, name: str) -> None:
        """Remove a file; lasts once the folder is synced."""

    def sync_folder(self) -> None:
        """Return once created, renamed and removed names are on disk."""

    def lock(self) -> bool:
        """Lock the folder for this process.

        Returns:
            Whether the lock was free. The kernel frees it when the process ends, however it ends.
        """

    def unlock(self) -> None:
        """Free the lock."""


LOCK_NAME = "lock"


def write_atomically(files: Files, name: str, temporary: str, data: bytes) -> None:
    """Put a whole new file in place of one, or nothing of it.

    Written in place, the file would be half old and half new after a loss of power.

    Args:
        files: The folder.
        name: The file.
        temporary: The name under which it is written first.
        data: Its new bytes.

    Raises:
        OSError: If the disk is full or failed.
    """
    file = files.create(temporary)
    try:
        file.write(data)
        file.sync()
    finally:
        file.close()
    files.rename(temporary, name)
    files.sync_folder()


class DiskAppendFile:
    """A file on a real disk."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        """Write all the bytes, however many calls that takes."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._fd, rest) :]

    def sync(self) -> None:
        """Call fsync; its error is final, as the kernel may have dropped the dirty pages."""
        os.fsync(self._fd)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._fd)


class DiskFiles:
    """A folder on a real disk."""

    def __init__(self, folder: Path) -> None:
        """Use a folder, which is created with its parents if need be."""
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_fd: int | None = None

    def names(self) -> list[str]:
        """Return the names of all regular files, sorted."""
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.folder / name).read_bytes()

    def read_part(self, name: str, offset: int, length: int) -> bytes:
        """Return some bytes of a file."""
        with (self.folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(length)

    def create(self, name: str) -> DiskAppendFile:
        """Create or empty a file."""
        return self._open(name, os.O_CREAT | os.O_TRUNC)

    def reopen(self, name: str) -> DiskAppendFile:
        """Open a file for writing at its end."""
        return self._open(name, 0)

    def _open(self, name: str, flags: int) -> DiskAppendFile:
        flags |= os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        return DiskAppendFile(os.open(self.folder / name, flags, 0o600))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file off and sync it."""
        fd = os.open(self.folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file."""
        os.replace(self.folder / name, self.folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self.folder / name).unlink()

    def sync_folder(self) -> None:
        """Sync the folder's own entry list."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> bool:
        """Lock the folder by ``flock`` on a file in it."""
        if self._lock_fd is not None:
            return False
        fd = os.open(self.folder / LOCK_NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self._lock_fd = fd
        return True

    def unlock(self) -> None:
        """Free the lock."""
        if self._lock_fd is not None:
            os.close(self._lock_fd)
            self._lock_fd = None
