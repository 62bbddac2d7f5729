"""The replicated state that holds one versioned configuration and the evacuations."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import NamedTuple

import cbor2

from ...errors import AlderhatchError, ErrorKind, Failure
from .evacuations import NO_EVACUATIONS, Evacuations


class StoredConfiguration(NamedTuple):
    """A compressed configuration document."""

    version: int
    """The version chosen by the operator; 0 means no configuration."""
    packed: bytes

    @property
    def document(self) -> bytes:
        """The document as the operator sent it.

        Raises:
            AlderhatchError: If the bytes hold no document.
        """
        try:
            return zlib.decompress(self.packed)
        except zlib.error as exc:
            message = f"packed: expected a compressed document: {exc}"
            raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, message, "packed")) from exc


NO_CONFIGURATION = StoredConfiguration(0, b"")


def pack_configuration(version: int, document: bytes) -> StoredConfiguration:
    """Return a configuration in its stored form."""
    return StoredConfiguration(version, zlib.compress(document))


class TierDirectives(NamedTuple):
    """The configuration and evacuations that are in force."""

    configuration: StoredConfiguration
    evacuations: Evacuations


def encode_configuration(stored: StoredConfiguration) -> bytes:
    """Return the log command that stores a configuration."""
    return cbor2.dumps(list(stored))


def encode_evacuation(zone: str, evacuate: bool) -> bytes:
    """Return the log command that starts or ends the evacuation of an availability zone."""
    return cbor2.dumps([zone, evacuate])


class ConfigurationRegister:
    """Holds the configuration with the highest version and the evacuated availability zones.

    Operators choose the versions. A configuration can be resent after its acknowledgement was lost,
    or arrive after a newer one. Therefore the version, not the order of the log, decides which
    configuration is in force, and a repeated one is acknowledged without effect. Evacuations have
    no version chosen by the operator, so the order of the log decides.

    Args:
        on_change: Called after each change of the configuration or the evacuations.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self.stored = NO_CONFIGURATION
        """The configuration with the highest version."""
        self.evacuations = NO_EVACUATIONS
        """The evacuated availability zones."""

    @property
    def directives(self) -> TierDirectives:
        """The configuration and evacuations that are in force."""
        return TierDirectives(self.stored, self.evacuations)

    def apply(self, index: int, command: bytes) -> object:
        """Apply one committed command.

        Returns:
            The version of the configuration in force, or after an evacuation command the names of
            all evacuated availability zones.

        Raises:
            ValueError: If the command is neither a configuration nor an evacuation.
        """
        match cbor2.loads(command):
            case [str(zone), bool(evacuate)]:
                return self._evacuate(index, zone, evacuate)
            case [version, packed]:
                return self._store(StoredConfiguration(version, packed))
        raise ValueError("command is neither a configuration nor an evacuation")

    def _store(self, stored: StoredConfiguration) -> int:
        if stored.version > self.stored.version:
            self.stored = stored
            self._on_change()
        return self.stored.version

    def _evacuate(self, index: int, zone: str, evacuate: bool) -> tuple[str, ...]:
        before = self.evacuations
        self.evacuations = before.with_zone(index, zone, evacuate)
        if self.evacuations is not before:
            self._on_change()
        return self.evacuations.zones

    def snapshot(self) -> bytes:
        """Return the state as bytes."""
        number, zones = self.evacuations
        return cbor2.dumps([*self.stored, number, list(zones)])

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        # Snapshots of earlier releases contain no evacuations.
        version, packed, *rest = cbor2.loads(data)
        self.stored = StoredConfiguration(version, packed)
        self.evacuations = Evacuations(rest[0], tuple(rest[1])) if rest else NO_EVACUATIONS
        self._on_change()
