from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from functools import partial
from random import Random

import trio
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch.core.forwarding.outcome import Answered, Failed, NotRun
from alderhatch.http.connection import HttpConnection
from features.support.forward_model import single_route
from features.support.platform_tier import ZONES, PlatformTier
from features.support.scripted_servers import (
    LOOPBACK,
    Cut,
    RunnerScene,
    ScriptedServer,
    reply_bytes,
)
from features.support.tier import until

ORDERS = single_route("kitchen", idempotent=False)
LOOKUPS = single_route("kitchen")
NOT_EXECUTED = (b"Not-Executed", b"1")
STATUSES = {"a 503": 503, "a 429": 429, "a 421": 421}


def refusal(status, request_id):
    return reply_bytes(status, request_id, fields=[NOT_EXECUTED])


def success(server, request_id):
    server.runs.append(request_id)
    return reply_bytes(200, request_id, b"seal", b"towels")


def repeating_script(status, id_of_refusal):
    """Return a script that refuses a request once, and sends the refusal again later."""

    def script(server, request_id, sent):
        copy = b"".join(sent)
        sent.clear()
        if server.arrivals.count(request_id) > 1:
            return copy + success(server, request_id)
        sent.append(refusal(status, id_of_refusal(server, request_id)))
        return copy + sent[0]

    return script


def brief_refusal(request_id):
    """A refusal that lets the server be queried again at once."""
    return reply_bytes(503, request_id, fields=[NOT_EXECUTED, (b"Retry-After", b"0.001")])


def always_refusing_script(server, request_id, sent):
    """Refuse the first request each time, and send the last refusal of the connection again."""
    copy = b"".join(sent)
    sent.clear()
    if request_id == "r0":
        sent.append(brief_refusal(None))
        return copy + sent[0]
    return copy + success(server, request_id)


def holding_script(refusals):
    """Return a script that refuses the first request, and later repeats that before it runs it."""

    def script(server, request_id, sent):
        if request_id in sent:
            return brief_refusal(request_id) + success(server, request_id)
        if request_id == "r0" and len(server.arrivals) <= refusals:
            sent.append(request_id)
            return brief_refusal(request_id)
        return success(server, request_id)

    return script


def id_for(text):
    match text:
        case "with the ID":
            return lambda server, request_id: request_id
        case "without an ID":
            return lambda server, request_id: None
    raise AssertionError(text)


@given("2 servers that refuse each request once, with {what}, and send a copy of it later")
def step_servers(context, what):
    name = what[:5]
    script = repeating_script(STATUSES[name], id_for(what[6:]))
    context.servers = [ScriptedServer(f"i-{number}", "kitchen", script) for number in range(2)]


@given("2 servers that always refuse the first request, without an ID, and send a copy of it later")
def step_always_refusing(context):
    context.servers = [
        ScriptedServer(f"i-{number}", "kitchen", always_refusing_script) for number in range(2)
    ]


@given("2 servers that refuse a request, and send a copy of it when it comes again")
def step_holding(context):
    # A request is sent four times at most, so both servers refuse it each time.
    context.servers = [
        ScriptedServer(f"i-{number}", "kitchen", holding_script(4)) for number in range(2)
    ]


@given("a server that answers the first request with three of others, and then each one too late")
def step_out_of_step(context):
    def script(server, request_id, sent):
        if len(server.arrivals) == 1:
            sent.append(success(server, request_id))
            return b"".join(reply_bytes(200, f"x{number}", b"seal") for number in range(3))
        if not sent:
            return success(server, request_id)
        sent.append(success(server, request_id))
        return sent.pop(0)

    context.servers = [ScriptedServer("i-0", "kitchen", script)]


@when("3 unsafe requests are forwarded to it one after another")
def step_forward_three(context):
    context.outcomes = run_orders(context.servers, 3)


@then("the first is reported as failed, and the others are answered")
def step_others_answered(context):
    kinds = [type(context.outcomes[f"r{number}"]) for number in range(3)]
    assert kinds == [Failed, Answered, Answered], context.outcomes


@given("a connection to a server")
def step_connection(context):
    ends = socket.socketpair()
    for end in ends:
        context.add_cleanup(end.close)
    context.stream = ends[0]


@when("the server refuses {count:d} requests on it")
def step_refused(context, count):
    async def record():
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(context.stream))
        conn = HttpConnection(stream, "server")
        for number in range(count):
            conn.record_refusal(f"r{number}")
        return conn

    context.conn = trio.run(record)
    context.refused = [f"r{number}" for number in range(count)]


@then("it carries none of them again, and {other} other request")
def step_carries(context, other):
    conn = context.conn
    for is_idempotent in (True, False):
        assert not any(conn.can_tell_reply(one, is_idempotent) for one in context.refused)
        can_carry = conn.usable and conn.can_tell_reply("another", is_idempotent)
        assert can_carry is (other == "any")


@when("an unsafe request is refused, {count:d} others are answered, and it is forwarded again")
def step_forward_again(context, count):
    outcomes = context.outcomes = {}

    async def scene(runner_scene):
        first = await runner_scene.forward(ORDERS, "r0", "POST", b"tray")
        assert isinstance(first, NotRun), first
        for number in range(1, count + 1):
            request_id = f"r{number}"
            outcomes[request_id] = await runner_scene.forward(ORDERS, request_id, "POST", b"tray")
        outcomes["r0"] = await runner_scene.forward(ORDERS, "r0", "POST", b"tray")

    RunnerScene(context.servers, [ORDERS]).run(scene)


def run_orders(servers, count):
    """Forward unsafe requests one after another and return their outcomes by ID."""
    outcomes = {}

    async def scene(runner_scene):
        for number in range(count):
            request_id = f"r{number}"
            outcomes[request_id] = await runner_scene.forward(ORDERS, request_id, "POST", b"tray")

    RunnerScene(servers, [ORDERS]).run(scene)
    return outcomes


def check_orders(servers, outcomes):
    runs = Counter(request_id for server in servers for request_id in server.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    assert not twice, twice
    denied = [one for one, outcome in outcomes.items() if isinstance(outcome, NotRun) and runs[one]]
    assert not denied, denied


@when("{count:d} unsafe requests are forwarded to them")
def step_forward(context, count):
    context.outcomes = run_orders(context.servers, count)


@then("each of them ran at most once, and none that ran is reported as not run")
def step_once(context):
    check_orders(context.servers, context.outcomes)


@then("{count:d} of them ran and were answered")
def step_answered(context, count):
    others = [one for one in context.outcomes.values() if not isinstance(one, Answered)]
    assert len(context.outcomes) - len(others) == count, others[:10]
    assert sum(len(server.runs) for server in context.servers) == count


ACTION = st.tuples(
    st.sampled_from(["refuse", "refuse without ID", "moved", "fail", "succeed"]),
    st.booleans(),
)
"""What a server does with a request, and whether it first repeats its previous answer."""


def act(server, request_id, action):
    """Do with a request what an action says, and return the answer."""
    match action:
        case "refuse":
            return refusal(503, request_id)
        case "refuse without ID":
            return refusal(503, None)
        case "moved":
            return refusal(421, request_id)
        case "fail":
            server.runs.append(request_id)
            return reply_bytes(500, request_id)
        case "succeed":
            return named_success(server, request_id)
    raise AssertionError(action)


def acting_script(actions):
    """Return a script that takes its actions in turn, and then only succeeds."""
    queue = list(actions)

    def script(server, request_id, sent):
        action, repeats = queue.pop(0) if queue else ("succeed", False)
        copy = b"".join(sent[-1:]) if repeats else b""
        data = act(server, request_id, action)
        # What is repeated is one answer, not the copies before it.
        sent.append(data)
        return copy + data

    return script


@then("no series of refusals, failures, answers and late copies lets an unsafe request run twice")
def step_any_series(context):
    @seed(50)
    @settings(max_examples=60, deadline=None, database=None)
    @generated(st.lists(st.lists(ACTION, max_size=10), min_size=2, max_size=2))
    def check(series):
        servers = [
            ScriptedServer(f"i-{number}", "kitchen", acting_script(actions))
            for number, actions in enumerate(series)
        ]
        check_orders(servers, run_orders(servers, 5))

    check()


SHARED_ACTION = st.tuples(
    st.sampled_from(
        ["succeed"] * 4
        + ["refuse", "refuse without ID", "moved", "fail", "cut", "cut short", "blank"]
    ),
    st.none() | st.integers(0, 40),
)
"""What a server does with a request, and how many answers ago on the connection was the one that it
sends first once more, if any."""


def shared_script(actions):
    """Return a script that takes its actions in turn, and then only succeeds."""
    queue = list(actions)

    def script(server, request_id, sent):
        action, age = queue.pop(0) if queue else ("succeed", None)
        copy = sent[-1 - age % len(sent)] if age is not None and sent else b""
        match action:
            case "cut":
                return Cut(copy)
            case "cut short":
                return Cut(copy + named_success(server, request_id)[:-3])
            case "blank":
                return copy + b" " * len(named_success(server, request_id))
        data = act(server, request_id, action)
        sent.append(data)
        return copy + data

    return script


def named_success(server, request_id):
    """Run a request; its body names it."""
    server.runs.append(request_id)
    return reply_bytes(200, request_id, b"seal", f"towels for {request_id}".encode())


async def send_until_run(runner_scene, route, request_id, outcomes):
    """Forward a request, and once more if it was refused, as another host would."""
    for _ in range(2):
        outcome = await runner_scene.forward(route, request_id, "POST", b"tray", timeout=400.0)
        outcomes[request_id] = outcome
        if not isinstance(outcome, NotRun):
            return


def run_beside_each_other(servers, pairs):
    """Forward requests in pairs, an unsafe one and another; return their outcomes by ID."""
    outcomes = {}

    async def scene(runner_scene):
        for number in range(pairs):
            async with trio.open_nursery() as nursery:
                for route, name in ((ORDERS, f"order-{number}"), (LOOKUPS, f"lookup-{number}")):
                    nursery.start_soon(send_until_run, runner_scene, route, name, outcomes)

    RunnerScene(servers, [ORDERS, LOOKUPS]).run(scene)
    return outcomes


def check_bodies(outcomes):
    for request_id, outcome in outcomes.items():
        if isinstance(outcome, Answered):
            (reply,) = outcome.parts.values()
            assert reply.body == f"towels for {request_id}".encode(), (request_id, reply)


@then("in no series of answers, cuts, blanks and copies is a request answered wrongly or run twice")
def step_shared_series(context):
    @seed(53)
    @settings(max_examples=60, deadline=None, database=None)
    @generated(st.lists(st.lists(SHARED_ACTION, max_size=16), min_size=2, max_size=2))
    def check(series):
        servers = [
            ScriptedServer(f"i-{number}", "kitchen", shared_script(actions))
            for number, actions in enumerate(series)
        ]
        outcomes = run_beside_each_other(servers, 6)
        check_bodies(outcomes)
        orders = {name: one for name, one in outcomes.items() if name.startswith("order")}
        for server in servers:
            server.runs = [name for name in server.runs if name in orders]
        check_orders(servers, orders)

    check()


ACTIONS = ["succeed"] * 12 + ["refuse", "refuse without ID", "moved", "fail", "cut", "blank"]
PROMISES = (408, 421, 429, 503)


class ListedServer(ScriptedServer):
    """A scripted server that the platform lists."""

    def entry(self):
        return {
            "service": self.upstream,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": 4,
            "state": "ready",
            "warmup-left-ms": 0,
            "instance-id": self.server_id,
        }


@given("4 hosts before 2 servers that act at random, with seed {number:d}")
def step_hosts(context, number):
    rng = Random(number)
    tier = context.tier = PlatformTier(context)
    context.servers = []
    for index in range(2):
        actions = [
            (rng.choice(ACTIONS), rng.choice([None, None, rng.randrange(40)])) for _ in range(600)
        ]
        server = ListedServer(f"i-kitchen-{index}", "kitchen", shared_script(actions))
        server.zone = ZONES[index]
        tier.loop.call(partial(tier.loop.nursery.start, server.serve))
        tier.servers[server.server_id] = server
        context.servers.append(server)
    tier.add_servers("shard")
    tier.start()
    tier.put(tier.configuration(["shard"]))
    for index in tier.running():
        until(lambda index=index: tier.is_ready(index), f"node {index} is ready")


@when("4 callers send {count:d} orders each")
def step_callers(context, count):
    tier = context.tier
    context.answers = {}

    def send_all(caller):
        for number in range(count):
            request_id = f"order-{caller}-{number:03}"
            answer = tier.ask(caller, "/orders/new", request_id, "POST", b"tray", timeout=9.0)
            context.answers[request_id] = answer
            if answer is not None and "retry-after" in answer.headers:
                time.sleep(float(answer.headers["retry-after"]))

    threads = [threading.Thread(target=send_all, args=(caller,)) for caller in tier.running()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("no order ran twice, ran and was refused, or was answered with another one's answer")
def step_no_order_wrong(context):
    runs = Counter(request_id for server in context.servers for request_id in server.runs)
    for request_id, answer in context.answers.items():
        assert runs[request_id] <= 1, (request_id, runs[request_id])
        if answer is not None and answer.status in PROMISES:
            assert runs[request_id] == 0, (request_id, answer)
        if answer is not None and answer.status == 200:
            assert answer.body == f"towels for {request_id}".encode(), (request_id, answer)


@then("at least {count:d} of them were answered, so that much was at stake")
def step_many_answered(context, count):
    statuses = Counter(answer and answer.status for answer in context.answers.values())
    assert statuses[200] >= count, statuses
