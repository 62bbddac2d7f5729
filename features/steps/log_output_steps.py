from __future__ import annotations

import json
import logging
import os
from types import SimpleNamespace

import orjson
import trio
import trio.testing
from behave import given, then, when

from alderhatch.core.forwarding.outcome import Answered
from alderhatch.log import log_event, set_up_bounded_logs
from alderhatch.log_events import LogEvent
from alderhatch.node.request_log import RequestLog, to_request_end
from alderhatch.request_history import find_request_history, format_line, parse_line
from features.support.forward_model import ForwardModel, scatter_route, single_route

logger = logging.getLogger("alderhatch")


def log_to_pipe(context):
    handlers, level = list(logger.handlers), logger.level
    context.read_fd, write_fd = os.pipe()
    context.output = set_up_bounded_logs("test", write_fd, host="h1")

    def restore():
        logger.handlers[:] = handlers
        logger.setLevel(level)
        os.close(write_fd)

    context.add_cleanup(restore)


@given("a bounded log on a pipe that is not read")
def step_pipe(context):
    log_to_pipe(context)


@given("a bounded log on a pipe whose reader has closed")
def step_broken_pipe(context):
    log_to_pipe(context)
    os.close(context.read_fd)


@when("{count:d} events of 200 bytes are logged")
def step_log(context, count):
    for number in range(count):
        log_event(LogEvent.NODE_STARTED, node=f"{number:08}", filler="x" * 100)


@then("logging did not block and at most {limit:d} bytes are buffered")
def step_not_blocked(context, limit):
    # A blocking handler would not have returned.
    assert context.output.pending_bytes <= limit


@then("the number of dropped lines is known")
def step_dropped(context):
    assert context.output.dropped > 0
    assert context.output.take_newly_dropped() == context.output.dropped
    assert context.output.take_newly_dropped() == 0


def drain(context):
    os.set_blocking(context.read_fd, False)
    data = b""
    while True:
        context.output.write_pending()
        try:
            new = os.read(context.read_fd, 1 << 20)
        except BlockingIOError:
            return data
        data += new


@when("the pipe is read again")
def step_read(context):
    data = drain(context)
    log_event(LogEvent.NODE_STOPPED, node="last")
    context.lines = (data + drain(context)).decode().splitlines()


@then("complete lines are read, oldest first, followed by new events")
def step_lines(context):
    rows = [json.loads(line) for line in context.lines]
    names = [row["fields"]["node"] for row in rows]
    assert names[-1] == "last"
    assert names[:-1] == sorted(names[:-1]) and names[0] == "00000000"
    assert all(row["host"] == "h1" for row in rows)


@then("the process continues")
def step_continues(context):
    assert context.output.pending_bytes == 0


def log_line(time, host, event, **fields):
    event_type = LogEvent[event.upper()]
    return json.dumps(
        {
            "time": f"2026-01-01 00:00:{time:06.3f}".replace(".", ","),
            "host": host,
            "number": event_type.number,
            "event": event,
            "fields": fields,
        }
    )


@given('logs of two hosts in which request "r1" failed after a server had been ejected')
def step_logs(context):
    steps = [
        {"at": 0.0, "step": "send", "shard": "u", "server": "i-1"},
        {"at": 20.0, "step": "fault", "shard": "u", "server": "i-1", "why": "lost"},
    ]
    context.texts = [
        log_line(9.0, "h1", "server_belief", server_id="i-1", belief="ejected"),
        log_line(9.1, "h1", "server_belief", server_id="i-9", belief="ejected"),
        log_line(10.0, "h1", "request_ended", request="r1", outcome="failed", steps=steps),
        log_line(10.0, "h2", "request_ended", request="r2", outcome="failed"),
        log_line(8.0, "h1", "leader_lost", leader="h2"),
        log_line(1.0, "h1", "leader_lost", leader="h3"),
        log_line(9.5, "h2", "leader_lost", leader="h3"),
        "a line of another program",
    ]


@when('the history of request "{request_id}" is asked for')
def step_history(context, request_id):
    context.history = find_request_history(request_id, context.texts)


@then("the history has these lines in this order")
def step_history_lines(context):
    found = [(line.host, line.event) for line in context.history]
    assert found == [(one["host"], one["event"]) for one in context.table], found


@then("its last line shows each decision with its time")
def step_history_steps(context):
    shown = format_line(context.history[-1])
    assert len(shown) == 3 and "20.0 ms" in shown[2] and "why=lost" in shown[2], shown


@then("the history is empty")
def step_no_history(context):
    assert context.history == []


@then('the log line "{text}" is parsed as {result}')
def step_line(context, text, result):
    assert (parse_line(text) is not None) == (result == "an event")


def request_of(number):
    http = SimpleNamespace(unread_time=0.0)
    return SimpleNamespace(request_id=f"r{number}", http=http, organisation=None)


@given("a request log")
def step_request_log(context):
    log_to_pipe(context)
    context.model = ForwardModel()
    for number in range(20):
        context.model.add_upstream(f"shard{number:02}", 20.0)
    context.model.add_upstream("kitchen", 50.0)
    context.state = SimpleNamespace(
        list_age=lambda: 300.0,
        stored=SimpleNamespace(version=7),
        live_host_count=1,
        table=context.model.tables[0],
    )


def write_log(context, action):
    async def main():
        log = RequestLog(context.state, lambda: 1)
        action(log)
        log.flush()

    context.state.table.take_changes()
    trio.run(main, clock=trio.testing.MockClock())
    rows = [json.loads(line) for line in drain(context).decode().splitlines()]
    context.rows = [one for one in rows if one["event"] == "request_ended"]
    context.folded = [one for one in rows if one["event"] == "request_lines_folded"]


def ended_run(context, route):
    number = context.model.request(route)
    context.model.run_until(context.model.now + 20_000.0)
    outcome, at = context.model.results[number]
    run = context.model.runs[number]
    return run, to_request_end(outcome, min(at - run.times.arrived, 100.0))


@when("{count:d} requests succeed")
def step_succeed(context, count):
    run, end = ended_run(context, single_route("kitchen"))

    def write(log):
        for number in range(count):
            log.log_end(request_of(number), run, end)

    write_log(context, write)


@when("{count:d} requests fail at once")
def step_fail_at_once(context, count):
    for index in range(2):
        context.model.servers[f"kitchen-{index}"].mode = "lost"
    run, end = ended_run(context, single_route("kitchen"))
    assert not isinstance(context.model.results, Answered)

    def write(log):
        for number in range(count):
            log.log_end(request_of(number), run, end)

    write_log(context, write)


@then("the request log has {count:d} lines")
def step_written(context, count):
    assert len(context.rows) == count, len(context.rows)


@then("the request log has {count:d} more lines with the decisions and the ages of their inputs")
def step_written_steps(context, count):
    assert len(context.rows) == count, len(context.rows)
    for one in context.rows:
        fields = one["fields"]
        assert fields["list_age_ms"] == 300 and fields["configuration"] == 7
        sends = [step for step in fields["steps"] if step["step"] == "send"]
        assert sends and all("load_age_ms" in step for step in sends), fields


@then("the request log reports {count:d} omitted lines")
def step_omitted(context, count):
    assert [one["fields"]["count"] for one in context.folded] == [count], context.folded


@when("a request fails because {cause}")
def step_fails_because(context, cause):
    model = context.model
    route = single_route("kitchen", idempotent=False)
    match cause:
        case "every server rejects it":
            for index in range(2):
                model.servers[f"kitchen-{index}"].shed_share = 1.0
        case "the connection breaks in transit":
            for index in range(2):
                model.servers[f"kitchen-{index}"].mode = "lost"
        case "shards never respond":
            for number in range(4):
                for index in range(2):
                    model.servers[f"shard{number:02}-{index}"].mode = "silent"
            route = scatter_route([f"shard{number:02}" for number in range(20)])
        case _:
            raise AssertionError(cause)
    run, end = ended_run(context, route)
    write_log(context, lambda log: log.log_end(request_of(1), run, end))


@then('its line has the outcome "{outcome}" and a step "{step}" with why "{why}"')
@then('its line has the outcome "{outcome}" and a step "{step}" with why ""')
def step_line_of(context, outcome, step, why=""):
    (line,) = context.rows
    fields = line["fields"]
    assert fields["outcome"] == outcome, fields
    assert any(
        one["step"] == step and one.get("why", "") == why for one in fields["steps"]
    ), fields["steps"]


@given("the logs of a gather in which one host lost its share and another one lacked parts")
def step_gather_logs(context):
    events = (
        ("entry-1", LogEvent.SHARE_LOST),
        ("entry-2", LogEvent.SHARE_ENDED),
        ("entry-1", LogEvent.REQUEST_ENDED),
        ("entry-3", LogEvent.REQUEST_HANDED_OVER),
    )
    context.texts = [
        orjson.dumps(
            {
                "time": f"2026-03-12 07:18:3{second},000",
                "host": host,
                "number": event.number,
                "event": event.name.lower(),
                "fields": {"request": "r-1"},
            }
        ).decode()
        for second, (host, event) in enumerate(events)
    ]


@then("the history of the gather has the lines of all three hosts")
def step_gather_history(context):
    found = [(line.host, line.event) for line in find_request_history("r-1", context.texts)]
    assert found == [
        ("entry-1", "share_lost"),
        ("entry-2", "share_ended"),
        ("entry-1", "request_ended"),
        ("entry-3", "request_handed_over"),
    ], found
