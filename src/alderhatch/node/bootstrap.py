"""How the hosts of a new tier agree on the host that bootstraps the replicated log."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..link import Link, LinkClosedError, Peer, open_link
from .control_member import ControlMember
from .tier_messages import FoundingBid, FoundingVerdict, Place

BOOTSTRAP_ROLE = "founding"
BID_WINDOW: Millis = 1000.0
"""How long bids are collected after the first one. The hosts of a new tier start within a third of
this time and accept links a quarter of a second later."""
BID_INTERVAL: Millis = 300.0


class BootstrapCoordinator:
    """Collects the bids at one host that all bidders agree on, and picks the founder once.

    Two founders would create two tiers, each with its own configuration. So all bids go to the same
    host. It names the same founder to all bidders for as long as it runs, and no founder if any
    bidder already belongs to a cluster.
    """

    def __init__(self) -> None:
        self._bids: dict[Place, str] = {}
        self._decided = trio.Event()
        self.founder: Place | None = None
        """The host that bootstraps the log, once decided."""

    async def decide(self, bid: FoundingBid) -> FoundingVerdict:
        """Record a bid and wait for the verdict."""
        is_first = not self._bids
        self._bids[bid.place] = bid.cluster_id
        if is_first:
            await trio.sleep(BID_WINDOW / SECOND)
            if not any(self._bids.values()):
                self.founder = min(self._bids)
            self._decided.set()
        await self._decided.wait()
        return FoundingVerdict(self.founder)

    async def serve(self, link: Link) -> None:
        """Answer one bidder."""
        bid = await link.receive()
        if isinstance(bid, FoundingBid):
            await link.send(await self.decide(bid))


async def bootstrap_cluster(
    member: ControlMember,
    me: Place,
    coordinator_place: Callable[[], Place],
    coordinator: BootstrapCoordinator,
    codec: Codec,
    secret: bytes,
) -> Place | None:
    """Bid until this host belongs to a cluster or receives a verdict.

    Args:
        member: This host's member of the log.
        me: This host.
        coordinator_place: Returns the address of the host that collects the bids.
        coordinator: Used if that host is this one.
        codec: The codec of the tier's messages.
        secret: The secret that the hosts share.

    Returns:
        The host that bootstraps the log, if this one received a verdict. It need not be a seed, and
        until the log has other members no other host knows its address.
    """
    while member.disk is None or not member.disk.cluster_id:
        await trio.sleep(BID_INTERVAL / SECOND)
        if member.disk is None or member.disk.cluster_id:
            continue
        bid = FoundingBid(me, member.disk.cluster_id)
        target = coordinator_place()
        try:
            if (target.address, target.port) == (me.address, me.port):
                verdict = await coordinator.decide(bid)
            else:
                verdict = await _send_bid(target, bid, me, codec, secret)
        except LinkClosedError:
            continue
        if verdict.founder == me:
            member.bootstrap()
        # Not asked again: a coordinator that has restarted could name another founder.
        return verdict.founder
    return None


async def _send_bid(
    target: Place, bid: FoundingBid, me: Place, codec: Codec, secret: bytes
) -> FoundingVerdict:
    peer = Peer(me.name, BOOTSTRAP_ROLE)
    async with open_link(target.address, target.port, codec, secret, peer) as link:
        await link.send(bid)
        verdict = await link.receive()
    if not isinstance(verdict, FoundingVerdict):
        raise LinkClosedError("expected a FoundingVerdict, got another message")
    return verdict
