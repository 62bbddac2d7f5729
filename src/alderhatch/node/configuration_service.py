"""Takes operators' changes to the replicated log, and reads the newest one back."""

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

GROWTH_SPAN: Millis = 4 * SECOND
"""How long the first change waits for all members. Hosts join within a second; where there are
fewer disks than members wanted, the first change is taken after this time all the same."""


class ConfigurationService:
    """Accepts a change once enough disks hold it.

    Args:
        member: This host's part in the replicated log; None without a disk.
        register: The state that the log drives.
        tolerated: How many hosts with a disk may be lost at once.
        on_accepted: Told how long an accepted change took, in milliseconds.
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
        self._copies = tolerated + 1
        self._wanted = required_voters(tolerated)
        self._first_asked: Millis | None = None
        self._on_accepted = on_accepted
        self._clock = LoopClock()

    def _leading(self) -> ControlMember:
        if self._member is None:
            message = "this host takes no part in the replicated log"
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, None, 300))
        self._member.leading_log()
        return self._member

    async def put(self, version: int, document: bytes) -> int:
        """Accept a valid configuration.

        Args:
            version: The operator's number.
            document: The whole configuration as it was sent.

        Returns:
            The number that is in force now; higher than the given one if that was overtaken.

        Raises:
            AlderhatchError: If this host doesn't lead, or it is not known whether enough disks
                hold the change.
        """
        log = self._grown_log()
        began = self._clock.now()
        result = await log.propose(encode_configuration(pack_configuration(version, document)))
        in_force = result if isinstance(result, int) else self._register.stored.version
        span = self._clock.now() - began
        self._on_accepted(span)
        log_event(
            LogEvent.CONFIGURATION_ACCEPTED,
            version=version,
            in_force=in_force,
            took_ms=round(span),
            voters=len(log.membership.voters),
        )
        return in_force

    async def evacuate(self, zone: str, evacuate: bool) -> tuple[str, ...]:
        """Have nothing more sent to the servers of an availability zone, or take that back.

        The same order again is accepted without effect.

        Args:
            zone: The zone; one that is known.
            evacuate: Whether it is to get nothing, or to be used again.

        Returns:
            All availability zones that are evacuated now.

        Raises:
            AlderhatchError: If this host doesn't lead, or it is not known whether enough disks
                hold the order.
        """
        began = self._clock.now()
        await self._grown_log().propose(encode_evacuation(zone, evacuate))
        zones = self._register.evacuations.zones
        span = self._clock.now() - began
        log_event(
            LogEvent.EVACUATION_ACCEPTED,
            zone=zone,
            evacuated=evacuate,
            zones=list(zones),
            took_ms=round(span),
        )
        return zones

    def _grown_log(self) -> LogNode:
        """Return the log if this host leads it and it has the members for what may be lost.

        The log is founded by one host and the others join it one by one. A change committed in
        between would be on fewer disks than may be lost at once; and with two members the loss of
        one would stop all further changes, although the tier is to bear it.
        """
        log = self._leading().leading_log()
        membership = log.membership
        now = self._clock.now()
        if self._first_asked is None:
            self._first_asked = now
        is_founding = self._register.stored.version == 0 and now - self._first_asked < GROWTH_SPAN
        few = len(membership.voters) < self._wanted and is_founding
        if membership.majority < self._copies or few:
            message = f"the log has only {len(membership.voters)} of {self._wanted} members yet"
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, None, 300))
        return log

    async def read(self) -> StoredConfiguration:
        """Return the newest accepted configuration.

        Raises:
            AlderhatchError: If this host can't be sure which one is the newest.
        """
        await self._leading().leading_log().read_barrier()
        return self._register.stored
