"""The state of a replicated log that holds one numbered configuration, and evacuations."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import NamedTuple

import cbor2

from .evacuations import NO_EVACUATIONS, Evacuations


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


def pack_configuration(version: int, document: bytes) -> StoredConfiguration:
    """Return a configuration as it is stored and passed on."""
    return StoredConfiguration(version, zlib.compress(document))


class TierDirectives(NamedTuple):
    """Everything that operators have ordered and that is in force."""

    configuration: StoredConfiguration
    evacuations: Evacuations


def encode_configuration(stored: StoredConfiguration) -> bytes:
    """Return the command that puts a configuration on the log."""
    return cbor2.dumps(list(stored))


def encode_evacuation(zone: str, evacuate: bool) -> bytes:
    """Return the command that evacuates an availability zone, or takes that back."""
    return cbor2.dumps([zone, evacuate])


class ConfigurationRegister:
    """Holds the configuration with the highest number, and which zones are evacuated.

    Operators choose the numbers, and a change may come again after its acknowledgement was lost,
    or late after a newer one. So the order of the log does not decide which one is in force, the
    number does, and what comes again is acknowledged without any effect. Evacuations have no number
    of the operator's; there the order of the log decides.

    Args:
        on_change: Called with each change of what is in force.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self.stored = NO_CONFIGURATION
        """The newest configuration."""
        self.evacuations = NO_EVACUATIONS
        """The evacuated availability zones."""

    @property
    def directives(self) -> TierDirectives:
        """What is in force."""
        return TierDirectives(self.stored, self.evacuations)

    def apply(self, index: int, command: bytes) -> object:
        """Take one committed change.

        Returns:
            The number of the configuration that is in force afterwards, or after an order about an
            availability zone all that are evacuated.
        """
        match cbor2.loads(command):
            case [str(zone), bool(evacuate)]:
                return self._evacuate(index, zone, evacuate)
            case [version, packed]:
                return self._store(StoredConfiguration(version, packed))
        raise ValueError("a command of neither kind")

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
        """Return the whole state."""
        number, zones = self.evacuations
        return cbor2.dumps([*self.stored, number, list(zones)])

    def restore(self, data: bytes) -> None:
        """Replace the whole state by an earlier snapshot."""
        # Snapshots of earlier releases end with the configuration.
        version, packed, *rest = cbor2.loads(data)
        self.stored = StoredConfiguration(version, packed)
        self.evacuations = Evacuations(rest[0], tuple(rest[1])) if rest else NO_EVACUATIONS
        self._on_change()
