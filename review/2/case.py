"""A faulty server's second copy of a refusal arrives late, when the same attempt is sent again."""

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins
from standins import HOST, LIMITS, Connection, Server, Tier, route, service

TROUBLE = os.environ.get("TROUBLE") != "0"
ORDERS = 11
"""One each 0.9 s, so that the servers are faulty for no longer than twice the site's 5 s."""
QUEUE = 3
"""Requests that wait at a server, besides those in its slots; it refuses further ones."""
OTHERS_WORK_S = 0.03
"""Work of one request of another caller. Six of them keep a server full for a moment."""


class FaultyServer(Server):
    """A server that repeats its refusals late.

    The extra answer is a copy of the last answer on the connection. It arrives at the point where
    the next answer is expected there.
    """

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self._held = 0
        """Requests that run or wait here."""
        self._slots = asyncio.Semaphore(self.slots)
        self._extra = {}
        """The copy of the last refusal, by connection."""

    async def handle(self, writer, first, fields, body):
        request_id = fields.get("attempt-id", "")
        extra = self._extra.pop(writer, None)
        if extra is not None and TROUBLE:
            copied_id, data = extra
            self.record.write("extra", server=self.server_id, answer=503, id=copied_id)
            writer.write(data)
        if self._held >= self.slots + QUEUE:
            refusal = self.refusal(503, request_id)
            self.record.write("refused", server=self.server_id, id=request_id)
            self._extra[writer] = (request_id, refusal)
            writer.write(refusal)
            return
        await self._hold(super().handle(writer, first, fields, body))

    async def _hold(self, work):
        self._held += 1
        try:
            async with self._slots:
                await work
        finally:
            self._held -= 1

    def fill(self):
        """Let requests of other callers take all slots and the queue."""
        self.record.write("others", server=self.server_id, requests=self.slots + QUEUE)
        return [
            asyncio.create_task(self._hold(asyncio.sleep(OTHERS_WORK_S)))
            for _ in range(self.slots + QUEUE)
        ]


async def case(record):
    servers = [
        FaultyServer("kitchenpass", number, standins.ZONES[number], record) for number in range(2)
    ]
    tier = Tier(record)
    try:
        await tier.start_list(servers)
        await tier.start()
        orders = route("order", "/orders/", "kitchenpass", **{"route-type": "unsafe"})
        await tier.put(
            {
                "version": 7,
                "routes": [orders],
                "services": [service("kitchenpass", 130)],
                "limits": LIMITS,
            }
        )
        await tier.wait_until_ready()
        await asyncio.sleep(5.0)
        return await play(tier, servers, record)
    finally:
        await tier.close()


async def play(tier, servers, record):
    rng = random.Random(47)
    answers = {}
    for number in range(ORDERS):
        node = tier.nodes[number % len(tier.nodes)]
        request_id = standins.new_id(rng)
        fields = [("Host", HOST), ("Attempt-Id", request_id), ("Time-Budget-Ms", "8000")]
        conn = Connection(node.address, tier.ports["front"])
        others = [one for server in servers for one in server.fill()]
        await asyncio.sleep(0)
        try:
            reply = await conn.ask("POST", "/orders/new", fields, b"one tray", 10.0)
            answers[request_id] = reply.status
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            answers[request_id] = None
        conn.close()
        record.write("asked", node=node.name, id=request_id, answer=answers[request_id])
        await asyncio.gather(*others)
        await asyncio.sleep(0.7)
    runs = Counter(request_id for server in servers for request_id in server.runs)
    twice = [request_id for request_id in answers if runs[request_id] > 1]
    promised = [one for one, status in answers.items() if status in (408, 421, 429, 503)]
    refused = [one for one in promised if runs[one]]
    record.say(f"unsafe requests: {len(answers)}, answers: {dict(Counter(answers.values()))}")
    record.say(f"unsafe requests that ran more than once: {len(twice)}")
    record.say(f"unsafe requests that were answered as not run and ran: {len(refused)}")
    return 1 if twice or refused else 0


standins.main(case, __file__)
