"""How the hosts of a new tier agree on who founds the replicated log."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..link import Link, LinkClosedError, Peer, open_link
from .control_member import ControlMember
from .tier_messages import FoundingBid, FoundingVerdict, Place

BOOTSTRAP_ROLE = "founding"
GATHER_TIME: Millis = 1000.0
"""How long bids are collected after the first one. All hosts of a new tier start within a third of
this, and are up a quarter of a second later."""
BID_PAUSE: Millis = 300.0


class BootstrapCoordinator:
    """Collects the bids at one host that all bidders agree on, and picks the founder once.

    Two founders would make two tiers, each with its own configuration. So all bids go to the same
    host, it names the same founder to everyone for as long as it runs, and nobody at all if any
    bidder belongs to a cluster already.
    """

    def __init__(self) -> None:
        self._bids: dict[Place, str] = {}
        self._decided = trio.Event()
        self.founder: Place | None = None
        """The host that founds the log, once it is decided."""

    async def decide(self, bid: FoundingBid) -> FoundingVerdict:
        """Take a bid and wait for the verdict."""
        is_first = not self._bids
        self._bids[bid.place] = bid.cluster_id
        if is_first:
            await trio.sleep(GATHER_TIME / SECOND)
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
    """Take part in the founding until this host belongs to a cluster.

    Args:
        member: This host's part in the log.
        me: This host.
        coordinator_place: Where the host is that collects the bids.
        coordinator: Used if that is this host itself.
        codec: The tier's messages.
        secret: The secret that the hosts share.

    Returns:
        The host that founds the log, if this one was told. It need not be among the seeds, and
        until it has members nobody else can say where it is.
    """
    while member.disk is None or not member.disk.cluster_id:
        await trio.sleep(BID_PAUSE / SECOND)
        if member.disk is None or member.disk.cluster_id:
            continue
        bid = FoundingBid(me, member.disk.cluster_id)
        where = coordinator_place()
        try:
            if (where.address, where.port) == (me.address, me.port):
                verdict = await coordinator.decide(bid)
            else:
                verdict = await _ask(where, bid, me, codec, secret)
        except LinkClosedError:
            continue
        if verdict.founder == me:
            member.bootstrap()
        # Asked again, a judge that has restarted meanwhile could name another founder.
        return verdict.founder
    return None


async def _ask(
    where: Place, bid: FoundingBid, me: Place, codec: Codec, secret: bytes
) -> FoundingVerdict:
    peer = Peer(me.name, BOOTSTRAP_ROLE)
    async with open_link(where.address, where.port, codec, secret, peer) as link:
        await link.send(bid)
        verdict = await link.receive()
    if not isinstance(verdict, FoundingVerdict):
        raise LinkClosedError("the answer is no verdict")
    return verdict
