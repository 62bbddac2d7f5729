from __future__ import annotations

from functools import partial
from unittest.mock import patch

from behave import given, then, when

from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.outcome import Answered, Failed
from alderhatch.core.forwarding.route import AllShards
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.platform.dialect import PlatformDialect
from features.support.forward_model import scatter_route, single_route
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


class PartlyUnreadyDialect(PlatformDialect):
    """Raises an error that nobody expects for the answers of one server."""

    def read_answer(self, req, reply, is_part=False):
        if reply.header(b"server-seal") == b"i-0":
            raise OverflowError("int too large to convert to float")
        return super().read_answer(req, reply, is_part)


def naming_script(server, request_id, sent):
    server.runs.append(request_id)
    return reply_bytes(200, request_id, server.server_id.encode())


@given('2 servers of "kitchen", and the answers of the first raise an error in the host')
def step_one_unreadable(context):
    context.servers = [
        ScriptedServer(f"i-{number}", "kitchen", naming_script) for number in range(2)
    ]


@when("{count:d} idempotent requests are forwarded to them")
def step_forward_lookups(context, count):
    context.replies = []

    async def scene(runner_scene):
        for number in range(count):
            outcome = await runner_scene.forward(LOOKUP, f"r{number}", timeout=DEADLINE_MS)
            context.replies += outcome.parts.values() if isinstance(outcome, Answered) else [None]

    RunnerScene(context.servers, [LOOKUP], PartlyUnreadyDialect()).run(scene)


@then("all of them are answered by the second one")
def step_second(context):
    assert [one and one.header(b"server-seal") for one in context.replies] == [b"i-1"] * 4


@given('2 servers of "kitchen" that run each request and answer it with {status:d}')
def step_status(context, status):
    def failing_script(server, request_id, sent):
        server.runs.append(request_id)
        return reply_bytes(status, request_id, b"seal", b"busy")

    step_unreadable(context)
    context.dialect = PlatformDialect()
    context.servers = [
        ScriptedServer(f"i-{number}", "kitchen", failing_script) for number in range(2)
    ]


@then("their callers get 502 without a signature, and the second ran once")
def step_no_promise(context):
    for (outcome, _), route in zip(context.outcomes, (LOOKUP, ORDER), strict=True):
        response = context.dialect.response(route, outcome)
        assert response.status == 502, (outcome, response)
        assert b"server-seal" not in [name for name, _ in response.fields], response
    assert sum(server.runs.count(IDS[1]) for server in context.servers) == 1


SPOILT_SHARD = "s3"
SEAL = b"spoilt"


def spoilt_answer(what, request_id):
    body = b"r" * 16
    match what:
        case "404 and a signature" | "302 and a signature" | "429 and a signature":
            return reply_bytes(int(what[:3]), request_id, SEAL, body)
        case "a blank signature":
            return reply_bytes(200, request_id, b"  ", body)
        case "two signatures":
            return reply_bytes(200, request_id, SEAL, body, [(b"Server-Seal", SEAL)])
        case "no ID":
            return reply_bytes(200, None, SEAL, body)
        case "the ID of another request":
            return reply_bytes(200, "another", SEAL, body)
        case "two IDs":
            return reply_bytes(200, request_id, SEAL, body, [(b"Attempt-Id", b"another")])
        case "a signature and no success":
            return reply_bytes(500, request_id, SEAL, body)
    raise AssertionError(what)


@given("8 shards, one of which answers with {what}")
def step_shards(context, what):
    def shard_script(server, request_id, sent):
        if server.upstream == SPOILT_SHARD:
            return spoilt_answer(what, request_id)
        return reply_bytes(200, request_id, server.server_id.encode(), b"r" * 16)

    context.servers = [
        ScriptedServer(f"i-s{number}", f"s{number}", shard_script) for number in range(8)
    ]


@when("a gather with a minimum coverage of {coverage:f} is forwarded to them")
def step_gather(context, coverage):
    shards = tuple(server.upstream for server in context.servers)
    route = scatter_route(shards, destination=AllShards(shards, 10, coverage))

    async def scene(runner_scene):
        outcome = await runner_scene.forward(route, "r0", timeout=600.0)
        context.response = PlatformDialect().response(route, outcome)

    RunnerScene(context.servers, [route]).run(scene)


@then("the merged answer names the signatures of the other 7")
def step_other_parts(context):
    fields = dict(context.response.fields)
    named = sorted(fields[b"part-seals"].split(b", "))
    others = [one.server_id.encode() for one in context.servers if one.upstream != SPOILT_SHARD]
    assert named == others, context.response
    assert fields[b"missing-parts"] == b"1"


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
