"""The registered hosts and what operators have declared about them."""

from __future__ import annotations

from typing import Any, NamedTuple

from ...clock import Millis
from ...errors import AlderhatchError, ErrorKind, Failure
from .actions import CancelStop, DepartHost, HostRole, PlanStop, RepairControl, ReturnServer
from .operations import AnnounceControl, EntryKey, RegisterEntry

MAX_ENTRIES = 1000
MAX_CONTROLS = 64
MAX_LEAVING_SERVERS = 4096
MAX_DEPARTED = 1000


class EntryRecord(NamedTuple):
    """A registered entry process, which may hold a lease."""

    name: str
    incarnation: str
    zone: str
    address: str
    port: int
    registered_at: Millis
    link_address: str = ""
    link_port: int = 0
    """The port for links from other entries; 0 if it accepts none."""


class ControlRecord(NamedTuple):
    """A control host and its declared state."""

    name: str
    zone: str
    address: str
    port: int
    operator_address: str
    operator_port: int
    mark: str
    """Empty, ``stopping``, ``departing`` or ``replaced``."""
    joins_for: str
    """The host that this one replaces, if any."""


class Quorum(NamedTuple):
    """The voting and the unreachable control hosts when the leader proposed a change."""

    voters: tuple[str, ...]
    down: tuple[str, ...]


class HostTable:
    """Entries, control hosts and leaving upstream servers.

    Planned stops are checked here, against the state to which the change is applied. Thus two stops
    that are each harmless alone cannot both be accepted if together they are not.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EntryRecord] = {}
        """The registered entries by name."""
        self.controls: dict[str, ControlRecord] = {}
        """The control hosts that announced themselves or were declared, by name."""
        self.stopping: dict[str, str] = {}
        """Entries with a planned stop by name: ``stopping``, or ``departing`` if permanent."""
        self.departed: dict[str, Millis] = {}
        """The time at which each departed entry left; departed entries get no lease."""
        self.leaving_servers: dict[tuple[str, str], Millis] = {}
        """Servers that get no new requests, with the time, by upstream and server ID."""
        self.last_removal: Millis | None = None
        """When an entry was last removed; None if never."""

    def register(self, entry: RegisterEntry, now: Millis) -> str | None:
        """Register an entry process; return the reason if it is refused, else None."""
        if entry.name in self.departed:
            return f"{entry.name} has departed"
        if entry.name not in self.entries and len(self.entries) >= MAX_ENTRIES:
            return f"there are {MAX_ENTRIES} entries already"
        known = self.entries.get(entry.name)
        if known is not None and known.incarnation != entry.incarnation:
            return f"another process of {entry.name} still holds a lease"
        if known is None:
            links = (entry.link_address, entry.link_port)
            self.entries[entry.name] = EntryRecord(*entry[:5], now, *links)
        return None

    def is_registered(self, key: EntryKey) -> bool:
        """Return whether an entry process is registered."""
        known = self.entries.get(key.name)
        return known is not None and known.incarnation == key.incarnation

    def remove(self, key: EntryKey, now: Millis) -> bool:
        """Remove an entry process; return whether it was registered."""
        if not self.is_registered(key):
            return False
        del self.entries[key.name]
        self.last_removal = now
        if self.stopping.pop(key.name, None) == "departing":
            self.departed[key.name] = now
            while len(self.departed) > MAX_DEPARTED:
                del self.departed[next(iter(self.departed))]
        return True

    def announce(self, control: AnnounceControl) -> bool:
        """Store the addresses of a control host; return whether they changed.

        A host that announces itself has started, which completes a planned stop.
        """
        known = self.controls.get(control.name)
        if known is None and len(self.controls) >= MAX_CONTROLS:
            return False
        mark = known.mark if known is not None and known.mark != "stopping" else ""
        joins_for = known.joins_for if known is not None else ""
        record = ControlRecord(*control, mark, joins_for)
        self.controls[control.name] = record
        return record != known

    def plan_stop(self, action: PlanStop, quorum: Quorum) -> bool:
        """Plan a stop; return whether that changes anything.

        Raises:
            AlderhatchError: ``not_found``, or ``stop_refused`` if the stop would take the quorum or
                the last serving entry of an availability zone.
        """
        if action.host in self.entries:
            return self._stop_entry(action.host, "stopping", action.forced)
        if action.host in self.controls:
            return self._stop_control(action.host, "stopping", action.forced, quorum)
        raise _not_found(f"no entry or control host {action.host!r}")

    def cancel_stop(self, action: CancelStop) -> bool:
        """Cancel a stop or departure; return whether that changes anything.

        Raises:
            AlderhatchError: ``not_found`` if no such host is known.
        """
        if self.stopping.pop(action.host, None) is not None:
            return True
        if self.departed.pop(action.host, None) is not None:
            return True
        record = self.controls.get(action.host)
        if record is not None and record.mark in ("stopping", "departing"):
            self.controls[action.host] = record._replace(mark="")
            return True
        if record is not None or action.host in self.entries:
            return False
        raise _not_found(f"no entry or control host {action.host!r}")

    def depart(self, action: DepartHost, quorum: Quorum, now: Millis) -> bool:
        """Declare a departure; return whether that changes anything.

        Raises:
            AlderhatchError: ``not_found``, ``stop_refused`` or ``invalid_change``.
        """
        match action.role:
            case HostRole.UPSTREAM:
                return self._leave_server(action, now)
            case HostRole.ENTRY if action.host in self.entries:
                return self._stop_entry(action.host, "departing", action.forced)
            case HostRole.CONTROL if action.host in self.controls:
                return self._stop_control(action.host, "departing", action.forced, quorum)
            case _:
                raise _not_found(f"no {action.role} host {action.host!r}")

    def return_server(self, action: ReturnServer) -> bool:
        """Cancel the departure of a server; return whether that changes anything."""
        key = (action.upstream, action.server)
        return self.leaving_servers.pop(key, None) is not None

    def repair(self, action: RepairControl, quorum: Quorum) -> bool:
        """Declare that a new member replaces a control host.

        Raises:
            AlderhatchError: ``not_found``, ``stop_refused`` or ``invalid_change``.
        """
        if action.host not in self.controls:
            raise _not_found(f"no control host {action.host!r}")
        if action.replacement in self.controls:
            # A member with this name may have voted before. With an empty disk it could vote a
            # second time in the same term, which could undo a committed entry.
            message = f"{action.replacement!r} was used before; a new disk needs a new name"
            raise _invalid("replacement.name", message)
        if not action.forced:
            self._check_quorum(action.host, quorum)
        record = self.controls[action.host]
        self.controls[action.host] = record._replace(mark="replaced")
        self.controls[action.replacement] = ControlRecord(
            action.replacement, action.zone, action.address, action.port, "", 0, "", action.host
        )
        return True

    def to_plain(self) -> dict[str, Any]:
        """Return the state as plain maps and lists."""
        return {
            "entries": [list(record) for record in self.entries.values()],
            "controls": [list(record) for record in self.controls.values()],
            "stopping": [list(item) for item in self.stopping.items()],
            "departed": [list(item) for item in self.departed.items()],
            "leaving": [[*key, at] for key, at in self.leaving_servers.items()],
            "last_removal": self.last_removal,
        }

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> HostTable:
        """Return the state from the result of ``to_plain``."""
        table = cls()
        table.entries = {row[0]: EntryRecord(*row) for row in plain["entries"]}
        table.controls = {row[0]: ControlRecord(*row) for row in plain["controls"]}
        table.stopping = dict(plain["stopping"])
        table.departed = dict(plain["departed"])
        table.leaving_servers = {(up, server): at for up, server, at in plain["leaving"]}
        table.last_removal = plain["last_removal"]
        return table

    def _stop_entry(self, name: str, mark: str, forced: bool) -> bool:
        if self.stopping.get(name) == mark:
            return False
        zone = self.entries[name].zone
        others = [
            record.name
            for record in self.entries.values()
            if record.zone == zone and record.name != name and record.name not in self.stopping
        ]
        if not others and not forced:
            raise _refused(f"{name} is the last serving entry of availability zone {zone}")
        self.stopping[name] = mark
        return True

    def _stop_control(self, name: str, mark: str, forced: bool, quorum: Quorum) -> bool:
        if self.controls[name].mark == mark:
            return False
        if not forced:
            self._check_quorum(name, quorum)
        self.controls[name] = self.controls[name]._replace(mark=mark)
        return True

    def _check_quorum(self, name: str, quorum: Quorum) -> None:
        if name not in quorum.voters:
            return
        marked = {record.name for record in self.controls.values() if record.mark}
        gone = marked | set(quorum.down) | {name}
        left = [voter for voter in quorum.voters if voter not in gone]
        needed = len(quorum.voters) // 2 + 1
        if len(left) >= needed:
            return
        raise _refused(
            f"without {name} only {len(left)} of {len(quorum.voters)} control hosts would run, "
            f"the quorum is {needed}"
        )

    def _leave_server(self, action: DepartHost, now: Millis) -> bool:
        if not action.upstream:
            raise _invalid("upstream", "a server's departure needs its upstream's name")
        key = (action.upstream, action.host)
        if key in self.leaving_servers:
            return False
        if len(self.leaving_servers) >= MAX_LEAVING_SERVERS:
            raise _invalid("host", f"{MAX_LEAVING_SERVERS} servers are leaving already")
        self.leaving_servers[key] = now
        return True


def _not_found(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.NOT_FOUND, message, "host"))


def _refused(message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.STOP_REFUSED, message, "host"))


def _invalid(field: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.INVALID_CHANGE, message, field))
