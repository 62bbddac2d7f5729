from __future__ import annotations

import signal
import subprocess
import textwrap
import time
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import Mock

import orjson
import trio
from behave import given, then, when
from trio.testing import MockClock

from alderhatch import task_faults
from alderhatch.core.entry_events import AttemptFault
from alderhatch.core.forwarding.effects import Finish, Send
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.outcome import Answered, Failed, NotRun
from alderhatch.core.forwarding.parts_bundle import PartsBundle
from alderhatch.core.forwarding.route import AllShards
from alderhatch.core.forwarding.run_limits import RunTimes
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.forwarding.stop_plan import plan_stop
from alderhatch.errors import AlderhatchError
from alderhatch.node.gather_messages import PartsRequest
from alderhatch.node.gather_server import GatherServer
from alderhatch.node.hand_over_messages import to_fields
from alderhatch.node.node import Node
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.task_faults import TaskKind
from features.support import identified_hosts
from features.support.forward_model import ForwardModel, scatter_route
from features.support.identified_hosts import ORGANISATIONS, IdentifiedHost, request
from features.support.platform_tier import HOST, PlatformTier
from features.support.tier import until

SHARDS = ("shard-0", "shard-1", "shard-2")
SILENT_S = 60.0
ASK_AFTER_S = 3.5
"""Later than the first 3 s, whose requests the platform may forgive."""
DEADLINE_MS = 20_000
RECHECK_S = 0.005


def configuration(tier):
    tier.version += 1
    route = {
        "host": HOST,
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 15_000,
        "max-attempts": 2,
        "priority": 1,
    }
    single = route | {"service": "reads"}
    gather = route | {"gather": SHARDS, "top-k": 4, "route-type": "safe"}
    routes = [
        single | {"name": "reads", "path-prefix": "/reads/", "route-type": "safe"},
        single | {"name": "orders", "path-prefix": "/orders/", "route-type": "unsafe"},
        gather | {"name": "all", "path-prefix": "/all/", "min-coverage": 1.0},
        gather | {"name": "most", "path-prefix": "/most/", "min-coverage": 0.5},
    ]
    services = [{"name": name, "max-connections": 28} for name in (*SHARDS, "reads")]
    return orjson.dumps({"version": tier.version, "routes": routes, "services": services})


def start_tier(context, environment=None):
    tier = context.platform = PlatformTier(context, 3, 1)
    tier.extra_settings = ["bounds.grace-s=6"]
    tier.sources = environment
    for name in (*SHARDS, "reads"):
        tier.add_servers(name)
    tier.start()
    tier.put(configuration(tier))
    tier.first_start = False
    for index in tier.running():
        until(partial(tier.is_ready, index), f"node {index} is ready")
    return tier


class KeptConnection:
    """A caller's connection that has carried one request."""

    def __init__(self, tier, path, method):
        self._path = path
        self._method = method
        self._conn = HTTPConnection(tier.addresses[0], tier.ports[0], timeout=10.0)
        self.answer = None
        """The status, and whether parts are missing; or how the connection ended."""
        self.ask("warm")
        assert self.answer == "200", (path, self.answer)

    def ask(self, name):
        self.send(name)
        self.read()

    def send(self, name):
        request_id = f"{name}{self._path.replace('/', '')}"
        headers = {"Host": HOST, "Attempt-Id": request_id, "Time-Budget-Ms": str(DEADLINE_MS)}
        body = b"towels" if self._method == "POST" else None
        self._conn.request(self._method, self._path + "7", body, headers)

    def read(self):
        try:
            answer = self._conn.getresponse()
            answer.read()
        except (OSError, HTTPException) as exc:
            self.answer = repr(exc)
            return
        missing = int(answer.getheader("Missing-Parts", "0"))
        self.answer = f"{answer.status}, part" if missing else str(answer.status)

    def close(self):
        self._conn.close()


@given("a platform tier whose hosts have 6 s to stop, with kept connections to one of its hosts")
def step_tier(context):
    context.connections = {}
    tier = start_tier(context)
    for path, method in (("/reads/", "GET"), ("/orders/", "POST"), ("/all/", "GET")):
        context.connections[path] = KeptConnection(tier, path, method)
    context.connections["/most/"] = KeptConnection(tier, "/most/", "GET")
    for conn in context.connections.values():
        context.add_cleanup(conn.close)


def tell_to_stop(context):
    context.stopping = context.platform.processes.pop(0)
    context.add_cleanup(partial(end_process, context.stopping))
    context.stop_began = time.monotonic()
    context.stopping.send_signal(signal.SIGTERM)


def end_process(process):
    if process.poll() is None:
        process.kill()
        process.wait()


@when("that host is told to stop, its servers fall silent, and 3.5 s later the callers ask")
def step_stop_and_ask(context):
    tell_to_stop(context)
    for server in context.platform.servers.values():
        if server.upstream in ("reads", "shard-2"):
            server.delay = SILENT_S
    time.sleep(ASK_AFTER_S)
    for conn in context.connections.values():
        conn.send("late")
    for conn in context.connections.values():
        conn.read()


@then("their answers, which are whole, are")
def step_answers(context):
    seen = {path: conn.answer for path, conn in context.connections.items()}
    assert seen == {row["path"]: row["answer"] for row in context.table}, seen


@then("the stopping host ends by itself in time")
def step_ends_in_time(context):
    left = context.stop_began + 6.0 - time.monotonic()
    try:
        code = context.stopping.wait(timeout=left)
    except subprocess.TimeoutExpired:
        raise AssertionError("the process still runs when it is to be killed") from None
    assert code == 0, code


@then("the stopping host ends by itself in time, and logs that it cut no request")
def step_ends_cleanly(context):
    step_ends_in_time(context)
    lines = [orjson.loads(line) for line in context.platform.log_text(0).splitlines()]
    (stopped,) = [line["fields"] for line in lines if line["event"] == "node_stopped"]
    assert stopped["cut"] == 0, stopped
    assert stopped["may_have_run"] == 3, stopped
    steps = [line["fields"]["step"] for line in lines if line["event"] == "stop_step"]
    assert steps == ["begun", "accepting_ended", "answered_early", "writing_ended"], steps


@then("it logs that it did not wait for its threads")
def step_forced(context):
    assert "stop_forced" in context.platform.log_text(0)


# A disk that hangs


@given(
    "a platform tier whose hosts have 6 s to stop, and whose first host has a disk that can hang"
)
def step_hanging_disk(context):
    tier = PlatformTier(context, 3, 1)
    context.hang = tier.folder / "hang"
    patched = tier.folder / "patched"
    patched.mkdir()
    (patched / "sitecustomize.py").write_text(textwrap.dedent(f"""
            import os, time
            sync = os.fsync
            def slow_sync(fd):
                while os.path.exists({str(context.hang)!r}):
                    time.sleep({RECHECK_S})
                sync(fd)
            os.fsync = slow_sync
            """))
    source = Path(task_faults.__file__).parents[1]
    start_tier(context, f"{patched}:{source}")


@when("that host is told to stop, and its disk hangs during a change")
def step_hang(context):
    # All hosts write the change; the flag hangs the disks of all of them.
    context.hang.touch()
    operate = partial(context.platform.operate, 0, "PUT", configuration(context.platform))
    context.platform.loop.call(partial(_start_in_thread, context.platform.loop, operate))
    time.sleep(0.5)
    tell_to_stop(context)


async def _start_in_thread(loop, operate):
    loop.nursery.start_soon(partial(trio.to_thread.run_sync, operate, abandon_on_cancel=True))


# Requests that wait


class EndlessQuotas:
    """Never decides."""

    def __init__(self):
        self.given_back = 0

    async def admit(self, organisation, deadline):
        await trio.sleep_forever()


class EndlessHandOvers:
    """Hands requests over to a host that never answers."""

    async def hand_over(self, http, time_left, hosts, identity=None):
        await trio.sleep_forever()


def hand_over_everything(host):
    host.state.stands_by = True
    host.handler._hand_over_client = EndlessHandOvers()


@given("a host whose next request {waits}")
def step_waiting(context, waits):
    host = context.host = IdentifiedHost()
    host.handler._runner = SimpleNamespace(end_shares=lambda: None, end_all=lambda: None)
    host.handler._gathers = SimpleNamespace(end_all=lambda: None)
    context.waits = waits
    context.http = request("/private/7", ("Api-Key", "north-key"))
    host.configure(1, None if waits.startswith("is handed over and") else ORGANISATIONS)
    host.handler._quotas = EndlessQuotas()
    if waits.startswith("is handed over and"):
        hand_over_everything(host)


@when("the host ends its requests")
def step_end_requests(context):
    handler = context.host.handler

    async def ask():
        try:
            if context.waits.startswith("is handed over to it"):
                await handler.handle_handed_over(context.http, 1000.0, 99, None)
            else:
                await handler.handle(context.http)
        except AlderhatchError as exc:
            context.outcome = exc.failure.kind

    async def main():
        async with trio.open_nursery() as nursery:
            if context.waits != "arrives after the end":
                nursery.start_soon(ask)
                await trio.sleep(0.01)
            await handler.end_requests()
            if context.waits == "arrives after the end":
                nursery.start_soon(ask)

    trio.run(main, clock=MockClock(autojump_threshold=0))


@then("that request is answered {answer}")
def step_answered(context, answer):
    assert context.outcome == answer, context.outcome


# Shares of other hosts' gathers


ASKED = identified_hosts.SHARDS[:3]


class EndingCollector:
    """Gets some parts, and is then ended as the host ends."""

    def __init__(self, parts):
        self._parts = parts

    async def collect(self, req, run, report_times, on_parts):
        attempts = [one for one in run.start(run.times.arrived) if isinstance(one, Send)]
        for send in attempts[: self._parts]:
            run.on_answer(send.attempt, b"part", run.times.arrived + 1.0)
        run.end()
        shards = tuple(name for name, shard in run.shards.items() if shard.part is not None)
        on_parts(PartsBundle(shards, tuple(b"s" for _ in shards), b""))


@given("a host that queries a share of another host's gather, of which {in_hand}")
def step_share(context, in_hand):
    host = context.host = IdentifiedHost()
    host.configure(1, None)
    records = [
        ServerRecord(f"i-{name}", name, "127.0.0.1", 1, "zone-0", 2, False) for name in ASKED
    ]
    host.state.apply_servers(records, ())
    context.collector = EndingCollector(3 if in_hand.startswith("all") else 1)


@when("the host ends its shares")
def step_end_share(context):
    host = context.host
    server = GatherServer(host.state, context.collector, PlatformDialect(), Mock(), Mock())
    http = request("/gather/7")
    parts_req = PartsRequest(
        1, "GET", http.target, to_fields(http.fields), b"", 900.0, 100.0, list(ASKED)
    )
    parts = []

    async def main():
        try:
            await server.answer(parts_req, None, lambda news: parts.extend(news.shards))
            context.told = "ended"
        except AlderhatchError as exc:
            context.told = f"refused: {exc.failure.kind}"

    trio.run(main, clock=MockClock(autojump_threshold=0))
    context.told = f"{'one part' if len(parts) == 1 else 'three parts'}, {context.told}"


@then("the other host is told {told}")
def step_told(context, told):
    assert context.told == told, context.told


# The steps of a stop


@given("a host that leads and fails when it hands over the leadership")
def step_failing_transfer(context):
    def fail():
        raise ValueError("a mistake in this step")

    log = SimpleNamespace(is_leader=True, transfer_leadership=fail)
    context.node = Mock(member=SimpleNamespace(log=log))
    context.faults = task_faults.counts[TaskKind.BACKGROUND]


@when("it hands over the leadership")
def step_transfer(context):
    trio.run(Node._transfer_leadership, context.node)


@then("the error is counted and ends nothing else")
def step_counted(context):
    assert task_faults.counts[TaskKind.BACKGROUND] == context.faults + 1


@then(
    "a stop of {span:g} ms whose loop is late by {late:g} ms answers by {answers:d}, "
    "writes until {ends:d} and is gone by {gone:d}"
)
def step_moments(context, span, late, answers, ends, gone):
    plan = plan_stop(100.0, span, late)
    moments = [int(one - 100.0 + 0.01) for one in (plan.answers_by, plan.ends_at, plan.gone_by)]
    assert moments == [answers, ends, gone], plan
    assert plan.answers_by >= 100.0 + span * 5 / 6 - 0.01, plan


# A run that ends with its host


@given("a run over {shards:d} shards that needs {coverage:g} of them")
def step_run(context, shards, coverage):
    model = ForwardModel()
    names = [f"shard{number:02}" for number in range(shards)]
    for name in names:
        model.add_upstream(name, 20.0, 1)
    route = scatter_route(names, destination=AllShards(tuple(names), 10, coverage))
    context.run = ForwardRun(route, tuple(names), RunTimes(0.0, 5000.0, 8000.0), model.tables[0])
    context.sent = [one for one in context.run.start(0.0) if isinstance(one, Send)]
    assert len(context.sent) == shards


@when("it is ended after {events}")
def step_end_run(context, events):
    run = context.run
    match events:
        case "a refusal by all":
            for send in context.sent:
                run.on_fault(send.attempt, AttemptFault.SHED, None, 1.0)
        case "one part":
            run.on_answer(context.sent[0].attempt, b"part", 1.0)
        case "no event":
            pass
        case _:
            raise AssertionError(events)
    (context.finish,) = [one for one in run.end() if isinstance(one, Finish)]


@then("no attempt of it that still waits for a connection is sent")
def step_nothing_sent(context):
    assert not any(context.run.may_send(one.attempt) for one in context.sent)


@then("the outcome at the end is {outcome}")
def step_outcome(context, outcome):
    match context.finish.outcome:
        case Answered(_, missing):
            seen = f"answered, {missing} missing"
        case NotRun():
            seen = "not run"
        case Failed(reason):
            seen = f"failed, {reason}"
    assert seen == outcome, seen
