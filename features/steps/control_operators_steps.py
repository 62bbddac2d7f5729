from __future__ import annotations

import tempfile
from pathlib import Path

import orjson
import trio
from behave import then, when

from alderhatch.control.control_server import ControlServer
from alderhatch.control.observed_state import ObservedState
from alderhatch.control.operator_keys import KeyFileError, parse_keys
from alderhatch.http.client import http_once
from alderhatch.settings.models import ControlSettings, Endpoint, NamedEndpoint
from features.support.control_tier import KEYS, KEYS_BY_OPERATOR, LOOPBACK, SECRET
from features.support.memory_log import MemoryLog

ADD_RULE = {"change_id": "c-1", "expected_revision": 0, "rule": {"name": "night", "then": {}}}
ANY_PORT = Endpoint(address=LOOPBACK, port=0)


async def _exchange(context, method, path, body, key):
    with tempfile.TemporaryDirectory() as folder:
        cfg = ControlSettings(
            name="control-1",
            zone="austin-hall",
            data_folder=Path(folder),
            links=ANY_PORT,
            operators=ANY_PORT,
            peers=(NamedEndpoint(name="control-1", address=LOOPBACK, port=1),),
            secret_file=Path(folder),
            keys_file=Path(folder),
        )
        observed = ObservedState()
        log = MemoryLog("control-1", observed)
        server = ControlServer(cfg, log, observed, SECRET, parse_keys(KEYS))
        headers = [("Authorization", f"Bearer {key}")] if key else []
        async with trio.open_nursery() as nursery:
            addresses = await nursery.start(server.run)
            with trio.fail_after(30):
                while server.host.leadership is None or not observed.state.hosts.controls:
                    await trio.sleep(0.005)
            context.before = observed.state.snapshot()
            reply = await http_once(
                LOOPBACK, addresses.operator_port, method, path, body, headers, timeout=20_000.0
            )
            context.after = observed.state.snapshot()
            nursery.cancel_scope.cancel()
    context.status = reply.status
    context.body = orjson.loads(reply.body)


@when('operator "{who}" sends {method} {path} to control')
def step_operator_sends(context, who, method, path):
    key = "a-key-that-nobody-has" if who == "stranger" else KEYS_BY_OPERATOR.get(who)
    body = b"" if method in ("GET", "DELETE") else orjson.dumps(ADD_RULE)
    if path == "/v1/explain":
        body = b"{}"
    trio.run(_exchange, context, method, path, body, key)


@then('control answers {status:d} with "{kind}"')
def step_control_answers(context, status, kind):
    assert context.status == status, context.body
    assert context.body.get("error", "-") == kind, context.body
    if status != 200:
        assert "leader" not in context.body


@when("an operator sends the body {body} to {method} {path}")
def step_malformed(context, body, method, path):
    trio.run(_exchange, context, method, path, body.encode(), KEYS_BY_OPERATOR["anna"])


@then('control answers {status:d} with "{kind}" at "{field}" and its state is unchanged')
def step_malformed_refused(context, status, kind, field):
    assert (context.status, context.body["error"]) == (status, kind), context.body
    assert context.body["field"] == field, context.body
    if status == 400:
        assert context.after == context.before


@when("an operator sends a body of 2 MiB")
def step_large(context):
    body = orjson.dumps(ADD_RULE | {"filler": "x" * (2 * 1024 * 1024)})
    trio.run(_exchange, context, "POST", "/v1/rules", body, KEYS_BY_OPERATOR["anna"])


@when('the key file has the line "{line}"')
def step_key_file(context, line):
    context.key = line.split()[-1]
    context.message = ""
    try:
        parse_keys(f"# operators\n{line}\n")
    except KeyFileError as exc:
        context.message = str(exc)


@then('it is refused with "{message}" and the key is not shown')
def step_key_file_refused(context, message):
    assert message in context.message and "line 2" in context.message
    assert context.key not in context.message
