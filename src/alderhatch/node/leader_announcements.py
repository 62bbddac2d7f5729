"""The leader makes itself known to hosts that can't find it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from ..clock import SECOND, Millis
from ..codec import Codec
from ..link import LinkClosedError, Peer, open_link
from .tier_messages import Introduction, Place
from .tier_server import HOST_ROLE, TierServer

INTRODUCE_EVERY: Millis = 500.0
DIAL_TIMEOUT: Millis = 800.0


async def announce_leader(
    server: TierServer,
    me: Place,
    seeds: Callable[[], Iterable[Place]],
    codec: Codec,
    secret: bytes,
) -> None:
    """Tell the seeds that this host leads, as long as they don't follow it.

    The seeds of the settings may be hosts without a disk. When all hosts have been restarted at
    once, such a seed knows nobody but other seeds, and nobody would ever find the hosts of the
    replicated log: every request would be refused although all hosts run.

    Args:
        server: Knows whether this host leads, and who follows it.
        me: This host.
        seeds: Returns the seeds of the settings in use.
        codec: The tier's messages.
        secret: The secret that the hosts share.
    """
    while True:
        await server.role_changed.wait_for(INTRODUCE_EVERY)
        if not server.leads:
            continue
        for seed in seeds():
            if not server.has_follower(seed.address) and seed.address != me.address:
                await _introduce(seed, me, codec, secret)


async def _introduce(seed: Place, me: Place, codec: Codec, secret: bytes) -> None:
    peer = Peer(me.name, HOST_ROLE)
    with trio.move_on_after(DIAL_TIMEOUT / SECOND):
        try:
            async with open_link(seed.address, seed.port, codec, secret, peer) as link:
                await link.send(Introduction(me))
        except LinkClosedError:
            # The seed may be gone for good; it is tried again with the next round.
            return
