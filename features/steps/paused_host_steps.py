from __future__ import annotations

import time
from types import SimpleNamespace

from behave import given, then, when

from alderhatch.core.forwarding.crash_counter import SuspectKey
from alderhatch.core.forwarding.decision import DecisionKind
from alderhatch.core.forwarding.outcome import Answered
from alderhatch.node.crash_guard import CrashGuard
from features.support.forward_model import scatter_route
from features.support.scripted_servers import Cut, RunnerScene, ScriptedServer, reply_bytes

GATHER = "gather"
PAUSE_S = 0.6
POLL_MS = 100.0
SHARDS = [f"s{number}" for number in range(8)]
ROUTE = scatter_route(SHARDS)


@given("a host that checks for pauses each 100 ms")
def step_host(context):
    context.now = 10_000.0
    context.heard_at = context.now
    context.guard = CrashGuard(SimpleNamespace(now=lambda: context.now))
    context.guard.leader_heard_at = lambda: context.heard_at
    poll(context, 1000.0)


def poll(context, duration):
    until = context.now + duration
    while context.now < until:
        context.now += POLL_MS
        context.guard.may_be_outdated()


@when("it is paused for {pause:d} ms, and {news}")
def step_paused(context, pause, news):
    context.now += pause
    resumed_at = context.now
    context.guard.may_be_outdated()
    match news:
        case "nothing has come from the leader":
            return
        case "the leader's old messages are read":
            context.heard_at = resumed_at + 10.0
            poll(context, 100.0)
        case "the leader is heard 100 ms later":
            poll(context, 100.0)
            context.heard_at = context.now
        case "the leader names it as a suspect 100 ms later":
            poll(context, 100.0)
            context.heard_at = context.now
            context.guard.apply_suspects([SuspectKey(GATHER)])
        case "a new leader is heard, without its lists yet":
            poll(context, 100.0)
            context.guard.on_new_leader()
            context.heard_at = context.now
        case "a new leader has sent its lists":
            poll(context, 100.0)
            context.guard.on_new_leader()
            context.heard_at = context.now
            context.guard.apply_suspects([])
        case "the leader says nothing for 2 s":
            poll(context, 2000.0)
        case _:
            raise AssertionError(news)


@then("a gather runs {how}")
def step_runs(context, how):
    is_held = context.guard.hold_reason(GATHER) is not None
    assert is_held is (how == "on one server first"), how


def add_servers(context, script):
    context.log = []
    """What the servers received and answered, in order."""
    context.servers = [
        ScriptedServer(f"i-{shard}-{number}", shard, script)
        for shard in SHARDS
        for number in range(2)
    ]


@given("8 shards of 2 servers that end each connection on which a gather comes")
def step_ending(context):
    def script(server, request_id, sent):
        context.log.append(server.server_id)
        return Cut(b"")

    add_servers(context, script)


@given("8 shards of 2 servers that answer")
def step_answering(context):
    def script(server, request_id, sent):
        context.log.append(server.server_id)
        seal = f"{server.server_id}.{request_id}".encode()
        return reply_bytes(200, request_id, seal, f"{server.server_id:>16}".encode()[-16:])

    add_servers(context, script)


@when("the host is paused after it began to send a gather")
def step_pause(context):
    async def scene(runner_scene):
        guard = runner_scene.state.crash_guard
        guard.may_be_outdated()
        heard_at = runner_scene.now()
        guard.leader_heard_at = lambda: heard_at
        acquire = runner_scene.pool.acquire
        runner_scene.pool.acquire_idle = lambda server_id: None
        paused = []

        async def pause_and_acquire(server_id):
            conn = await acquire(server_id)
            if not paused:
                paused.append(server_id)
                # The whole process stands still, as when it is suspended.
                time.sleep(PAUSE_S)
            return conn

        runner_scene.pool.acquire = pause_and_acquire
        context.outcome = await runner_scene.forward(ROUTE, "r0", timeout=5000.0)
        context.run = runner_scene.last_run

    RunnerScene(context.servers, [ROUTE]).run(scene)


@then("the gather has reached 1 server")
def step_reached(context):
    assert len(context.log) == 1, context.log


@then("the gather is answered with all parts, and without a retry")
def step_complete(context):
    assert isinstance(context.outcome, Answered), context.outcome
    assert context.outcome.missing == 0, context.outcome
    assert len(context.log) == len(SHARDS), context.log
    kinds = [decision.kind for decision in context.run.trace]
    assert DecisionKind.RETRY not in kinds, kinds
