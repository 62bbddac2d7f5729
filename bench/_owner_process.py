"""Runs what an entry does as owner of the servers in its first argument, and prints its port."""

from __future__ import annotations

import sys

import orjson
import trio

from alderhatch.core.shard_map import Server
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.entry.owner_server import OwnerServer

SECRET = b"the secret of the bench"
SHARE = 8


async def _run(servers: list[Server]) -> None:
    pool = ConnectionPool(SHARE)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        await nursery.start(pool.run)
        pool.update_servers("navigator", servers, ())
        await nursery.start(OwnerServer("owner", SECRET, pool).serve, listeners)
        print(listeners[0].socket.getsockname()[1], flush=True)


def main() -> None:
    """Run until killed."""
    trio.run(_run, [Server(*row) for row in orjson.loads(sys.argv[1])])


if __name__ == "__main__":
    main()
