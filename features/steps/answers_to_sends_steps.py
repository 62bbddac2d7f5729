from __future__ import annotations

from collections import Counter

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch.core.forwarding.outcome import Answered, NotRun
from features.support.forward_model import single_route
from features.support.scripted_servers import RunnerScene, ScriptedServer, reply_bytes

ORDERS = single_route("kitchen", idempotent=False)
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
    answered = [one for one in context.outcomes.values() if isinstance(one, Answered)]
    assert len(answered) == count, context.outcomes
    assert sum(len(server.runs) for server in context.servers) == count


ACTION = st.tuples(
    st.sampled_from(["refuse", "refuse without ID", "moved", "fail", "succeed"]),
    st.booleans(),
)
"""What a server does with a request, and whether it first repeats its previous answer."""


def acting_script(actions):
    """Return a script that takes its actions in turn, and then only succeeds."""
    queue = list(actions)

    def script(server, request_id, sent):
        action, repeats = queue.pop(0) if queue else ("succeed", False)
        copy = b"".join(sent[-1:]) if repeats else b""
        match action:
            case "refuse":
                data = refusal(503, request_id)
            case "refuse without ID":
                data = refusal(503, None)
            case "moved":
                data = refusal(421, request_id)
            case "fail":
                server.runs.append(request_id)
                data = reply_bytes(500, request_id)
            case "succeed":
                data = success(server, request_id)
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
