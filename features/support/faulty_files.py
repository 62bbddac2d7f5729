"""An in-memory data folder with injected errors and crashes that lose unsynced bytes."""

from __future__ import annotations

import errno
from random import Random


class CrashError(BaseException):
    """Simulates a killed process; derived from ``BaseException`` so that no handler catches it."""


class _MemoryFile:
    def __init__(self) -> None:
        self.synced = b""
        self.data = b""


class _MemoryAppendFile:
    def __init__(self, files: FaultyFiles, file: _MemoryFile) -> None:
        self._files = files
        self._file = file

    def write(self, data: bytes) -> None:
        self._files.operate(
            "write", lambda fraction: self._append(data[: int(len(data) * fraction)])
        )

    def _append(self, data: bytes) -> None:
        self._file.data += data

    def sync(self) -> None:
        self._files.operate("sync", self._sync)

    def _sync(self, fraction: float) -> None:
        if fraction == 1.0:
            self._file.synced = self._file.data

    def close(self) -> None:
        return


class FaultyFiles:
    """Implements the ``Files`` protocol.

    ``crash_at`` is the number of the write operation that is executed partly, fully or not at all
    and then raises ``CrashError``. From operation ``fail_at`` on, operations raise an ``OSError``.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = Random(seed)
        self._files: dict[str, _MemoryFile] = {}
        self._synced_names: dict[str, _MemoryFile] = {}
        self._locked = False
        self.operations = 0
        self.crash_at = -1
        self.fail_at = -1
        self.fail_kind = ""
        self.error = errno.EIO

    def operate(self, kind, action) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            action(self._random.choice((0.0, 0.5, 0.9, 1.0)))
            raise CrashError(f"killed in operation {self.operations} ({kind})")
        if 0 <= self.fail_at <= self.operations and self.fail_kind in ("", kind):
            if kind == "write":
                action(0.5)
            raise OSError(self.error, errno.errorcode[self.error])
        action(1.0)

    def crash(self) -> None:
        """Keep synced data, a random part of the unsynced bytes and, at random, unsynced names."""
        self._locked = False
        self.crash_at = self.fail_at = -1
        if self._random.random() < 0.5:
            self._files = dict(self._synced_names)
        for file in self._files.values():
            if not file.data.startswith(file.synced):
                file.data = self._random.choice((file.data, file.synced))
            unsynced = file.data[len(file.synced) :]
            surviving = unsynced[: self._random.randint(0, len(unsynced))]
            if surviving and self._random.random() < 0.3:
                # A page that was not written reads as zeros, even if later pages were written.
                surviving = bytes(len(surviving) // 2) + surviving[len(surviving) // 2 :]
            file.data = file.synced + surviving
            file.synced = file.data
        self._synced_names = dict(self._files)

    # Access for tests that damage files

    def data(self, name) -> bytes:
        return self._files[name].data

    def replace(self, name, data) -> None:
        file = self._files.setdefault(name, _MemoryFile())
        file.data = file.synced = data
        self._synced_names[name] = file

    def delete(self, name) -> None:
        del self._files[name]
        self._synced_names.pop(name, None)

    # Files protocol

    def names(self):
        return sorted(self._files)

    def read(self, name):
        return self._files[name].data

    def read_range(self, name, offset, length):
        return self._files[name].data[offset : offset + length]

    def create(self, name):
        def create(fraction):
            if fraction == 1.0:
                self._files[name] = _MemoryFile()

        self.operate("create", create)
        return _MemoryAppendFile(self, self._files[name])

    def reopen(self, name):
        return _MemoryAppendFile(self, self._files[name])

    def truncate(self, name, size):
        def truncate(fraction):
            if fraction == 1.0:
                file = self._files[name]
                file.data = file.synced = file.data[:size]

        self.operate("truncate", truncate)

    def rename(self, name, new_name):
        def rename(fraction):
            if fraction == 1.0:
                self._files[new_name] = self._files.pop(name)

        self.operate("rename", rename)

    def remove(self, name):
        def remove(fraction):
            if fraction == 1.0:
                del self._files[name]

        self.operate("remove", remove)

    def sync_folder(self):
        def sync(fraction):
            if fraction == 1.0:
                self._synced_names = dict(self._files)

        self.operate("sync_folder", sync)

    def lock(self):
        if self._locked:
            return False
        self._locked = True
        return True

    def unlock(self):
        self._locked = False
