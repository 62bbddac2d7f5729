"""Takes operators' changes to the replicated log, and reads the newest one back."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import LoopClock, Millis
from ..core.control.configuration_register import (
    ConfigurationRegister,
    StoredConfiguration,
    encode_command,
    pack,
)
from ..errors import AlderhatchError, ErrorKind, Failure
from ..log import log_event
from ..log_events import LogEvent
from .control_member import ControlMember


class ConfigurationDesk:
    """Accepts a change once enough disks hold it.

    Args:
        member: This host's part in the replicated log; None without a disk.
        register: The state that the log drives.
        copies: On how many disks a change has to be before it is acknowledged.
        on_accepted: Told how long an accepted change took, in milliseconds.
    """

    def __init__(
        self,
        member: ControlMember | None,
        register: ConfigurationRegister,
        copies: int,
        on_accepted: Callable[[Millis], None],
    ) -> None:
        self._member = member
        self._register = register
        self._copies = copies
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
        log = self._leading().leading_log()
        if log.membership.majority < self._copies:
            # The log was founded by one host. Until enough others have joined, what is committed
            # is on fewer disks than may be lost at once.
            message = f"fewer than {self._copies} disks would hold the change"
            raise AlderhatchError(Failure(ErrorKind.NO_LEADER, message, None, 300))
        began = self._clock.now()
        result = await log.propose(encode_command(pack(version, document)))
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

    async def read(self) -> StoredConfiguration:
        """Return the newest accepted configuration.

        Raises:
            AlderhatchError: If this host can't be sure which one is the newest.
        """
        await self._leading().leading_log().read_barrier()
        return self._register.stored
