"""Commits operators' changes to the replicated log and reads the newest configuration back."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import SECOND, LoopClock, Millis
from ..control.log_node import LogNode
from ..core.control.configuration_register import (
    ConfigurationRegister,
    StoredConfiguration,
    encode_configuration,
    encode_evacuation,
    pack_configuration,
)
from ..errors import AlderhatchError, ErrorKind, Failure
from ..log import log_event
from ..log_events import LogEvent
from .control_member import ControlMember
from .voter_plan import required_voters

INITIAL_JOIN_TIMEOUT: Millis = 4 * SECOND
"""How long the first change waits for all voters. Hosts join within a second. A tier with fewer
disks than the required voters accepts its first change after this time."""


class ConfigurationService:
    """Accepts a change once enough disks hold it.

    Args:
        member: This host's member of the replicated log; None without a disk.
        register: The state machine of the log.
        tolerated: How many hosts with a disk may be lost at once.
        on_accepted: Called with the time that an accepted change took, in milliseconds.
    """

    def __init__(
        self,
        member: ControlMember | None,
        register: ConfigurationRegister,
        tolerated: int,
        on_accepted: Callable[[Millis], None],
    ) -> None:
        self._member = member
        self._register = register
        self._required_copies = tolerated + 1
        self._required_voters = required_voters(tolerated)
        self._first_change_at: Millis | None = None
        self._on_accepted = on_accepted
        self._clock = LoopClock()

    def _leading_member(self) -> ControlMember:
        if self._member is None:
            message = "this host has no disk and is not a member of the replicated log"
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, None, 300))
        self._member.leading_log()
        return self._member

    async def put(self, version: int, document: bytes) -> int:
        """Accept a valid configuration.

        Args:
            version: The version that the operator gave it.
            document: The complete configuration as it was sent.

        Returns:
            The version that is in force now; higher than the given one if a newer configuration
            was accepted before.

        Raises:
            AlderhatchError: If this host does not lead, or it is unknown whether enough disks
                hold the change.
        """
        log = self._log_for_change()
        started_at = self._clock.now()
        result = await log.propose(encode_configuration(pack_configuration(version, document)))
        in_force = result if isinstance(result, int) else self._register.stored.version
        duration = self._clock.now() - started_at
        self._on_accepted(duration)
        log_event(
            LogEvent.CONFIGURATION_ACCEPTED,
            version=version,
            in_force=in_force,
            took_ms=round(duration),
            voters=len(log.membership.voters),
        )
        return in_force

    async def evacuate(self, zone: str, evacuate: bool) -> tuple[str, ...]:
        """Stop or resume sending requests to the servers of an availability zone.

        A directive that is already in force is accepted without effect.

        Args:
            zone: A known availability zone.
            evacuate: Whether its servers get no more requests; False to use them again.

        Returns:
            All availability zones that are evacuated now.

        Raises:
            AlderhatchError: If this host does not lead, or it is unknown whether enough disks
                hold the directive.
        """
        started_at = self._clock.now()
        await self._log_for_change().propose(encode_evacuation(zone, evacuate))
        zones = self._register.evacuations.zones
        duration = self._clock.now() - started_at
        log_event(
            LogEvent.EVACUATION_ACCEPTED,
            zone=zone,
            evacuated=evacuate,
            zones=list(zones),
            took_ms=round(duration),
        )
        return zones

    def _log_for_change(self) -> LogNode:
        """Return the log if this host leads it and it has enough members to accept a change.

        One host bootstraps the log and the others join it one by one. A change that is committed
        before they have joined would be on fewer disks than may be lost at once. With only two
        voters, the loss of one would also block all further changes, although the tier has to
        tolerate that loss.
        """
        log = self._leading_member().leading_log()
        membership = log.membership
        now = self._clock.now()
        if self._first_change_at is None:
            self._first_change_at = now
        is_starting = (
            self._register.stored.version == 0
            and now - self._first_change_at < INITIAL_JOIN_TIMEOUT
        )
        too_few = len(membership.voters) < self._required_voters and is_starting
        if membership.majority < self._required_copies or too_few:
            message = (
                f"the log has {len(membership.voters)} of {self._required_voters} required voters"
            )
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, None, 300))
        return log

    async def read(self) -> StoredConfiguration:
        """Return the newest accepted configuration.

        Raises:
            AlderhatchError: If this host can't confirm that its configuration is the newest.
        """
        await self._leading_member().leading_log().read_barrier()
        return self._register.stored
