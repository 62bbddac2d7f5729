from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from pathlib import Path

import orjson
import trio
from behave import given, then, when

from alderhatch.clock import SECOND, WallClock
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.node.state_checkpoint import (
    CHECKPOINT_INTERVAL,
    CHECKPOINT_NAME,
    CheckpointStore,
    KeptQuarantine,
    KeptState,
)
from alderhatch.node.tier_messages import ConfigurationNews, TierView
from features.steps.kept_verdicts_steps import host_state
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
    all_addresses = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in tier.running()}
    for index in tier.running():
        until(
            lambda index=index: advertised_hosts(tier, index) == all_addresses,
            f"node {index} advertises all hosts",
        )


def advertised_hosts(tier, index, zone="elsewhere"):
    answer = tier.resolve(index, zone)
    return set(answer["addrs"]) if answer else None


@then(
    "each host advertises all 4 hosts to callers, and only the two hosts of a zone to its callers"
)
def step_named(context):
    tier = context.platform
    # Hosts 0 and 3 are in the first zone; hosts 1 and 2 are alone in their zones.
    in_zone = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in (0, 3)}
    for index in tier.running():
        assert advertised_hosts(tier, index, ZONES[0]) == in_zone
        assert len(advertised_hosts(tier, index, ZONES[1])) == 4


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


def read_configuration(tier, index):
    answer = tier.operate(index, "GET")
    return answer.body if answer is not None and answer.status == 200 else None


@then("each host reads the configuration back as it was sent")
def step_read_back(context):
    tier = context.platform
    for index in tier.running():
        result = until(
            lambda index=index: read_configuration(tier, index), "the configuration is read"
        )
        assert result == context.document, result


@then("a request for a path without a route gets 404")
def step_no_route(context):
    assert context.platform.ask(0, "/nowhere/", fresh_id()).status == 404


@then(
    "the same configuration again, an older one, and another one of the same version are accepted"
)
def step_old_changes(context):
    tier = context.platform
    current = orjson.loads(context.document)
    other = current | {"routes": current["routes"][:1]}
    older = other | {"version": current["version"] - 1}
    for document in (current, older, other):
        assert tier.put(orjson.dumps(document)).status == 200


@then("an invalid configuration of a higher version is refused with 400 and changes nothing")
def step_invalid(context):
    tier = context.platform
    current = orjson.loads(context.document)
    bad = current | {"version": current["version"] + 5}
    bad["routes"] = [bad["routes"][0] | {"timeout-ms": 0}]
    for index in tier.running():
        assert tier.operate(index, "PUT", orjson.dumps(bad)).status == 400
    step_read_back(context)


def wait_for_leader(tier):
    """Wait until a host leads, and return its index."""
    # The index is wrapped in a list because index 0 would count as not found.
    result = until(lambda: [one for one in [tier.leader()] if one is not None], "a leader")
    return result[0]


@when("the leading host of the platform tier is killed")
def step_kill_leader(context):
    tier = context.platform
    context.lost = wait_for_leader(tier)
    tier.kill(context.lost)


@when("the leading host and another one with a disk are killed")
def step_kill_majority(context):
    tier = context.platform
    leader = wait_for_leader(tier)
    other = next(index for index in range(tier.disks) if index != leader)
    context.lost_hosts = (leader, other)
    tier.kill(leader, other)


@then("no remaining host advertises the lost ones")
def step_lost_not_advertised(context):
    tier = context.platform
    lost = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in context.lost_hosts}
    for index in tier.running():
        until(
            lambda index=index: not lost & (advertised_hosts(tier, index) or lost),
            "the lost hosts are not advertised",
        )


@then("each remaining host advertises all remaining hosts")
def step_remaining_advertised(context):
    tier = context.platform
    left = {f"{tier.addresses[index]}:{tier.ports[0]}" for index in tier.running()}
    for index in tier.running():
        until(
            lambda index=index: advertised_hosts(tier, index) == left,
            "the remaining hosts are advertised",
        )


@then("a query at each remaining host is answered at once")
def step_query_remaining(context):
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


@then("no remaining host advertises the lost one")
def step_lost_one_not_advertised(context):
    tier = context.platform
    lost = f"{tier.addresses[context.lost]}:{tier.ports[0]}"
    for index in tier.running():
        until(
            lambda index=index: lost not in (advertised_hosts(tier, index) or {lost}),
            "the lost host is not advertised",
        )


def step_all_voters(context):
    """Wait until all hosts with a disk are voters; count the promotions of the host to wipe."""
    tier = context.platform

    def count_lines_with(text):
        texts = [tier.log_text(index) for index in range(tier.disks)]
        return sum(
            1 for line in "\n".join(texts).splitlines() if text in line and "member_changed" in line
        )

    until(
        lambda: count_lines_with("PromoteMember") == tier.disks - 1,
        "all hosts with a disk are voters",
    )
    context.promotions_before = count_lines_with(f"PromoteMember(name='node-{context.wiped}')")


@when("a host that does not lead loses its disk and starts again")
def step_lose_disk(context):
    tier = context.platform
    tier.first_start = False
    leader = wait_for_leader(tier)
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

    # The host was promoted once before, unless it bootstrapped the log itself.
    until(lambda: promotions() > context.promotions_before, "the host with the new disk is a voter")


@when("the seeds become the host without a disk, and all hosts are killed and start again")
def step_restart_all(context):
    tier = context.platform
    tier.first_start = False
    tier.seeds = [tier.addresses[-1]]
    tier.kill(*tier.running())
    tier.start()


def in_background(function):
    results = []
    thread = threading.Thread(target=lambda: results.append(function()))
    thread.start()
    return thread, results


@when("a host is told to stop while an order runs on it")
def step_stop(context):
    tier = context.platform
    for server in tier.servers.values():
        server.delay = 1.0
    context.stopping = 1
    request_id = fresh_id()
    thread, results = in_background(lambda: tier.ask(1, "/orders/1", request_id, "POST", b"x"))
    until(lambda: runs_of(tier, request_id) == 1, "the order is running")
    context.process = tier.processes.pop(1)
    context.process.send_signal(signal.SIGTERM)
    context.is_unready = until(lambda: not tier.is_ready(1), "the host is not ready")
    context.is_unadvertised = until(
        lambda: f"{tier.addresses[1]}:{tier.ports[0]}" not in (advertised_hosts(tier, 0) or set()),
        "the host is not advertised",
    )
    thread.join()
    context.order = results[0]


@then("the order is answered in full, and the connection is closed with it")
def step_order_answered(context):
    assert context.order is not None and context.order.status == 200, context.order
    assert context.order.headers["connection"] == "close"


@then("the host is no longer ready and is not advertised to callers")
def step_unready(context):
    assert context.is_unready and context.is_unadvertised


@given("orders take 1 s, as the host that is to stop has seen")
def step_long_orders(context):
    tier = context.platform
    for server in tier.servers.values():
        server.delay = 1.0
    for _ in range(2):
        assert tier.ask(1, "/orders/1", fresh_id(), "POST", b"x").status == 200


@when("that host is told to stop, and an order arrives 1.85 s later")
def step_late_order(context):
    tier = context.platform
    context.request_id = fresh_id()
    tier.processes.pop(1).send_signal(signal.SIGTERM)
    time.sleep(0.95)
    # Without anything in progress the host would end before the late order arrives.
    running = in_background(lambda: tier.ask(1, "/orders/1", fresh_id(), "POST", b"x"))[0]
    time.sleep(0.9)
    context.order = tier.ask(1, "/orders/1", context.request_id, "POST", b"x")
    running.join()


@then("that order is refused as not run, or not read at all, and ran nowhere")
def step_late_order_refused(context):
    assert context.order is None or context.order.status == 503, context.order
    assert runs_of(context.platform, context.request_id) == 0


@then("it exits with code 0 within its time limit")
def step_ended(context):
    assert context.process.wait(timeout=60) == 0


@when("the settings of a host are changed to invalid values and it receives SIGHUP")
def step_reload(context):
    tier = context.platform
    tier.settings_path(0).write_text("bounds.grace-s=soon\n")
    tier.processes[0].send_signal(signal.SIGHUP)


@then("it keeps serving and logs that it refused the settings")
def step_keeps_serving(context):
    tier = context.platform
    until(lambda: "settings_refused" in tier.log_text(0), "the refusal is logged")
    assert tier.ask(0, "/paths/7", fresh_id()).status == 200


@when("a caller disconnects 0.3 s after it has sent an order that takes 5 s")
def step_disconnect(context):
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
    until(
        lambda: sum(one.cancelled for one in tier.servers.values()) == 1,
        "the order is cancelled at its server",
    )


REQUEST_HEAD = f"GET /paths/7 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: 1\r\n"
REQUESTS = {
    "a malformed line": "towels towels towels\r\n\r\n",
    "two different lengths": f"{REQUEST_HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "a head of 40 KiB": f"{REQUEST_HEAD}X: {'x' * 40_960}\r\n\r\n",
    'a time left of "soon"': f"{REQUEST_HEAD}Time-Budget-Ms: soon\r\n\r\n",
}


@when("{kind} are sent to the callers' port of a host")
def step_bytes(context, kind):
    tier = context.platform
    with socket.create_connection((tier.addresses[0], tier.ports[0]), timeout=20) as sock:
        sock.sendall(REQUESTS[kind].encode())
        context.status_line = sock.recv(200).split(b"\r\n")[0]


@then("it answers with {status:d} and keeps serving")
def step_bytes_answered(context, status):
    assert context.status_line.split()[1] == b"%d" % status, context.status_line
    assert context.platform.ask(0, "/paths/7", fresh_id()).status == 200


@when("a query and an order were answered by a host")
def step_query_and_order(context):
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


@then("its metrics page reports how long syncs and elections of the replicated log took")
def step_log_metrics(context):
    tier = context.platform
    lines = call(tier.addresses[0], tier.ports[5], "GET", "/metrics").body.decode().splitlines()
    samples = dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    syncs, sync_time, leaderless = (
        float(samples[f'alderhatch_node_log_{name}_total{{process="node-0"}}'])
        for name in ("syncs", "sync_seconds", "leaderless_seconds")
    )
    # The host has stored at least its initial log state and one change.
    assert syncs >= 2, lines
    assert 0 < sync_time < syncs, lines
    assert 0 < leaderless < 60, lines


SIGHUP_WHILE_LOADING = """
import os, runpy, signal, sys

class Probe:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Probe())
runpy.run_module("alderhatch.platform", run_name="__main__", alter_sys=True)
"""


@when("the node program receives SIGHUP while it loads its first library")
def step_early_sighup(context):
    env = os.environ | {"ALDERHATCH_SETTINGS": "/nonexistent/settings.conf"}
    command = [sys.executable, "-c", SIGHUP_WHILE_LOADING]
    context.early_exit = subprocess.run(
        command, env=env, capture_output=True, timeout=60, check=False
    )


@then("it continues, and exits as its settings can't be read")
def step_continued(context):
    assert context.early_exit.returncode == 2, context.early_exit
    assert b"program_cannot_start" in context.early_exit.stdout, context.early_exit


def checkpoint_file(tier, index):
    return tier.data_folder(index) / CHECKPOINT_NAME


def kill_all(tier):
    for index in range(tier.disks):
        until(checkpoint_file(tier, index).exists, f"node {index} has written its checkpoint")
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


@when("all hosts are killed, the checkpoint of each becomes {kind}, and all start again")
def step_corrupt_checkpoint(context, kind):
    tier = context.platform
    kill_all(tier)
    for index in range(tier.disks):
        data = checkpoint_file(tier, index).read_bytes()
        corrupted = {
            "empty": b"",
            "invalid bytes": b"\xff" * 40,
            "its first half": data[: len(data) // 2],
        }
        checkpoint_file(tier, index).write_bytes(corrupted[kind])
    tier.start()


@then("it advertises itself to callers")
def step_advertises_itself(context):
    tier = context.platform
    assert f"{tier.addresses[0]}:{tier.ports[0]}" in advertised_hosts(tier, 0)


@then("a change and a read of the configuration are answered with 503")
def step_no_leader(context):
    tier = context.platform
    assert tier.operate(0, "GET").status == 503
    assert tier.operate(0, "PUT", tier.configuration(SHARDS)).status == 503


@given("a checkpoint on a disk that answers after {seconds:d} s")
def step_hanging_disk(context, seconds):
    context.released = threading.Event()
    context.add_cleanup(context.released.set)
    context.hang_time_s = seconds
    context.has_answered = False


@when("a host starts, and goes on")
def step_restore(context):
    def read(folder):
        context.released.wait(context.hang_time_s)
        context.has_answered = True

    async def start():
        async with trio.open_nursery() as nursery:
            store = CheckpointStore(Path("nowhere"), None, read)
            nursery.start_soon(store.restore)
            await store.wait_restored()
            context.had_answered = context.has_answered
            nursery.cancel_scope.cancel()

    trio.run(start)


@then("it continues without the checkpoint before the disk has answered")
def step_continues(context):
    assert not context.had_answered


LATE_DISK_TIMEOUT_S = 20.0
PACKED = zlib.compress(b"{}")


def view_of(name):
    return TierView([HostRecord(name, "zone-0", "10.0.0.1:7380", True, 1.0, 7381)], [], 1.0)


@given("the checkpoint of a host, of version 3 and with a quarantined request")
def step_late_checkpoint(context):
    quarantine = KeptQuarantine("crashing", WallClock().now() + SECOND * 60)
    context.kept = KeptState(
        ConfigurationNews(3, PACKED), view_of("checkpoint"), quarantines=(quarantine,)
    )
    context.state = host_state()


@when("it starts, {what}, and then its disk answers")
def step_late_disk(context, what):
    disk_answers = threading.Event()
    context.add_cleanup(disk_answers.set)
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder, ignore_errors=True)
    state = context.state

    def read(_):
        disk_answers.wait()
        return context.kept

    async def start():
        async with trio.open_nursery() as nursery:
            store = CheckpointStore(folder, state, read)
            nursery.start_soon(store.restore)
            nursery.start_soon(store.run)
            await store.wait_restored()
            if what.startswith("a leader"):
                state.apply_configuration(StoredConfiguration(4, PACKED))
                state.apply_view(view_of("leader"))
            await trio.sleep(2 * CHECKPOINT_INTERVAL / SECOND)
            context.written_before = list(folder.iterdir())
            disk_answers.set()
            with trio.fail_after(LATE_DISK_TIMEOUT_S):
                while not state.crash_guard.quarantines():
                    await trio.sleep(0.01)
            context.quarantined = list(state.crash_guard.quarantines())
            nursery.cancel_scope.cancel()

    trio.run(start)


@then("it refuses the quarantined request, uses version {version:d} and the hosts of the {whose}")
def step_late_restored(context, version, whose):
    assert context.quarantined == ["crashing"]
    assert context.state.stored.version == version
    assert [host.name for host in context.state.hosts] == [whose]


@then("it has written no checkpoint before")
def step_none_written(context):
    assert context.written_before == []


@when("all hosts are killed once those with a disk have a checkpoint, and start again")
def step_kill_with_checkpoint(context):
    kill_all(context.platform)
    context.platform.start()


def start_steps(tier, index):
    """Return the steps of a host's last start with the milliseconds since its process began."""
    steps = {}
    for line in tier.log_text(index).splitlines():
        if '"start_step"' in line:
            fields = orjson.loads(line)["fields"]
            if fields["step"] in ("checkpoint", *steps):
                # The process has started anew; what the one before has logged says nothing of it.
                steps = {}
            steps[fields["step"]] = fields["after_ms"]
    return steps


@then("each host has logged the steps of its start, those with a disk from their checkpoint on")
def step_start_steps(context):
    tier = context.platform
    for index in tier.running():
        steps = until(
            lambda index=index: (
                start_steps(tier, index)
                if {"leader", "answer"} <= start_steps(tier, index).keys()
                else None
            ),
            f"node {index} has answered and follows a leader",
        )
        print(f"node {index}: {steps}")
        first = ["checkpoint"] if index < tier.disks else []
        in_order = [steps[name] for name in [*first, "ports", "servers", "ready", "answer"]]
        assert in_order == sorted(in_order), steps
        assert steps["ports"] <= steps["leader"], steps
