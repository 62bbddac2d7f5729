"""Runs servers that answer a part of 200 bytes at once; the argument is their count."""

from __future__ import annotations

import sys
from functools import partial

import trio

BODY = bytes(range(200))
SEAL = b"3e1b.07.5a2.600.0.c9f2%04x"


def _answer(head: bytes, number: int) -> bytes:
    start = head.lower().index(b"attempt-id:") + len(b"attempt-id:")
    request_id = head[start : head.index(b"\r\n", start)].strip()
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: %b\r\nServer-Load: 1,0,2\r\n"
        b"Content-Type: application/octet-stream\r\nKeep-Alive: timeout=10\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (request_id, SEAL % number, len(BODY), BODY)
    )


async def _serve(number: int, stream: trio.SocketStream) -> None:
    waiting = b""
    async for data in stream:
        waiting += data
        while (end := waiting.find(b"\r\n\r\n")) >= 0:
            await stream.send_all(_answer(waiting[: end + 2], number))
            waiting = waiting[end + 4 :]


async def _run(count: int) -> None:
    async with trio.open_nursery() as nursery:
        ports = []
        for number in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            ports.append(str(listeners[0].socket.getsockname()[1]))
            nursery.start_soon(trio.serve_listeners, partial(_serve, number), listeners)
        print(" ".join(ports), flush=True)


def main() -> None:
    """Run until killed."""
    trio.run(_run, int(sys.argv[1]))


if __name__ == "__main__":
    main()
