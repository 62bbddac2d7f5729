"""Some servers spoil a few of their answers: the signature's field is there, its value is blank."""

import asyncio
import os
import random
import sys
from heapq import nlargest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins
from standins import HOST, LIMITS, Connection, Server, Tier, route, service

TROUBLE = os.environ.get("TROUBLE") != "0"
SHARDS = [f"navigator-{number:02}" for number in range(20)]
CLIENTS_PER_NODE = 4
TOP_K = 10
MIN_COVERAGE = 0.89
SPOILED_SERVERS = 1.0
SPOILED_ANSWERS = 0.02
"""The share of the servers that spoil answers, and of their answers that are spoiled."""
QUIET_S = 4.0
SPOILED_S = 11.0
"""Twice as long as the site's list has it; QUIET_S of traffic go before and after."""
MAX_LOST = 3
"""LOST: how many requests from kept connections may end without an answer."""


class ShardServer(Server):
    """A server of one shard; both servers of a shard hold the same records."""

    def __init__(self, shard, number, zone, record, rng):
        super().__init__(shard, number, zone, record, slots=2, work_s=0.015)
        self._rng = rng
        seeded = random.Random(shard)
        self.records = [seeded.randbytes(16) for _ in range(12)]
        self.spoils = False
        self.spoiled = 0

    def success(self, request_id):
        seal = seal_of(self, request_id)
        if self.spoils and self._rng.random() < SPOILED_ANSWERS:
            self.spoiled += 1
            self.record.write("spoiled", server=self.server_id, id=request_id)
            seal = " " * len(seal)
        fields = [
            ("Attempt-Id", request_id),
            ("Server-Seal", seal),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ]
        return standins.message("HTTP/1.1 200 OK", fields, b"".join(self.records) + b"rest")


def seal_of(server, request_id):
    return f"{server.server_id}.{request_id}"


async def case(record):
    rng = random.Random(47)
    servers = [
        ShardServer(shard, number, standins.ZONES[number], record, rng)
        for shard in SHARDS
        for number in range(2)
    ]
    tier = Tier(record)
    try:
        await tier.start_list(servers)
        await tier.start()
        lookup = route(
            "route-lookup",
            "/paths/",
            None,
            gather=SHARDS,
            priority=1,
            **{"timeout-ms": 2000, "target-latency-ms": 145, "top-k": TOP_K},
            **{"min-coverage": MIN_COVERAGE},
        )
        del lookup["service"]
        await tier.put(
            {
                "version": 7,
                "routes": [lookup],
                "services": [service(shard, 28) for shard in SHARDS],
                "limits": LIMITS,
            }
        )
        await tier.wait_until_ready()
        # Every machine is in touch before the disruption.
        await asyncio.sleep(5.0)
        return await play(tier, servers, record)
    finally:
        await tier.close()


class Client:
    """Sends one query after another to one node on a kept connection, and checks each answer."""

    def __init__(self, tier, node, rng, record, servers):
        self._tier = tier
        self._node = node
        self._rng = rng
        self._record = record
        self._servers = servers
        self.sent = 0
        self.served = 0
        self.mixed = 0
        """Successes that aren't what the rule asks for."""
        self.lost = 0
        """Queries that were passed on to servers from a kept connection, which the node then closed
        without an answer."""

    async def run(self):
        """Send queries until cancelled."""
        conn = Connection(self._node.address, self._tier.ports["front"])
        is_kept = False
        while True:
            request_id = standins.new_id(self._rng)
            fields = [("Host", HOST), ("Attempt-Id", request_id), ("Time-Budget-Ms", "2000")]
            self.sent += 1
            try:
                reply = await conn.ask("GET", f"/paths/{request_id[:6]}", fields, timeout=2.5)
                answer = reply.status
                is_kept = True
                if reply.status == 200:
                    self.served += 1
                    why = self._fault(reply, request_id)
                    self.mixed += why is not None
                    answer = "200" if why is None else f"200 MIXED: {why}"
            except TimeoutError:
                conn.close()
                answer = "none"
                is_kept = False
            except (OSError, asyncio.IncompleteReadError):
                conn.close()
                was_run = any(request_id in one.runs for one in self._servers)
                self.lost += was_run and is_kept
                answer = f"closed was-run={was_run} kept={is_kept}"
                is_kept = False
                await asyncio.sleep(0.2)
            self._record.write("asked", node=self._node.name, id=request_id, answer=answer)
            await asyncio.sleep(0.1)

    def _fault(self, reply, request_id):
        """Return what is wrong with a success; None if nothing is."""
        named = [one.strip() for one in reply.fields.get("part-seals", "").split(",")]
        known = {seal_of(server, request_id): server for server in self._servers}
        if not all(seal in known for seal in named):
            return f"Part-Seals has {sum(seal not in known for seal in named)} entry without a seal"
        shards = [known[seal].service for seal in named]
        missing = int(reply.fields.get("missing-parts", "0"))
        if len(set(shards)) != len(shards) or len(shards) + missing != len(SHARDS):
            return "the parts don't make up the set"
        if len(shards) / len(SHARDS) < MIN_COVERAGE:
            return "less than the minimum coverage"
        records = [one for seal in named for one in known[seal].records]
        if reply.body != b"".join(nlargest(TOP_K, records)):
            return "not the greatest records of the parts named"
        return None


async def play(tier, servers, record):
    rng = random.Random(48)
    clients = [
        Client(tier, node, rng, record, servers)
        for node in tier.nodes
        for _ in range(CLIENTS_PER_NODE)
    ]
    tasks = [asyncio.create_task(one.run()) for one in clients]
    tasks.append(asyncio.create_task(tier.restart_ended()))
    await asyncio.sleep(QUIET_S)
    for server in servers:
        server.spoils = TROUBLE and rng.random() < SPOILED_SERVERS
    await asyncio.sleep(SPOILED_S)
    for server in servers:
        server.spoils = False
    await asyncio.sleep(QUIET_S)
    for task in tasks:
        task.cancel()
    mixed = sum(one.mixed for one in clients)
    lost = sum(one.lost for one in clients)
    record.say(f"queries sent: {sum(one.sent for one in clients)}")
    record.say(f"queries answered with success: {sum(one.served for one in clients)}")
    record.say(f"answers of servers that were spoiled: {sum(one.spoiled for one in servers)}")
    record.say(f"successes that are MIXED: {mixed}")
    record.say(f"processes that ended by themselves: {tier.own_ends()}")
    record.say(f"queries passed on from kept connections and closed without an answer: {lost}")
    tier.say_errors()
    return 1 if mixed or lost > MAX_LOST else 0


standins.main(case, __file__)
