"""Detection of request bodies that crash the servers that run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from xxhash import xxh3_128_hexdigest

from ..clock import SECOND, Millis

if TYPE_CHECKING:
    from .request import Request

CRASH_LIMIT = 2
"""The number of servers a body may crash before it is refused."""
CONFIRM_WINDOW_MS: Millis = 5 * SECOND
"""A refused connection within this time after a lost connection confirms a crash."""
RESTART_WINDOW_MS: Millis = 60 * SECOND
"""A restart within this time after a lost connection confirms a crash. It is long because a busy
entry may read the server's health seconds late. If the same process was seen alive after the loss,
``CONFIRM_WINDOW_MS`` applies instead."""
PROVISIONAL_BLOCK_MS: Millis = 5 * SECOND
"""How long a body is refused after two losses that are not yet confirmed as crashes."""
MAX_FINGERPRINTS = 4096
MASS_LOSS_SERVERS = 3
MASS_LOSS_WINDOW_MS: Millis = 250.0

T = TypeVar("T")


class Crash(NamedTuple):
    """A body that was running on a server when it crashed."""

    fingerprint: str
    upstream: str
    server_id: str


class _Block(NamedTuple):
    """The period for which this entry refuses a body."""

    since: Millis
    until: Millis
    confirmed: bool
    """Whether the servers are known to have crashed; otherwise only connections were lost."""


class _Loss(NamedTuple):
    """A connection lost while a body ran on a server."""

    fingerprint: str
    upstream: str
    at: Millis
    ran_on: bool = False
    """Whether the same server process was seen alive afterwards."""


def fingerprint_of(request: Request) -> str:
    """Return the hash that identifies a request body throughout the tier."""
    return fingerprint_of_parts(request.upstream.encode(), request.kind.encode(), request.body)


def fingerprint_of_parts(*parts: bytes) -> str:
    """Return the hash that identifies a request made of these parts throughout the tier."""
    return xxh3_128_hexdigest(b"\0".join(parts))


class CrashDetector:
    """Counts losses by body and server, and decides which bodies are refused.

    A body that any server has answered is never blamed: it only shared a server with the body that
    caused the crash.

    Args:
        quarantine_ms: How long a body is refused here after it crashed two servers.
    """

    def __init__(self, quarantine_ms: Millis) -> None:
        self._quarantine_ms = quarantine_ms
        self._answered: OrderedDict[str, None] = OrderedDict()
        self._losses_by_server: dict[str, list[_Loss]] = {}
        self._losses_by_body: OrderedDict[str, dict[str, Millis]] = OrderedDict()
        self._crashes_by_body: OrderedDict[str, set[str]] = OrderedDict()
        self._blocks: OrderedDict[str, _Block] = OrderedDict()
        self._last_loss_by_server: dict[str, Millis] = {}
        self.quarantined_tier_wide: frozenset[str] = frozenset()
        """Fingerprints of bodies that control has quarantined."""

    def is_confirmed(self, fingerprint: str) -> bool:
        """Return whether a body has reached the limit of confirmed crashes."""
        return len(self._crashes_by_body.get(fingerprint, ())) >= CRASH_LIMIT

    def is_quarantined(self, fingerprint: str, now: Millis) -> bool:
        """Return whether a body is refused here because of confirmed crashes."""
        block = self._blocks.get(fingerprint)
        return block is not None and block.confirmed and now < block.until

    def block_time_left(self, fingerprint: str, now: Millis) -> Millis | None:
        """Return for how long a body is still refused, or None if it is not refused."""
        if fingerprint in self.quarantined_tier_wide:
            return self._quarantine_ms
        block = self._blocks.get(fingerprint)
        if block is None or now >= block.until:
            return None
        if not block.confirmed and self._is_mass_loss(block.since):
            return None
        return block.until - now

    def was_answered(self, fingerprint: str) -> bool:
        """Return whether any server has answered a body."""
        return fingerprint in self._answered

    def recent_losses(self, fingerprint: str, now: Millis) -> int:
        """Return on how many servers an unanswered body was recently lost."""
        servers = self._losses_by_body.get(fingerprint)
        if not servers:
            return 0
        return sum(
            1
            for at in servers.values()
            if now - at < CONFIRM_WINDOW_MS and not self._is_mass_loss(at)
        )

    def record_answer(self, fingerprint: str) -> None:
        """Record that a server answered a body, which clears it of suspicion."""
        if fingerprint in self._answered:
            return
        _put_bounded(self._answered, fingerprint, None)
        self._losses_by_body.pop(fingerprint, None)

    def record_loss(self, fingerprint: str, upstream: str, server_id: str, now: Millis) -> int:
        """Record a connection lost while a body ran.

        Returns:
            The number of servers on which the body was recently lost; 0 if a server has answered
            it.
        """
        self._last_loss_by_server[server_id] = now
        if len(self._last_loss_by_server) > MAX_FINGERPRINTS:
            self._last_loss_by_server.pop(next(iter(self._last_loss_by_server)))
        if fingerprint in self._answered:
            return 0
        losses = self._losses_by_server.setdefault(server_id, [])
        losses[:] = [loss for loss in losses if now - loss.at < RESTART_WINDOW_MS][
            -MAX_FINGERPRINTS:
        ]
        losses.append(_Loss(fingerprint, upstream, now))
        servers = self._losses_by_body.get(fingerprint, {})
        servers = {lost_on: at for lost_on, at in servers.items() if now - at < CONFIRM_WINDOW_MS}
        servers[server_id] = now
        _put_bounded(self._losses_by_body, fingerprint, servers)
        # The loss of an attempt that was already in flight must not shorten a quarantine.
        if len(servers) >= CRASH_LIMIT and not self.is_quarantined(fingerprint, now):
            _put_bounded(self._blocks, fingerprint, _Block(now, now + PROVISIONAL_BLOCK_MS, False))
        return len(servers)

    def _is_mass_loss(self, loss_at: Millis) -> bool:
        # The failure of a zone or network loses many servers at the same moment. A single body
        # cannot: it is on at most two servers until one has answered it. Without this distinction,
        # bodies in flight during a zone failure would be refused for minutes.
        recent = [
            at
            for at in self._last_loss_by_server.values()
            if abs(at - loss_at) < MASS_LOSS_WINDOW_MS
        ]
        return len(recent) >= MASS_LOSS_SERVERS

    def record_alive(self, server_id: str, asked_at: Millis) -> None:
        """Record that a server, probed after it lost connections, is still the same process.

        To a query, a network that drops connections or a server that closes them looks like a
        crash. Blaming the body for these losses would refuse harmless queries even if a replica of
        every shard could answer them. The losses are kept, so that a restart seen later still
        counts as a crash.

        Args:
            server_id: The server.
            asked_at: When the probe was sent. The answer to a probe sent before the loss may have
                left the server just before it crashed. Accepting it as proof that the server is
                alive would let a crashing body reach one server after another.
        """
        losses = self._losses_by_server.get(server_id, [])
        losses[:] = [loss._replace(ran_on=loss.ran_on or loss.at < asked_at) for loss in losses]
        for loss in losses:
            servers = self._losses_by_body.get(loss.fingerprint)
            if servers is None or servers.get(server_id, asked_at) >= asked_at:
                continue
            del servers[server_id]
            block = self._blocks.get(loss.fingerprint)
            if block is not None and not block.confirmed and len(servers) < CRASH_LIMIT:
                del self._blocks[loss.fingerprint]

    def confirm_crashes(self, server_id: str, now: Millis, restarted: bool = False) -> list[Crash]:
        """Record that a server has restarted or refuses connections.

        Args:
            server_id: The server.
            now: The current time.
            restarted: Whether the server is known to be a new process.

        Returns:
            The crashes to report: one for each body lost there within the window.
        """
        losses = self._losses_by_server.pop(server_id, ())
        crashes = []
        for loss in losses:
            window = RESTART_WINDOW_MS if restarted and not loss.ran_on else CONFIRM_WINDOW_MS
            if now - loss.at >= window or loss.fingerprint in self._answered:
                continue
            if self._is_mass_loss(loss.at):
                continue
            crashes.append(Crash(loss.fingerprint, loss.upstream, server_id))
            servers = self._crashes_by_body.get(loss.fingerprint, set()) | {server_id}
            _put_bounded(self._crashes_by_body, loss.fingerprint, servers)
            if len(servers) >= CRASH_LIMIT:
                block = _Block(now, now + self._quarantine_ms, True)
                _put_bounded(self._blocks, loss.fingerprint, block)
        return crashes

    def blocked_fingerprints(self, now: Millis) -> Iterable[str]:
        """Return the fingerprints of bodies that this entry refuses by its own observations."""
        return [entry for entry in self._blocks if self.block_time_left(entry, now) is not None]


def _put_bounded(table: OrderedDict[str, T], key: str, value: T) -> None:
    table[key] = value
    table.move_to_end(key)
    if len(table) > MAX_FINGERPRINTS:
        table.popitem(last=False)
