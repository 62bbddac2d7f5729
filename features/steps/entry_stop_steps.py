from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
import trio
from behave import given, then, when

from alderhatch.entry.app import planned_stop
from alderhatch.entry.operator_handler import OperatorHandler
from alderhatch.errors import AlderhatchError
from alderhatch.http.client import http_once
from alderhatch.http.exchange import HttpExchangeError
from alderhatch.http.messages import HttpRequest
from features.entry_world import LOOPBACK, world

ROOT = Path(__file__).resolve().parents[2]
MIN_TTL_LEFT_S = 1.0
"""Minimum time to live that a cached address of the entry has left when its stop starts."""
PROGRAM = """
import json, sys, trio
from alderhatch.entry.app import run_entry
from alderhatch.log import set_up_logs
from alderhatch.settings.models import EntrySettings
set_up_logs("alderhatch-entry")
trio.run(run_entry, EntrySettings.model_validate(json.loads(sys.argv[1])))
"""
PROGRAM_QUERY = orjson.dumps(
    {
        "request_id": "program-1",
        "caller": "tests",
        "kind": "route",
        "upstream": "navigator",
        "query": {},
    }
)


@given("callers keep the entries' addresses for {ttl:d} ms")
def step_address_ttl(context, ttl):
    world(context).settings["address_ttl_ms"] = ttl


@given("callers request the entries' addresses and send queries to them continuously")
def step_callers(context):
    harness = world(context)

    async def caller(number, counts, stop):
        """Cache the addresses for their time to live, as the caller API requires."""
        ports, expires_at = [harness.entries[number % 2].port], 0.0
        while not stop.is_set():
            if trio.current_time() >= expires_at:
                try:
                    reply = await http_once(LOOPBACK, ports[0], "GET", "/addresses?zone=waco-hall")
                except HttpExchangeError as exc:
                    counts["errors"].append((ports[0], str(exc)))
                    return
                answer = orjson.loads(reply.body)
                ports = [row["port"] for row in answer["addresses"]]
                expires_at = trio.current_time() + answer["ttl_ms"] / 1000
            port = ports[number % len(ports)]
            counts["kept"][port] = max(expires_at, counts["kept"].get(port, 0.0))
            entry = next(
                index for index, candidate in enumerate(harness.entries) if candidate.port == port
            )
            try:
                status, body = await harness.query(entry)
            except HttpExchangeError as exc:
                counts["errors"].append((entry, str(exc)))
                continue
            counts["answered"] += 1
            if status != 200 or harness.check(body) is not None:
                counts["errors"].append((entry, body))

    async def start():
        context.caller_counts = {"answered": 0, "errors": [], "kept": {}}
        context.callers_stop = trio.Event()
        for number in range(6):
            harness.spawn(caller, number, context.caller_counts, context.callers_stop)

    harness.call(start)


@when("entry {number:d} makes a planned stop while at least {count:d} queries are sent")
def step_stop_under_load(context, number, count):
    harness = world(context)
    entry = harness.entries[number - 1]

    async def stop():
        await harness.until(lambda: context.caller_counts["answered"] >= count)
        # If the cached addresses were about to expire, all callers could switch to the other entry
        # before they sent another query, and the stop would have no query to interrupt.
        expiry_by_port = context.caller_counts["kept"]
        await harness.until(
            lambda: expiry_by_port.get(entry.port, 0.0) > trio.current_time() + MIN_TTL_LEFT_S
        )
        shards_before = entry.core.shard_requests_needed
        await harness.stop_entry(number - 1)
        context.shards_since_stop = entry.core.shard_requests_needed - shards_before
        target = context.caller_counts["answered"] + count
        await harness.until(lambda: context.caller_counts["answered"] >= target)
        context.callers_stop.set()

    harness.call(stop)


@then("no caller of the entries saw an error or a broken connection")
def step_no_errors(context):
    assert context.caller_counts["errors"] == [], context.caller_counts


@then("entry {number:d} ran queries after its stop had started")
def step_ran_since(context, number):
    assert context.shards_since_stop > 0


@when("the entry gets a query and makes a planned stop once the query has reached the upstream")
def step_stop_with_query(context):
    harness = world(context)
    context.event_order = []

    async def stop():
        await harness.until(
            lambda: all(server.counts.received for server in harness.upstream.servers)
        )
        await harness.stop_entry(0)
        context.event_order.append("ended")

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            reply = await harness.query()
            context.event_order.append("answered")
        return [reply]

    context.entry_replies = harness.call(run)


@then("the entry had ended after its last answer")
def step_event_order(context):
    assert context.event_order == ["answered", "ended"], context.event_order


@when("the entry drains with a query in flight and gets another one")
def step_late_query(context):
    harness = world(context)
    replies = []

    async def first():
        replies.append(await harness.query())

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await harness.until(
                lambda: all(server.counts.received for server in harness.upstream.servers)
            )
            nursery.start_soon(planned_stop, harness.entries[0])
            await harness.until(lambda: harness.entries[0].callers.closing)
            context.late_reply = await harness.query(request_id="late-1")
        return replies

    context.entry_replies = harness.call(run)


@then('the later query was refused by the entry with "{error}" and "{ran}" and "{resend}"')
def step_late_refused(context, error, ran, resend):
    status, answer = context.late_reply
    assert status == 503, answer
    assert (answer["error"], answer["ran"], answer["resend"]) == (error, ran, resend), answer


@when("the entry's program runs with a rules file and receives {signals}")
def step_program(context, signals):
    harness = world(context)
    with tempfile.TemporaryDirectory() as folder:
        rules = Path(folder) / "rules.toml"
        rules.write_text('[[rule]]\nname = "from-file"\nthen = {coverage = 1.0}\n')
        harness.call(_run_program, context, harness, rules, signals.split())


def _program_settings(harness, rules, address_ttl_ms):
    seed = {"address": LOOPBACK, "port": harness.upstream.servers[0].port}
    return {
        "name": "entry-1",
        "zone": "austin-hall",
        "callers": {"address": LOOPBACK, "port": 0},
        "operators": {"address": LOOPBACK, "port": 0},
        "rules_file": str(rules),
        "upstreams": [{"name": "navigator", "seeds": [seed]}],
        "address_ttl_ms": address_ttl_ms,
    }


async def _open_program(cfg):
    return await trio.lowlevel.open_process(
        [sys.executable, "-c", PROGRAM, json.dumps(cfg)],
        stderr=subprocess.PIPE,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
    )


async def _events_of(process):
    """Yield the events that a program logs until it ends."""
    log = b""
    while data := await process.stderr.receive_some():
        log += data
        *lines, log = log.split(b"\n")
        for line in lines:
            yield json.loads(line)


async def _run_program(context, harness, rules, signals):
    stop_twice = len(signals) > 1
    cfg = _program_settings(harness, rules, 60_000 if stop_twice else 100)
    process = await _open_program(cfg)
    context.program_events = []
    context.program_answer = None
    async for event in _events_of(process):
        context.program_events.append(event["event"])
        if event["event"] == "entry_started":
            port = event["fields"]["port"]
            reply = await http_once(LOOPBACK, port, "POST", "/query", PROGRAM_QUERY)
            context.program_answer = orjson.loads(reply.body)
            process.send_signal(getattr(signal, signals[0]))
        if event["event"] == "entry_stopping" and stop_twice:
            process.send_signal(getattr(signal, signals[0]))
    context.program_code = await process.wait()


@then('the entry\'s program ended with exit code {code:d} and the event "{event}"')
def step_program_ended(context, code, event):
    assert context.program_code == code, (context.program_code, context.program_events)
    assert context.program_events[-1] == event, context.program_events


@then('the entry\'s program answered a query by the rule "{rule}" before')
def step_program_answered(context, rule):
    assert context.program_answer["rule"] == rule, context.program_answer
    assert context.program_answer["coverage"] == 1


@given("the entry runs with its operator endpoints")
def step_operators(context):
    harness = world(context)
    harness.call(harness.start_entry)
    context.operator_handler = OperatorHandler(harness.entries[0])


def _get(context, path):
    async def get():
        try:
            return await context.operator_handler.handle(HttpRequest("GET", path, {}, {}, b""))
        except AlderhatchError as exc:
            return exc.failure

    return world(context).call(get)


@when("an operator reads metrics, readiness and dump of the entry")
def step_read(context):
    context.operator_pages = {path: _get(context, path) for path in ("/metrics", "/ready", "/dump")}


@then("the entry's metrics count {count:d} answered requests")
def step_metrics(context, count):
    page = context.operator_pages["/metrics"]
    assert page.content_type.startswith("text/plain")
    lines = [line for line in page.body.decode().splitlines() if "requests_total" in line]
    counted = [line for line in lines if 'outcome="answered"' in line and 'rule="only"' in line]
    assert len(counted) == 1 and float(counted[0].rsplit(" ", 1)[1]) == count, lines


@then("the entry is ready")
def step_ready(context):
    assert context.operator_pages["/ready"].status == 200


@then("the entry's dump names its upstream, snapshot and servers")
def step_dump(context):
    dump = orjson.loads(context.operator_pages["/dump"].body)
    (line,) = dump["maps"]
    assert line["upstream"] == "navigator" and line["snapshot"] == {"version": 1, "epoch": 1}
    assert [row["server"] for row in dump["servers"]] == ["navigator-00-0", "navigator-01-0"]
    assert dump["core"]["running"] == 0


@then("after the stop has started the entry is not ready")
def step_not_ready(context):
    world(context).entries[0].request_stop()
    assert _get(context, "/ready").status == 503


@given("a stop of an entry waits for requests up to {duration_ms:d} ms")
def step_drain_time(context, duration_ms):
    harness = world(context)
    # Without a longer progress timeout, the requests would end before the stop does.
    harness.settings |= {"drain_ms": duration_ms, "progress_timeout_ms": 60_000}
    harness.rule["deadline_ms"] = 60_000


def _was_reached(harness):
    return any(server.counts.received for server in harness.upstream.servers)


def _stop_while(context, send, is_running, entry):
    """Stop an entry while requests run; return their replies and what happened in which order."""
    harness = world(context)
    events = []

    async def ask():
        replies = await send()
        events.append("answered")
        return replies

    async def run():
        results = []

        async def keep_result():
            results.append(await ask())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_result)
            await harness.until(is_running)
            await harness.stop_entry(entry())
            events.append("ended")
        return results[0]

    return harness.call(run), events


@when("the entry runs a {request} and ends by a planned stop")
def step_stop_with_request(context, request):
    harness = world(context)
    paths = {"query": "/query", "booking": "/run"}

    async def send():
        return await harness.query(path=paths[request], request_id="long-1", key="long-1")

    context.stop_reply, context.stop_events = _stop_while(
        context, send, lambda: _was_reached(harness), lambda: 0
    )


@then('the {request} got an answer with "{error}" and "{ran}" before the entry ended')
def step_request_answered(context, request, error, ran):
    _, answer = context.stop_reply
    assert (answer["error"], answer["ran"]) == (error, ran), answer
    assert context.stop_events == ["answered", "ended"], context.stop_events


@when("the entry runs as many queries as it admits and one more, and ends by a planned stop")
def step_stop_with_queue(context):
    harness = world(context)
    core = harness.entries[0].core

    async def send():
        await harness.until(lambda: harness.entries[0].known_servers())
        slots = sum(server.slots for server in harness.entries[0].known_servers())
        return await harness.queries_at_once(slots + 1)

    context.stop_reply, _ = _stop_while(
        context, send, lambda: _was_reached(harness) and core.running > 4, lambda: 0
    )


@then("each query got an answer, and the one that waited was refused with" ' "{error}" and "{ran}"')
def step_queue_answered(context, error, ran):
    answers = [(answer["error"], answer["ran"]) for _, answer in context.stop_reply]
    assert answers.count((error, ran)) == 1, answers
    assert ("coverage_too_low", "ran") in answers, answers
    # Those that were admitted and found no free connection to the server.
    others = {answer for answer in answers if answer[0] not in (error, "coverage_too_low")}
    assert others <= {("upstream_refused", "not_run")}, answers


@when(
    'the booking "{booking}" has reached the upstream through an owner'
    " that then ends by a planned stop"
)
def step_owner_stops(context, booking):
    harness = world(context)
    requester = next(
        index
        for index, entry in enumerate(harness.entries)
        if not any(entry.pool.share_of(one.server_id) for one in entry.known_servers())
    )

    async def send():
        return await harness.query(requester, "/run", request_id=booking, key=booking)

    def owner():
        return next(
            index for index, entry in enumerate(harness.entries) if entry.running_for_others
        )

    context.stop_reply, context.stop_events = _stop_while(
        context, send, lambda: harness.upstream.runs, owner
    )


@then('the entry answered the booking with "{error}" and "{ran}" before its owner ended')
def step_booking_answered(context, error, ran):
    step_request_answered(context, "booking", error, ran)


@when("the entry's program gets a second SIGTERM while it runs a query")
def step_second_signal(context):
    harness = world(context)
    with tempfile.TemporaryDirectory() as folder:
        rules = Path(folder) / "rules.toml"
        rules.write_text('[[rule]]\nname = "long"\nthen = {deadline_ms = 60000}\n')
        harness.call(_stop_program_twice, context, harness, rules)


async def _stop_program_twice(context, harness, rules):
    cfg = _program_settings(harness, rules, 60_000) | {"progress_timeout_ms": 60_000}
    process = await _open_program(cfg)
    replies = []

    async def ask(port):
        reply = await http_once(LOOPBACK, port, "POST", "/query", PROGRAM_QUERY, timeout=20_000)
        replies.append(orjson.loads(reply.body))

    async with trio.open_nursery() as nursery:
        async for event in _events_of(process):
            if event["event"] == "entry_started":
                nursery.start_soon(ask, event["fields"]["port"])
                await harness.until(lambda: _was_reached(harness))
                process.send_signal(signal.SIGTERM)
            if event["event"] == "entry_stopping":
                process.send_signal(signal.SIGTERM)
    context.program_code = await process.wait()
    context.program_replies = replies


@then('the query got an answer with "{error}" and the program ended with exit code {code:d}')
def step_second_signal_answered(context, error, code):
    assert [answer["error"] for answer in context.program_replies] == [error]
    assert context.program_code == code
