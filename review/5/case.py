"""A deadly request to one virtual host stops a harmless one that another host's callers send."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from harness_2 import TROUBLE, Server, Tier, configuration, play, route  # noqa: E402

ROBOTS = "robots.example"
DESKS = "desks.example"
PATH = "/search/today"
"""What the desks ask all the time, and the path of the robots' deadly request."""
PER_S = 10
"""Requests of each kind."""
LENGTH_S = 92.0
DEADLY_FROM_S = 2.0
DEADLY_FOR_S = 20.0
DEADLY_EVERY = 33
"""Three of a hundred requests of the robots."""
CRASHES_AFTER_S = 0.03
DOWN_S = 3.0
STARVED = 0.25


class Navigator(Server):
    """A robots' server, which the deadly request crashes; it is back after some seconds."""

    async def run(self, request_id, method, path, fields, body):
        if path != PATH:
            return await super().run(request_id, method, path, fields, body)
        self.record.write(f"server {self.instance_id} runs the deadly {request_id}")
        await asyncio.sleep(CRASHES_AFTER_S)
        if self.is_up:
            self.crash()
            asyncio.get_running_loop().call_later(
                DOWN_S, lambda: asyncio.ensure_future(self.start())
            )
        await asyncio.sleep(DOWN_S)
        raise OSError


class Clients:
    """The robots and the desks, each at an address of its own."""

    def __init__(self, tier, record):
        self._tier = tier
        self._record = record
        self._number = 0
        self.sent = Counter()
        self.answered = Counter()

    async def ask(self, kind, path):
        """Send a request of a kind; it is resent once, at another node, as clients do."""
        host, source = (ROBOTS, 201) if kind.startswith("robots") else (DESKS, 202)
        source = f"{self._tier.server_base}{source}"
        self.sent[kind] += 1
        for _ in range(2):
            self._number += 1
            request_id = f"{self._number:016x}"
            node = self._number % len(self._tier.addresses)
            answer = await self._tier.ask(node, path, request_id, host=host, source=source)
            status = answer.status if answer is not None else "no answer"
            why = answer.body.decode("latin-1") if status == 503 else ""
            self._record.write(f"{kind} {request_id} {path} at node {node}: {status} {why}")
            if status == 200:
                self.answered[kind] += 1
                return
            await asyncio.sleep(0.3)

    async def send(self):
        """Send both kinds at their rates for the whole day."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(LENGTH_S * PER_S)):
                at = number / PER_S
                is_time = DEADLY_FROM_S <= at < DEADLY_FROM_S + DEADLY_FOR_S
                if TROUBLE and is_time and number % DEADLY_EVERY == 0:
                    # Deadly requests earn nothing and aren't missed.
                    group.create_task(self.ask("robots (deadly)", PATH))
                else:
                    group.create_task(self.ask("robots", f"/search/{number}"))
                group.create_task(self.ask("desks", PATH))
                await asyncio.sleep(1 / PER_S)


async def case(record):
    tier = Tier(record, disks=3, diskless=1)
    try:
        await tier.start_list()
        await tier.add_servers("navigator", 6, make=Navigator)
        await tier.add_servers("deskline", 2)
        await tier.start_nodes()
        routes = [
            route("robots", "/search/", service="navigator", host=ROBOTS),
            route("desks", "/search/", service="deskline", host=DESKS),
        ]
        cfg = configuration(3, routes, ["navigator", "deskline"])
        if await tier.order("PUT", "/-/config", cfg, timeout=12.0) is None:
            raise RuntimeError("the first configuration was not accepted")
        await asyncio.sleep(2.0)
        clients = Clients(tier, record)
        await clients.send()
        share = {kind: clients.answered[kind] / clients.sent[kind] for kind in ("robots", "desks")}
        total = sum(clients.answered[kind] for kind in share)
        overall = total / sum(clients.sent[kind] for kind in share)
        record.write(f"served: {share}, of all requests {overall:.3f}")
        starts = {one.instance_id: one.starts for one in tier.servers if one.service == "deskline"}
        record.write(f"starts of the desks' servers: {starts}")
        return any(one < STARVED * overall for one in share.values())
    finally:
        await tier.close()


sys.exit(play(FOLDER, case))
