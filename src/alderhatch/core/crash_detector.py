"""Bodies that crash the servers which run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from xxhash import xxh3_128_hexdigest

from ..clock import SECOND, Millis

if TYPE_CHECKING:
    from .request import Request

CRASH_LIMIT = 2
"""Servers that one body may crash; then it is refused."""
CONFIRM_WITHIN: Millis = 5 * SECOND
"""A refused connection this long after a lost connection makes it a crash."""
RESTARTED_WITHIN: Millis = 60 * SECOND
"""A restart this long after a lost connection makes it a crash, unless the server was seen to run
on in between. A busy entry may ask for the server's health seconds later."""
HOLD: Millis = 5 * SECOND
"""How long a body is refused after two losses while it is not known whether they were crashes."""
MAX_FINGERPRINTS = 4096
MANY_SERVERS = 3
MANY_WITHIN: Millis = 250.0

T = TypeVar("T")


class Crash(NamedTuple):
    """A body that was running on a server which crashed."""

    fingerprint: str
    upstream: str
    server_id: str


class _Hold(NamedTuple):
    """A body that is refused here."""

    since: Millis
    until: Millis
    confirmed: bool
    """Whether the servers are known to have crashed; otherwise only connections were lost."""


class _Loss(NamedTuple):
    fingerprint: str
    upstream: str
    at: Millis
    ran_on: bool = False
    """Whether the server was seen to be the same process afterwards."""


def fingerprint_of(request: Request) -> str:
    """Return the hash by which a body is known tier-wide."""
    return fingerprint_of_parts(request.upstream.encode(), request.kind.encode(), request.body)


def fingerprint_of_parts(*parts: bytes) -> str:
    """Return the hash by which what consists of these parts is known tier-wide."""
    return xxh3_128_hexdigest(b"\0".join(parts))


class CrashDetector:
    """Counts losses by body and server, and says which bodies are refused.

    A body that any server answered is never blamed: it was only on the same server as the one at
    fault.

    Args:
        quarantine: How long a body is refused here after it crashed two servers.
    """

    def __init__(self, quarantine: Millis) -> None:
        self._quarantine = quarantine
        self._safe: OrderedDict[str, None] = OrderedDict()
        self._losses: dict[str, list[_Loss]] = {}
        self._lost_on: OrderedDict[str, dict[str, Millis]] = OrderedDict()
        self._crashed: OrderedDict[str, set[str]] = OrderedDict()
        self._holds: OrderedDict[str, _Hold] = OrderedDict()
        self._lost_servers: dict[str, Millis] = {}
        self.quarantined_tier_wide: frozenset[str] = frozenset()
        """What control has quarantined."""

    def is_confirmed(self, fingerprint: str) -> bool:
        """Return whether a body is known to have crashed as many servers as it may."""
        return len(self._crashed.get(fingerprint, ())) >= CRASH_LIMIT

    def is_quarantined(self, fingerprint: str, now: Millis) -> bool:
        """Return whether a body is refused here because it crashed servers."""
        hold = self._holds.get(fingerprint)
        return hold is not None and hold.confirmed and now < hold.until

    def block_time_left(self, fingerprint: str, now: Millis) -> Millis | None:
        """Return how long a body is refused, or None if it is not."""
        if fingerprint in self.quarantined_tier_wide:
            return self._quarantine
        hold = self._holds.get(fingerprint)
        if hold is None or now >= hold.until:
            return None
        if not hold.confirmed and self._many_lost(hold.since):
            return None
        return hold.until - now

    def was_answered(self, fingerprint: str) -> bool:
        """Return whether some server has answered this body."""
        return fingerprint in self._safe

    def recent_losses(self, fingerprint: str, now: Millis) -> int:
        """Return on how many servers a body that no server has answered was lost lately."""
        servers = self._lost_on.get(fingerprint)
        if not servers:
            return 0
        return sum(
            1 for at in servers.values() if now - at < CONFIRM_WITHIN and not self._many_lost(at)
        )

    def record_answer(self, fingerprint: str) -> None:
        """Note that a server answered this body."""
        if fingerprint in self._safe:
            return
        _put(self._safe, fingerprint, None)
        self._lost_on.pop(fingerprint, None)

    def record_loss(self, fingerprint: str, upstream: str, server_id: str, now: Millis) -> int:
        """Note a connection lost while a body ran.

        Returns:
            On how many servers the body was lost, as far as it is a suspect; 0 if it is none.
        """
        self._lost_servers[server_id] = now
        if len(self._lost_servers) > MAX_FINGERPRINTS:
            self._lost_servers.pop(next(iter(self._lost_servers)))
        if fingerprint in self._safe:
            return 0
        losses = self._losses.setdefault(server_id, [])
        losses[:] = [loss for loss in losses if now - loss.at < RESTARTED_WITHIN][
            -MAX_FINGERPRINTS:
        ]
        losses.append(_Loss(fingerprint, upstream, now))
        servers = self._lost_on.get(fingerprint, {})
        servers = {s: at for s, at in servers.items() if now - at < CONFIRM_WITHIN}
        servers[server_id] = now
        _put(self._lost_on, fingerprint, servers)
        # A copy that was under way when the body was quarantined must not shorten that.
        if len(servers) >= CRASH_LIMIT and not self.is_quarantined(fingerprint, now):
            _put(self._holds, fingerprint, _Hold(now, now + HOLD, False))
        return len(servers)

    def _many_lost(self, around: Millis) -> bool:
        # A whole zone or network that goes takes many servers at the same moment. One body can't:
        # it is on two servers at most until one has answered it. Without the difference the bodies
        # that were in flight when a zone went would be refused for minutes.
        near = [at for at in self._lost_servers.values() if abs(at - around) < MANY_WITHIN]
        return len(near) >= MANY_SERVERS

    def record_alive(self, server_id: str, asked_at: Millis) -> None:
        """Note that a server, asked after it lost connections, is the same process as before.

        A network that drops connections, or a server that closes them, looks like a crash to the
        query. Were the losses held against the body, harmless queries would be refused while a
        replica of every shard could answer them. The losses stay known, so that a restart seen
        later still counts as a crash.

        Args:
            server_id: The server.
            asked_at: When it was asked. An answer to an earlier question may have left the server
                just before it crashed; taken for a sign of life, it would let a deadly body go on
                to one server after the other.
        """
        losses = self._losses.get(server_id, [])
        losses[:] = [loss._replace(ran_on=loss.ran_on or loss.at < asked_at) for loss in losses]
        for loss in losses:
            servers = self._lost_on.get(loss.fingerprint)
            if servers is None or servers.get(server_id, asked_at) >= asked_at:
                continue
            del servers[server_id]
            hold = self._holds.get(loss.fingerprint)
            if hold is not None and not hold.confirmed and len(servers) < CRASH_LIMIT:
                del self._holds[loss.fingerprint]

    def confirm_crashes(self, server_id: str, now: Millis, restarted: bool = False) -> list[Crash]:
        """Note that a server was started anew or takes no connection.

        Args:
            server_id: The server.
            now: The time.
            restarted: Whether it is known to be another process than before.

        Returns:
            The crashes to be reported: bodies that were lost there before.
        """
        losses = self._losses.pop(server_id, ())
        crashes = []
        for loss in losses:
            within = RESTARTED_WITHIN if restarted and not loss.ran_on else CONFIRM_WITHIN
            if now - loss.at >= within or loss.fingerprint in self._safe:
                continue
            if self._many_lost(loss.at):
                continue
            crashes.append(Crash(loss.fingerprint, loss.upstream, server_id))
            servers = self._crashed.get(loss.fingerprint, set()) | {server_id}
            _put(self._crashed, loss.fingerprint, servers)
            if len(servers) >= CRASH_LIMIT:
                hold = _Hold(now, now + self._quarantine, True)
                _put(self._holds, loss.fingerprint, hold)
        return crashes

    def blocked_fingerprints(self, now: Millis) -> Iterable[str]:
        """Return the bodies that this entry refuses on its own account."""
        return [name for name in self._holds if self.block_time_left(name, now) is not None]


def _put(table: OrderedDict[str, T], key: str, value: T) -> None:
    table[key] = value
    table.move_to_end(key)
    if len(table) > MAX_FINGERPRINTS:
        table.popitem(last=False)
