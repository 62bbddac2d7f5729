"""Decides when a host checks by itself whether the active hosts are still there."""

from __future__ import annotations

from typing import NamedTuple

from ...clock import SECOND, Millis

PULSE_INTERVAL: Millis = 500.0
"""How often the leader sends a keep-alive while it has no updates."""
LEADER_SILENCE_TIMEOUT: Millis = 1600.0
"""A leader that sends nothing for three pulses is lost or unreachable."""
LEADER_QUIET_LIMIT: Millis = PULSE_INTERVAL + 200.0
"""A leader that sends nothing for so long has missed a pulse; 200 ms allow for delays. In a tier
with standby hosts this starts probes: they cost a few connections and show whether more hosts than
the leader are lost."""
PROBE_INTERVAL: Millis = 1 * SECOND
"""The time between probes. Callers cache an address list for seconds, so detecting a further loss
sooner would not help them."""


class LeaderContact(NamedTuple):
    """What a host knows of its leader."""

    is_followed: bool
    """Whether the host follows a leader now."""
    heard_at: Millis
    """When a leader's last message arrived; 0 if none has."""


class ProbeSchedule:
    """Tells a host when to probe the active hosts, and when its leader's last view holds again.

    If all active hosts lose power together, the leader is among them, and no leader reports the
    loss. Without probes, the other hosts would go on advertising the lost hosts to callers, whose
    connection attempts time out, and standby hosts would hand requests over to them.
    """

    def __init__(self, now: Millis) -> None:
        self._followed_at = now
        self._probed_at: Millis | None = None
        self._lost_leader = False
        """Whether a leader was lost since the last probe that counts."""

    def is_leader_silent(self, leader: LeaderContact, is_quick: bool, now: Millis) -> bool:
        """Return whether the leader is silent for so long that probes count.

        Args:
            leader: What this host knows of its leader.
            is_quick: Whether one missed pulse is enough. In a tier without standby hosts it is not:
                all hosts know the servers, and a short silence changes nothing for callers.
            now: The present time.
        """
        if leader.is_followed:
            self._followed_at = now
        else:
            self._lost_leader = True
        # A host that has heard no leader since its own start can't tell that one fell silent. All
        # hosts may be starting, and those that start a moment later would be taken for lost.
        if is_quick and leader.heard_at > 0:
            return not leader.is_followed or now - leader.heard_at >= LEADER_QUIET_LIMIT
        return now - self._followed_at >= LEADER_SILENCE_TIMEOUT

    def is_due(self, now: Millis) -> bool:
        """Return whether hosts should be probed now, given that the leader is silent."""
        return self._probed_at is None or now - self._probed_at >= PROBE_INTERVAL

    def record_probe(self, now: Millis) -> None:
        """Record that hosts are probed now."""
        self._probed_at = now

    def take_view_restored(self) -> bool:
        """Return whether the leader's last view replaces the probes' results; true only once.

        It does if the leader was silent but never lost. A new leader sends a view of its own, and
        until then the probes' results are newer.
        """
        is_restored = self._probed_at is not None and not self._lost_leader
        self._probed_at = None
        self._lost_leader = False
        return is_restored
