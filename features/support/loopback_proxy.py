"""A loopback proxy that injects faults into its connections."""

from __future__ import annotations

import socket
import struct

import trio

from features.support.tier import own_loopback_address

DELAY_S = 0.25


class LoopbackProxy:
    """Forwards connections to a server, with a fault mode that may change at any time.

    The modes are ``pass``, ``delay`` (each chunk is delayed), ``silent`` (data is dropped in both
    directions), ``one_way`` (answers are dropped) and ``reset`` (all connections are reset).
    """

    def __init__(self, address, port):
        self.target = (address, port)
        self.address = own_loopback_address()
        self.port = 0
        self.rewrite = lambda data: data
        """Changes the bytes of each chunk of answers."""
        self._mode = "pass"
        self._clients = set()

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host=self.address)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def set_mode(self, mode):
        self._mode = mode
        if mode == "reset":
            for client in list(self._clients):
                _reset(client)

    async def _forward(self, client):
        if self._mode == "reset":
            _reset(client)
            return
        self._clients.add(client)
        try:
            server = await trio.open_tcp_stream(*self.target)
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, server, False, nursery.cancel_scope)
                nursery.start_soon(self._copy, server, client, True, nursery.cancel_scope)
        except OSError:
            _reset(client)
        finally:
            self._clients.discard(client)

    async def _copy(self, source, sink, is_answer, scope):
        try:
            async for data in source:
                if self._mode == "delay":
                    await trio.sleep(DELAY_S)
                if self._mode == "silent" or (self._mode == "one_way" and is_answer):
                    continue
                await sink.send_all(self.rewrite(data) if is_answer else data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def reset_on_close(stream):
    """Make closing a connection reset it, instead of ending the stream."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _reset(client):
    try:
        reset_on_close(client)
    except OSError:
        return
    trio.lowlevel.notify_closing(client.socket)
    client.socket.close()
