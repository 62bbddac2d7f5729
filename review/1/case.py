"""Requests on routes that never existed are sent to each node, with the method HEAD."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins
from standins import HOST, LIMITS, Connection, KeptClient, Server, Tier, route, service

TROUBLE = os.environ.get("TROUBLE") != "0"
CLIENTS_PER_NODE = 4
PROBE_ROUNDS = 6
PROBE_GAP_S = 2.5
MAX_LOST = 3
"""LOST: how many requests from kept connections may end without an answer."""


async def case(record):
    servers = [
        Server("kitchenpass", number, standins.ZONES[number % 3], record) for number in range(4)
    ]
    tier = Tier(record)
    try:
        await tier.start_list(servers)
        await tier.start()
        await tier.put(
            {
                "version": 7,
                "routes": [route("order-fetch", "/orders/", "kitchenpass")],
                "services": [service("kitchenpass", 130)],
                "limits": LIMITS,
            }
        )
        await tier.wait_until_ready()
        # Every machine is in touch before the disruption.
        await asyncio.sleep(5.0)
        return await play(tier, servers, record)
    finally:
        await tier.close()


async def probe(tier, node, rng, record):
    """Send one request straight to a node, on a route that never existed."""
    request_id = standins.new_id(rng)
    path = f"/never-existed/{request_id[:6]}" if TROUBLE else f"/orders/{request_id[:6]}"
    fields = [("Host", HOST), ("Attempt-Id", request_id), ("Time-Budget-Ms", "2000")]
    conn = Connection(node.address, tier.ports["front"])
    try:
        reply = await conn.ask("HEAD", path, fields, timeout=2.0)
        answer = reply.status
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        answer = "closed"
    conn.close()
    record.write("probe", node=node.name, id=request_id, line=f"'HEAD {path}'", answer=answer)


async def play(tier, servers, record):
    clients = [
        KeptClient(tier, node, 10 * node.index + number, record, servers)
        for node in tier.nodes
        for number in range(CLIENTS_PER_NODE)
    ]
    tasks = [asyncio.create_task(one.run("/orders/")) for one in clients]
    tasks.append(asyncio.create_task(tier.restart_ended()))
    rng = random.Random(47)
    await asyncio.sleep(3.0)
    for _ in range(PROBE_ROUNDS):
        for node in tier.nodes:
            if node.process is not None:
                await probe(tier, node, rng, record)
        await asyncio.sleep(PROBE_GAP_S)
    for task in tasks:
        task.cancel()
    lost = sum(one.lost for one in clients)
    record.say(f"requests sent: {sum(one.sent for one in clients)}")
    record.say(f"requests served: {sum(one.served for one in clients)}")
    record.say(f"processes that ended by themselves: {tier.own_ends()}")
    record.say(f"requests passed on from kept connections and closed without an answer: {lost}")
    tier.say_errors()
    return 1 if lost > MAX_LOST else 0


standins.main(case, __file__)
