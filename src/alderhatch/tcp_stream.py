"""Opens TCP connections to addresses that come from outside this process."""

from __future__ import annotations

import errno

import trio


async def open_tcp(address: str, port: int) -> trio.SocketStream:
    """Connect to an address and port, whatever text and number they are.

    Raises:
        OSError: If there is no connection, also because there can be none.
    """
    try:
        return await trio.open_tcp_stream(address, port)
    except OSError:
        raise
    except Exception as exc:
        # For text that is no address and numbers that are no port, the system's functions raise
        # errors of half a dozen types. A caller that expects some of them ends with the others.
        message = f"{address!a}, port {port}: {exc}"
        raise OSError(errno.EINVAL, message) from exc
