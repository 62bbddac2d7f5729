"""The leader announces itself to hosts that can't find it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..link import LinkClosedError, Peer, open_link
from .tier_messages import Introduction, Place
from .tier_server import HOST_ROLE, TierServer

ANNOUNCE_INTERVAL: Millis = 500.0
DIAL_TIMEOUT: Millis = 800.0


async def announce_leader(
    server: TierServer,
    me: Place,
    seeds: Callable[[], Iterable[Place]],
    codec: Codec,
    secret: bytes,
) -> None:
    """Announce this host to the seeds that don't follow it, for as long as it leads.

    The seeds of the settings may be hosts without a disk. After a restart of all hosts such a seed
    knows only other seeds, and no host would find the members of the replicated log: every request
    would be refused although all hosts run.

    Args:
        server: Knows whether this host leads, and which hosts follow it.
        me: This host.
        seeds: Returns the seeds of the settings in use.
        codec: The codec of the tier's messages.
        secret: The secret that the hosts share.
    """
    while True:
        await server.role_changed.wait_for(ANNOUNCE_INTERVAL)
        if not server.leads:
            continue
        for seed in seeds():
            if not server.has_follower(seed.address) and seed.address != me.address:
                await _announce(seed, me, codec, secret)


async def _announce(seed: Place, me: Place, codec: Codec, secret: bytes) -> None:
    peer = Peer(me.name, HOST_ROLE)
    with trio.move_on_after(DIAL_TIMEOUT / SECOND):
        try:
            async with open_link(seed.address, seed.port, codec, secret, peer) as link:
                await link.send(Introduction(me))
        except LinkClosedError:
            # The seed may be gone permanently; the next round tries it again.
            return
