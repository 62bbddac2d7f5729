"""The server list has an entry of another writer whose address can't be read."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins
from standins import LIMITS, KeptClient, Server, Tier, route, service

TROUBLE = os.environ.get("TROUBLE") != "0"
CLIENTS_PER_NODE = 8
EPISODES = 3
LISTED_S = 1.5
BETWEEN_S = 6.0
LAST_S = 8.0
"""The entry is listed for a moment three times, and at the end for so long."""
MAX_LOST = 3
"""LOST: requests from kept connections that may end without an answer."""
MAX_OWN_ENDS = 3
"""Fault: so many ends of processes by themselves, on two machines at least, void a day."""
FOREIGN_ENTRY = {
    "instance-id": "i-5d20c7e1",
    "service": "kitchenpass",
    "address": "\ufffd\ufffd\ufffd\ufffd:8080",
    "zone": "austin-hall",
    "version": "v1",
    "max-concurrency": 3,
    "state": "ready",
    "warmup-left-ms": 0,
}
"""Of another writer: the bytes of its address can't be read."""


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


def show(tier, record):
    """List the entry of another writer beside those of the servers."""
    if TROUBLE:
        tier.list.other_entries = [FOREIGN_ENTRY]
        record.write("listed", address=ascii(FOREIGN_ENTRY["address"]))


async def play(tier, servers, record):
    clients = [
        KeptClient(tier, node, 10 * node.index + number, record, servers)
        for node in tier.nodes
        for number in range(CLIENTS_PER_NODE)
    ]
    tasks = [asyncio.create_task(one.run("/orders/")) for one in clients]
    tasks.append(asyncio.create_task(tier.restart_ended()))
    await asyncio.sleep(3.0)
    for _ in range(EPISODES):
        show(tier, record)
        await asyncio.sleep(LISTED_S)
        tier.list.other_entries = []
        record.write("unlisted")
        await asyncio.sleep(BETWEEN_S)
    show(tier, record)
    served_before = sum(one.served for one in clients)
    await asyncio.sleep(LAST_S)
    for task in tasks:
        task.cancel()
    lost = sum(one.lost for one in clients)
    served = sum(one.served for one in clients) - served_before
    record.say(f"requests sent: {sum(one.sent for one in clients)}")
    record.say(f"requests served: {sum(one.served for one in clients)}")
    record.say(f"requests served in the last {LAST_S:.0f} s: {served}")
    record.say(f"processes that ended by themselves: {tier.own_ends()}")
    record.say(f"requests passed on from kept connections and closed without an answer: {lost}")
    tier.say_errors()
    machines = sum(count >= MAX_OWN_ENDS for count in tier.own_ends().values())
    return 1 if lost > MAX_LOST or machines >= 2 else 0


standins.main(case, __file__)
