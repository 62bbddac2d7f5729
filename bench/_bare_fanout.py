"""The least that a fan-out over HTTP costs: trio, h11 and warm connections, and nothing else.

Reads a count of rounds from each line of standard input and answers with a line once they are done.
A round sends one shard request to each port at once and reads each answer whole. There is no check
of the answers, no deadline and no failure that it could survive.
"""

from __future__ import annotations

import sys

import h11
import orjson
import trio

READ_BYTES = 65_536


class BareConnection:
    """One warm connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def exchange(self, body: bytes) -> bytes:
        """Send one request and return the body of its answer."""
        http = self._http
        headers = [
            (b"Host", b"127.0.0.1"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Content-Type", b"application/json"),
        ]
        data = http.send(h11.Request(method=b"POST", target=b"/shard", headers=headers)) or b""
        data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)
        answer = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Data):
                answer += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
        http.start_next_cycle()
        return answer


async def _run(shards: list[tuple[str, int]], body: dict[str, object]) -> None:
    conns = []
    for _, port in shards:
        conns.append(BareConnection(await trio.open_tcp_stream("127.0.0.1", port)))
    while line := await trio.to_thread.run_sync(sys.stdin.readline):
        for _ in range(int(line)):
            await _round(conns, shards, body)
        print("done", flush=True)


async def _round(
    conns: list[BareConnection], shards: list[tuple[str, int]], body: dict[str, object]
) -> None:
    async with trio.open_nursery() as nursery:
        for conn, (shard, _) in zip(conns, shards, strict=True):
            nursery.start_soon(conn.exchange, orjson.dumps(body | {"shard": shard}))


def main() -> None:
    """Run over the shards and with the body of the first argument, as JSON."""
    raw = orjson.loads(sys.argv[1])
    trio.run(_run, [tuple(item) for item in raw["shards"]], raw["body"])


if __name__ == "__main__":
    main()
