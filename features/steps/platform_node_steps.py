from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import orjson
import trio
from behave import given, then, when

from alderhatch.node.state_checkpoint import CHECKPOINT_NAME, CheckpointStore
from features.support.platform_tier import HOST, ZONES, PlatformTier, call
from features.support.tier import until

SHARDS = ["shard-a", "shard-b", "shard-c"]
_numbers = iter(range(1, 1 << 30))


def fresh_id():
    return f"{next(_numbers):016x}"


@given("a platform tier of 3 hosts with a disk and 1 without, with servers of 3 shards")
def step_tier(context):
    tier = context.platform = PlatformTier(context)
    for name in SHARDS:
        tier.add_servers(name)
    tier.add_servers("kitchen", 3)
    tier.start()


@given("a platform tier that serves")
def step_serving(context):
    step_tier(context)
    step_configure(context)
    step_ready(context)


@when("an operator sends a configuration")
def step_configure(context):
    tier = context.platform
    context.document = tier.configuration(SHARDS)
    tier.put(context.document)


@then("every host of the platform tier becomes ready")
def step_ready(context):
    tier = context.platform
    for index in tier.running():
        until(lambda index=index: tier.is_ready(index), f"node {index} is ready")
    all_named = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in tier.running()}
    for index in tier.running():
        until(lambda index=index: named(tier, index) == all_named, f"node {index} knows all")


def named(tier, index, zone="elsewhere"):
    answer = tier.resolve(index, zone)
    return set(answer["addrs"]) if answer else None


@then("each host names all 4 hosts to callers, and to those of a zone with two hosts only these")
def step_named(context):
    tier = context.platform
    # Hosts 0 and 3 are in the first zone, 1 and 2 alone in theirs.
    in_zone = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in (0, 3)}
    for index in tier.running():
        assert named(tier, index, ZONES[0]) == in_zone
        assert len(named(tier, index, ZONES[1])) == 4


@then("a query at each host gets the 4 greatest records of 3 shards with their seals")
def step_query(context):
    tier = context.platform
    records = [f"{'shard-c':>12}{number:04}" for number in (2, 1, 0)] + [f"{'shard-b':>12}0002"]
    for index in tier.running():
        request_id = fresh_id()
        answer = tier.ask(index, "/paths/7", request_id)
        assert answer.status == 200, answer
        assert answer.body == "".join(records).encode(), answer
        seals = answer.headers["part-seals"].split(", ")
        assert len(seals) == 3 and answer.headers["missing-parts"] == "0"
        assert all(seal.endswith(request_id) for seal in seals), seals


def runs_of(tier, request_id):
    return sum(one.runs.count(request_id) for one in tier.servers.values())


@then("an order at each host gets one server's own bytes, and ran once")
def step_order(context):
    tier = context.platform
    for index in tier.running():
        request_id = fresh_id()
        answer = tier.ask(index, "/orders/7", request_id, "POST", b"towels")
        assert answer.status == 200, answer
        assert answer.body == tier.servers["i-kitchen-0"].records()
        assert answer.headers["server-seal"].endswith(request_id)
        assert runs_of(tier, request_id) == 1


def read_back(tier, index):
    answer = tier.operate(index, "GET")
    return answer.body if answer is not None and answer.status == 200 else None


@then("each host reads the configuration back as it was sent")
def step_read_back(context):
    tier = context.platform
    for index in tier.running():
        found = until(lambda index=index: read_back(tier, index), "the configuration is read")
        assert found == context.document, found


@then("a request for a path without a route gets 404")
def step_no_route(context):
    assert context.platform.ask(0, "/nowhere/", fresh_id()).status == 404


@then("the same configuration again, an older one, and another one of the same number are taken")
def step_again(context):
    tier = context.platform
    current = orjson.loads(context.document)
    other = current | {"routes": current["routes"][:1]}
    older = other | {"version": current["version"] - 1}
    for document in (current, older, other):
        assert tier.put(orjson.dumps(document)).status == 200


@then("an invalid configuration of a higher number is refused with 400 and changes nothing")
def step_invalid(context):
    tier = context.platform
    current = orjson.loads(context.document)
    bad = current | {"version": current["version"] + 5}
    bad["routes"] = [bad["routes"][0] | {"timeout-ms": 0}]
    for index in tier.running():
        assert tier.operate(index, "PUT", orjson.dumps(bad)).status == 400
    step_read_back(context)


def leading(tier):
    """Wait until a host leads, and return its index."""
    # A host's index may be 0, which would not count as found.
    found = until(lambda: [one for one in [tier.leader()] if one is not None], "a leader")
    return found[0]


@when("the leading host of the platform tier is killed")
def step_kill_leader(context):
    tier = context.platform
    context.gone = leading(tier)
    tier.kill(context.gone)


@when("the leading host and another one with a disk are killed")
def step_kill_majority(context):
    tier = context.platform
    leader = leading(tier)
    other = next(index for index in range(tier.disks) if index != leader)
    context.gone_hosts = (leader, other)
    tier.kill(leader, other)


@then("no host that is left names those that are gone")
def step_gone_not_named(context):
    tier = context.platform
    gone = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in context.gone_hosts}
    for index in tier.running():
        until(lambda index=index: not gone & (named(tier, index) or gone), "they are not named")


@then("each host that is left names all that are left")
def step_left_named(context):
    tier = context.platform
    left = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in tier.running()}
    for index in tier.running():
        until(lambda index=index: named(tier, index) == left, "they are named")


@then("a query at each host that is left is answered at once")
def step_query_left(context):
    tier = context.platform
    for index in tier.running():
        assert tier.ask(index, "/paths/7", fresh_id()).status == 200


@then("the operator's next configuration is accepted and served everywhere")
def step_next(context):
    tier = context.platform
    document = orjson.loads(tier.configuration(SHARDS))
    document["routes"][1]["path-prefix"] = "/moved/"
    context.document = orjson.dumps(document)
    tier.put(context.document)
    for index in tier.running():
        until(
            lambda index=index: tier.ask(index, "/moved/1", fresh_id(), "POST", b"x").status == 200,
            f"node {index} serves the new route",
        )
    step_read_back(context)


@then("no host that is left names the one that is gone")
def step_not_named(context):
    tier = context.platform
    gone = f"{tier.addresses[context.gone]}:{tier.ports[0]}"
    for index in tier.running():
        until(lambda index=index: gone not in (named(tier, index) or {gone}), "it is not named")


def step_all_voters(context):
    """Wait until all hosts with a disk have a vote; note how often the one to be wiped got it."""
    tier = context.platform

    def lines_with(text):
        texts = [tier.log_text(index) for index in range(tier.disks)]
        return sum(
            1 for line in "\n".join(texts).splitlines() if text in line and "member_changed" in line
        )

    until(lambda: lines_with("PromoteMember") == tier.disks - 1, "all have a vote")
    context.promoted = lines_with(f"PromoteMember(name='node-{context.wiped}')")


@when("a host that does not lead loses its disk and starts again")
def step_lose_disk(context):
    tier = context.platform
    tier.first_start = False
    leader = leading(tier)
    context.wiped = next(index for index in range(tier.disks) if index != leader)
    step_all_voters(context)
    tier.kill(context.wiped)
    shutil.rmtree(tier.data_folder(context.wiped))
    tier.start(context.wiped)


@then("it becomes a voter of the log again")
def step_voter(context):
    tier = context.platform
    wanted = f"PromoteMember(name='node-{context.wiped}')"

    def promotions():
        lines = [line for index in range(3) for line in tier.log_text(index).splitlines()]
        return sum(1 for line in lines if wanted in line and "member_changed" in line)

    # The first time was when the tier was founded, unless this host founded the log itself.
    until(lambda: promotions() > context.promoted, "the host with the new disk has a vote")


@when("the seeds become the host without a disk, and all hosts are killed and start again")
def step_restart_all(context):
    tier = context.platform
    tier.first_start = False
    tier.seeds = [tier.addresses[-1]]
    tier.kill(*tier.running())
    tier.start()


def in_background(function):
    box = []
    thread = threading.Thread(target=lambda: box.append(function()))
    thread.start()
    return thread, box


@when("a host is told to stop while an order runs on it")
def step_stop(context):
    tier = context.platform
    for server in tier.servers.values():
        server.delay = 1.0
    context.stopping = 1
    request_id = fresh_id()
    thread, box = in_background(lambda: tier.ask(1, "/orders/1", request_id, "POST", b"x"))
    until(lambda: runs_of(tier, request_id) == 1, "the order runs")
    context.process = tier.processes.pop(1)
    context.process.send_signal(signal.SIGTERM)
    context.still_ready = until(lambda: not tier.is_ready(1), "readiness is gone")
    context.named_after = until(
        lambda: f"{tier.addresses[1]}:{tier.ports[0]}" not in (named(tier, 0) or set()), "not named"
    )
    thread.join()
    context.order = box[0]


@then("the order is answered in full, and the connection is closed with it")
def step_order_answered(context):
    assert context.order is not None and context.order.status == 200, context.order
    assert context.order.headers["connection"] == "close"


@then("the host is not ready any more and is not named to callers")
def step_left(context):
    assert context.still_ready and context.named_after


@then("it ends by itself with code 0 within its time")
def step_ended(context):
    assert context.process.wait(timeout=60) == 0


@when("the settings of a host are changed to nonsense and it gets SIGHUP")
def step_hup(context):
    tier = context.platform
    tier.settings_path(0).write_text("bounds.grace-s=soon\n")
    tier.processes[0].send_signal(signal.SIGHUP)


@then("it serves on and says that it refused the settings")
def step_serves_on(context):
    tier = context.platform
    until(lambda: "settings_refused" in tier.log_text(0), "the refusal is logged")
    assert tier.ask(0, "/paths/7", fresh_id()).status == 200


@when("a caller leaves 0.3 s after it has asked for an order that takes 5 s")
def step_leave(context):
    tier = context.platform
    for server in tier.servers.values():
        server.delay = 5.0
    context.request_id = fresh_id()
    assert tier.ask(0, "/orders/1", context.request_id, "POST", b"x", timeout=0.3) is None
    context.left_at = time.monotonic()


@then("the server's work on it is cancelled within 0.5 s")
def step_cancelled(context):
    tier = context.platform
    assert runs_of(tier, context.request_id) == 1
    until(lambda: sum(one.cancelled for one in tier.servers.values()) == 1, "it is cancelled")


GOOD_HEAD = f"GET /paths/7 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: 1\r\n"
BYTES = {
    "a line of nonsense": "towels towels towels\r\n\r\n",
    "two different lengths": f"{GOOD_HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "a head of 40 KiB": f"{GOOD_HEAD}X: {'x' * 40_960}\r\n\r\n",
    'a time left of "soon"': f"{GOOD_HEAD}Time-Budget-Ms: soon\r\n\r\n",
}


@when("{what} are sent to the callers' port of a host")
def step_bytes(context, what):
    tier = context.platform
    with socket.create_connection((tier.addresses[0], tier.ports[0]), timeout=20) as sock:
        sock.sendall(BYTES[what].encode())
        context.status_line = sock.recv(200).split(b"\r\n")[0]


@then("it answers with {status:d} and serves on")
def step_bytes_answered(context, status):
    assert context.status_line.split()[1] == b"%d" % status, context.status_line
    assert context.platform.ask(0, "/paths/7", fresh_id()).status == 200


@when("a query and an order were answered by a host")
def step_both(context):
    tier = context.platform
    assert tier.ask(0, "/paths/7", fresh_id()).status == 200
    assert tier.ask(0, "/orders/7", fresh_id(), "POST", b"x").status == 200


@then("its metrics page counts them by route, with its servers, hosts and configuration")
def step_metrics(context):
    tier = context.platform
    page = call(tier.addresses[0], tier.ports[5], "GET", "/metrics").body.decode()
    for sample in (
        'alderhatch_node_requests_total{outcome="complete",process="node-0",route="paths"} 1',
        'alderhatch_node_requests_total{outcome="complete",process="node-0",route="orders"} 1',
        'alderhatch_node_servers{process="node-0",state="usable"} 9',
        'alderhatch_node_hosts{process="node-0"} 4',
        f'alderhatch_node_configuration{{process="node-0"}} {tier.version}',
    ):
        assert sample in page, (sample, page)


@then("its metrics page tells how long syncs and elections of the replicated log took")
def step_log_metrics(context):
    tier = context.platform
    lines = call(tier.addresses[0], tier.ports[5], "GET", "/metrics").body.decode().splitlines()
    samples = dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    syncs, sync_time, leaderless = (
        float(samples[f'alderhatch_node_log_{name}_total{{process="node-0"}}'])
        for name in ("syncs", "sync_seconds", "leaderless_seconds")
    )
    # It has taken part in the founding and in one change at least.
    assert syncs >= 2, lines
    assert 0 < sync_time < syncs, lines
    assert 0 < leaderless < 60, lines


LOADED_UNDER_SIGHUP = """
import os, runpy, signal, sys

class Probe:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Probe())
runpy.run_module("alderhatch.platform", run_name="__main__", alter_sys=True)
"""


@when("the node program gets SIGHUP as it loads its first library")
def step_early_hang_up(context):
    env = os.environ | {"ALDERHATCH_SETTINGS": "/nonexistent/settings.conf"}
    command = [sys.executable, "-c", LOADED_UNDER_SIGHUP]
    context.early = subprocess.run(command, env=env, capture_output=True, timeout=60, check=False)


@then("it goes on, and ends by what its settings say")
def step_went_on(context):
    assert context.early.returncode == 2, context.early
    assert b"program_cannot_start" in context.early.stdout, context.early


def kept_file(tier, index):
    return tier.data_folder(index) / CHECKPOINT_NAME


def kill_all(tier):
    for index in range(tier.disks):
        until(kept_file(tier, index).exists, f"node {index} has kept its beliefs")
    tier.first_start = False
    tier.kill(*tier.running())


@when("all hosts are killed, and only the first one starts again")
def step_first_only(context):
    tier = context.platform
    kill_all(tier)
    tier.start(0)
    until(lambda: tier.is_ready(0), "the first node is ready")


@when("all hosts are killed, and only the first one and the one without a disk start again")
def step_first_and_diskless(context):
    tier = context.platform
    kill_all(tier)
    started = (0, tier.disks)
    tier.start(*started)
    for index in started:
        until(lambda index=index: tier.is_ready(index), f"node {index} is ready")


@when("all hosts are killed, the kept beliefs of each become {what}, and all start again")
def step_spoilt_beliefs(context, what):
    tier = context.platform
    kill_all(tier)
    for index in range(tier.disks):
        data = kept_file(tier, index).read_bytes()
        spoilt = {"empty": b"", "nonsense": b"\xff" * 40, "half of them": data[: len(data) // 2]}
        kept_file(tier, index).write_bytes(spoilt[what])
    tier.start()


@then("it names itself to callers")
def step_names_itself(context):
    tier = context.platform
    assert f"{tier.addresses[0]}:{tier.ports[0]}" in named(tier, 0)


@then("a change and a read of the configuration are answered with 503")
def step_no_leader(context):
    tier = context.platform
    assert tier.operate(0, "GET").status == 503
    assert tier.operate(0, "PUT", tier.configuration(SHARDS)).status == 503


@given("kept beliefs on a disk that answers after {seconds:d} s")
def step_hanging_disk(context, seconds):
    context.released = threading.Event()
    context.add_cleanup(context.released.set)
    context.hangs_for = seconds
    context.has_answered = False


@when("a host restores its beliefs")
def step_restore(context):
    def read(folder):
        context.released.wait(context.hangs_for)
        context.has_answered = True

    async def restore():
        keeper = CheckpointStore(Path("nowhere"), None, read)
        await keeper.restore()

    trio.run(restore)


@then("it goes on without them before the disk has answered")
def step_goes_on(context):
    assert not context.has_answered
