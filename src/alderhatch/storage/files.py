"""File operations of the data folder, behind a protocol so that tests can make each one fail."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class AppendFile(Protocol):
    """A file that is opened for appending."""

    def write(self, data: bytes) -> None:
        """Write all bytes; they are durable only after ``sync`` has returned.

        Raises:
            OSError: If the disk is full or failed.
        """

    def sync(self) -> None:
        """Wait until all written bytes are on disk.

        Raises:
            OSError: If the bytes may not be on disk; the file must not be used any more.
        """

    def close(self) -> None:
        """Close the file without syncing it."""


class Files(Protocol):
    """The files of a folder. Names are relative to the folder."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""

    def read_range(self, name: str, offset: int, length: int) -> bytes:
        """Return a range of bytes of a file; fewer if the file ends before."""

    def create(self, name: str) -> AppendFile:
        """Create a file, or truncate an existing one to 0 bytes, and open it for appending."""

    def reopen(self, name: str) -> AppendFile:
        """Open a file for appending."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size and sync it."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name; durable once the folder is synced."""

    def remove(self, name: str) -> None:
        """Remove a file; durable once the folder is synced."""

    def sync_folder(self) -> None:
        """Wait until created, renamed and removed names are on disk."""

    def lock(self) -> bool:
        """Lock the folder for this process.

        Returns:
            Whether the lock was acquired. The kernel releases it when the process ends.
        """

    def unlock(self) -> None:
        """Release the lock."""


LOCK_NAME = "lock"


def write_atomically(files: Files, name: str, temporary_name: str, data: bytes) -> None:
    """Replace a file atomically: write a temporary file, sync it and rename it.

    If the file were overwritten in place, a power failure could leave a mix of old and new bytes.

    Args:
        files: Files of the folder.
        name: Name of the file.
        temporary_name: Name of the temporary file.
        data: New content of the file.

    Raises:
        OSError: If the disk is full or failed.
    """
    file = files.create(temporary_name)
    try:
        file.write(data)
        file.sync()
    finally:
        file.close()
    files.rename(temporary_name, name)
    files.sync_folder()


class DiskAppendFile:
    """A file on a real disk."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        """Write all bytes, with as many calls as needed."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._fd, remaining) :]

    def sync(self) -> None:
        """Call fsync; an error is permanent, as the kernel may have dropped the dirty pages."""
        os.fsync(self._fd)

    def close(self) -> None:
        """Close the file descriptor."""
        os.close(self._fd)


class DiskFiles:
    """A folder on a real disk."""

    def __init__(self, folder: Path) -> None:
        """Use a folder; it is created with its parents if it does not exist."""
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_fd: int | None = None

    def names(self) -> list[str]:
        """Return the names of all regular files, sorted."""
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.folder / name).read_bytes()

    def read_range(self, name: str, offset: int, length: int) -> bytes:
        """Return a range of bytes of a file."""
        with (self.folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(length)

    def create(self, name: str) -> DiskAppendFile:
        """Create a file, or truncate an existing one to 0 bytes, and open it for appending."""
        return self._open(name, os.O_CREAT | os.O_TRUNC)

    def reopen(self, name: str) -> DiskAppendFile:
        """Open a file for appending."""
        return self._open(name, 0)

    def _open(self, name: str, flags: int) -> DiskAppendFile:
        flags |= os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        return DiskAppendFile(os.open(self.folder / name, flags, 0o600))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size and sync it."""
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
        """Call fsync on the directory, which makes changed names durable."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> bool:
        """Lock the folder with ``flock`` on a file in it."""
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
        """Release the lock."""
        if self._lock_fd is not None:
            os.close(self._lock_fd)
            self._lock_fd = None
