from __future__ import annotations

from functools import partial
from unittest.mock import patch

from behave import given, then, when

from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.outcome import Answered, Failed
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.platform.dialect import PlatformDialect
from features.support.forward_model import single_route
from features.support.scripted_servers import RunnerScene, ScriptedServer, reply_bytes

LOOKUP = single_route("kitchen")
ORDER = single_route("kitchen", idempotent=False)
DEADLINE_MS = 5000.0
IDS = ("r-lookup", "r-order")


class UnreadyDialect(PlatformDialect):
    """Raises an error that nobody expects for each answer."""

    def read_answer(self, req, reply, is_part=False):
        raise OverflowError("int too large to convert to float")


def script(server, request_id, sent):
    server.runs.append(request_id)
    return reply_bytes(200, request_id, b"seal")


@given('2 servers of "kitchen" whose answers raise an error in the host')
def step_unreadable(context):
    context.servers = [ScriptedServer(f"i-{number}", "kitchen", script) for number in range(2)]
    context.dialect = UnreadyDialect()
    context.on_answer = ForwardRun.on_answer


@given('2 servers of "kitchen" whose answers the request itself can\'t handle')
def step_unhandled(context):
    def fail(self, attempt, answer, now):
        raise KeyError(attempt)

    step_unreadable(context)
    context.dialect = PlatformDialect()
    context.on_answer = fail


def leave(runner_scene, server, how):
    state = runner_scene.state
    match how:
        case "begins to drain":
            state.apply_servers([server.record()._replace(draining=True)], [])
        case "is no longer listed":
            state.apply_servers([], [server.server_id])
        case "is evacuated":
            state.table.set_evacuated((server.zone,), runner_scene.now())
        case _:
            raise AssertionError(how)


@given('2 servers of "kitchen", of which the chosen one {how} during that wait')
def step_leaving(context, how):
    step_unreadable(context)
    context.dialect = PlatformDialect()
    context.servers[1].zone = "zone-1"
    context.left = []

    async def wait_and_leave(runner_scene, server_id):
        conn = await ConnectionPool.acquire(runner_scene.pool, server_id)
        if not context.left:
            server = next(one for one in context.servers if one.server_id == server_id)
            context.left.append(server)
            leave(runner_scene, server, how)
        return conn

    context.wait = wait_and_leave


@then("the leaving server got no request, and both were answered by the other one")
def step_left(context):
    (left,) = context.left
    (other,) = (server for server in context.servers if server is not left)
    assert all(isinstance(outcome, Answered) for outcome, _ in context.outcomes), context.outcomes
    assert (left.arrivals, other.runs) == ([], list(IDS))


@when("an idempotent request and then one that must not run twice are forwarded to them")
def step_forward(context):
    context.outcomes = []

    async def scene(runner_scene):
        if "wait" in context:
            runner_scene.pool.acquire_idle = lambda server_id: None
            runner_scene.pool.acquire = partial(context.wait, runner_scene)
        for route, request_id in zip((LOOKUP, ORDER), IDS, strict=True):
            outcome = await runner_scene.forward(route, request_id, timeout=DEADLINE_MS)
            context.outcomes.append((outcome, runner_scene.now() - runner_scene.began))
        targets = runner_scene.state.table.upstream("kitchen").targets.values()
        context.in_flight = [target.in_flight for target in targets]

    with patch.object(ForwardRun, "on_answer", context.on_answer):
        RunnerScene(context.servers, [LOOKUP], context.dialect).run(scene)


@then("both are answered as failed before their deadline, and the second ran once")
def step_failed(context):
    assert all(isinstance(outcome, Failed) for outcome, _ in context.outcomes), context.outcomes
    assert all(at < DEADLINE_MS for _, at in context.outcomes), context.outcomes
    assert sum(server.runs.count(IDS[1]) for server in context.servers) == 1


@then("no request counts as in flight at the servers")
def step_none_in_flight(context):
    assert context.in_flight == [0, 0], context.in_flight
