"""The state of a replicated log that holds one numbered configuration."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import NamedTuple

import cbor2


class StoredConfiguration(NamedTuple):
    """A configuration as it was sent, compressed."""

    version: int
    """The number that the operator chose; 0 stands for none."""
    packed: bytes

    @property
    def document(self) -> bytes:
        """The bytes that the operator sent."""
        return zlib.decompress(self.packed)


NO_CONFIGURATION = StoredConfiguration(0, b"")


def pack(version: int, document: bytes) -> StoredConfiguration:
    """Return a configuration as it is stored and passed on."""
    return StoredConfiguration(version, zlib.compress(document))


def encode_command(stored: StoredConfiguration) -> bytes:
    """Return the command that puts a configuration on the log."""
    return cbor2.dumps(list(stored))


class ConfigurationRegister:
    """Holds the configuration with the highest number; the others leave it as it is.

    Operators choose the numbers, and a change may come again after its acknowledgement was lost,
    or late after a newer one. So the order of the log does not decide which one is in force, the
    number does, and what comes again is acknowledged without any effect.

    Args:
        on_change: Called with each configuration that is newer than the one before.
    """

    def __init__(self, on_change: Callable[[StoredConfiguration], None]) -> None:
        self._on_change = on_change
        self.stored = NO_CONFIGURATION
        """The newest configuration."""

    def apply(self, index: int, command: bytes) -> object:
        """Take one committed change; return the number that is in force afterwards."""
        version, packed = cbor2.loads(command)
        if version > self.stored.version:
            self._set(StoredConfiguration(version, packed))
        return self.stored.version

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return encode_command(self.stored)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier snapshot."""
        version, packed = cbor2.loads(data)
        self._set(StoredConfiguration(version, packed))

    def _set(self, stored: StoredConfiguration) -> None:
        self.stored = stored
        self._on_change(stored)
