from __future__ import annotations

import copy
from unittest.mock import patch

import orjson
from behave import given, then, when

from alderhatch.core.forwarding.identity import effective_rank
from alderhatch.core.forwarding.organisation import Organisation
from alderhatch.errors import AlderhatchError, ErrorKind, Failure
from alderhatch.node import node_state
from alderhatch.platform.configuration import decode_configuration
from alderhatch.platform.edge import caller_failure_response
from features.support.forward_model import single_route
from features.support.identified_hosts import ORGANISATIONS, IdentifiedHost, document, request

PATHS = {"private": "/private/7", "public": "/public/7", "missing": "/nowhere/7"}
KEYS = ("north-key", "north-second", "south-key", "clé")


# Configuration

CHANGES = {
    "an organisation is a string": "south",
    "a name is missing": {"api-keys": ["south-key"]},
    "a name is empty": {"name": ""},
    "a name occurs twice": {"name": "north"},
    "a name has a line break": {"name": "sou\r\nth"},
    "a name has a control character": {"name": "sou\x7fth"},
    "a name is not Latin-1": {"name": "Košice"},
    "a name ends with a space": {"name": "south "},
    "the keys are missing": {"name": "south", "api-keys": None},
    "the keys are a string": {"api-keys": "south-key"},
    "a key is a number": {"api-keys": ["south-key", 7]},
    "a key is empty": {"api-keys": ["south-key", ""]},
    "a key begins with a space": {"api-keys": ["south-key", " south-key"]},
    "a key has a line break": {"api-keys": ["south-key", "south\n-key"]},
    "a key is not Latin-1": {"api-keys": ["south-key", "south-keš"]},
    "both have the same key": {"api-keys": ["south-key", "north-second"]},
    "a rate is below 0": {"rate-per-s": -0.5},
    "a rate is a string": {"rate-per-s": "20"},
    "a rate is true": {"rate-per-s": True},
    "a rate is null": {"rate-per-s": None},
    "a burst is below 0": {"burst-size": -1},
    "a burst is a list": {"burst-size": [4]},
    "a priority is not whole": {"priority": 1.5},
    "a priority is below 0": {"priority": -1},
    "a priority is a string": {"priority": "1"},
}


def invalid_document(error):
    organisations = copy.deepcopy(ORGANISATIONS)
    match error:
        case "the organisations are null":
            return document(7, None, tenants=None)
        case "the organisations are a map":
            return document(7, {"north": ["north-key"]})
        case "a rate is NaN" | "a rate is infinite":
            organisations[1]["rate-per-s"] = 12345.5
            number = b"NaN" if error == "a rate is NaN" else b"1e999"
            return document(7, organisations).replace(b"12345.5", number)
        case "a route is public by a string" | "a route is public by null":
            cfg = orjson.loads(document(7, organisations))
            cfg["routes"][1]["public"] = "yes" if error.endswith("string") else None
            return orjson.dumps(cfg)
    change = CHANGES[error]
    if not isinstance(change, dict) or error == "a name is missing":
        organisations[1] = change
    else:
        organisations[1] |= change
    return document(7, organisations)


@given("a configuration of two organisations in which {error}")
def step_invalid_organisation(context, error):
    context.document = invalid_document(error)


@then('it is refused with 400 naming "{field}", and no key is in the message')
@then('it is refused with 400 naming "", and no key is in the message')
def step_configuration_refused(context, field=""):
    try:
        decode_configuration(context.document)
    except AlderhatchError as exc:
        failure = exc.failure
        assert failure.answer.status == 400, failure
        assert (failure.field or "") == field, failure
        body = caller_failure_response(failure).body.decode()
        for key in (*KEYS, "south-keš", "south\n-key"):
            assert key not in failure.message and key not in body, failure
        return
    raise AssertionError("the invalid configuration was accepted")


@given("a configuration of two organisations")
def step_configuration(context):
    organisations = copy.deepcopy(ORGANISATIONS)
    organisations[0]["api-keys"].append("north-key")
    organisations[1] |= {"rate-per-s": 12.5, "burst-size": 30}
    context.cfg = decode_configuration(document(7, organisations))


@then("its organisations have the names, keys, priorities and quotas that are declared")
def step_organisations_decoded(context):
    north, south = context.cfg.organisations
    assert (north.name, north.rank, north.rate, north.burst) == ("north", 0, 0.0, 0.0)
    assert not north.is_limited
    assert south == Organisation("south", ("south-key", "clé"), None, 12.5, 30.0)
    assert south.is_limited


@then("a key that one organisation lists twice counts once")
def step_key_once(context):
    assert context.cfg.organisations[0].keys == ("north-key", "north-second")


@then("only the route that says so is public")
def step_public(context):
    assert [route.name for route in context.cfg.routes if route.public] == ["public"]


@then("an empty list of organisations is not the same as none")
def step_empty_list(context):
    assert decode_configuration(document(7, [])).organisations == ()
    assert decode_configuration(document(7, None)).organisations is None


# Hosts


@given("{standing} host with organisations in configuration {version:d}")
def step_host(context, standing, version):
    context.host = IdentifiedHost()
    context.host.configure(version, ORGANISATIONS)
    if standing == "a standby":
        context.host.state.apply_standing(True)


@given("a host without organisations")
def step_host_without_organisations(context):
    context.host = IdentifiedHost()
    context.host.configure(5, None)


@given("a host without a configuration")
def step_host_without_configuration(context):
    context.host = IdentifiedHost()


@when("it receives configuration {version:d}, in which two organisations share a key")
def step_receives_invalid(context, version):
    invalid = [ORGANISATIONS[0], ORGANISATIONS[1] | {"api-keys": ["north-key"]}]
    context.events = []
    record = lambda event, *args, **fields: context.events.append((event, fields))  # noqa: E731
    with patch.object(node_state, "log_event", record):
        context.host.configure(version, invalid)


@then('it keeps configuration {version:d}, and logs the field "{field}" without a key')
def step_keeps(context, version, field):
    state = context.host.state
    assert state.stored.version == version
    assert state.organisations.with_key("south-key").name == "south"
    ((_, fields),) = context.events
    assert fields["field"] == field, fields
    assert not any(key in str(fields) for key in KEYS), fields


@then(
    "a request with a key and the caller's own organisation field is served, and both reach the"
    " server unchanged"
)
def step_served_as_before(context):
    http = request("/private/7", ("Api-Key", "north-key"), ("Tenant", "mine"))
    assert context.host.answer(http) == 503
    (fields,) = context.host.servers.sent
    assert (b"api-key", b"north-key") in fields and (b"tenant", b"mine") in fields, fields


def send(context, fields, route):
    pairs = [field.strip().partition(":") for field in fields.split(";") if field.strip()]
    extra = [(name, value.strip()) for name, _, value in pairs]
    context.result = context.host.answer(request(PATHS[route], *extra))


@when('a caller sends "{fields}" on a {route} route')
@when('a caller sends "" on a {route} route')
def step_send(context, route, fields=""):
    send(context, fields, route)


@when('{what}, and a caller sends "{fields}" on a {route} route')
@when('{what}, and a caller sends "" on a {route} route')
def step_send_when(context, what, route, fields=""):
    state = context.host.state
    match what:
        case "its lease has run out":
            state.lease.is_valid = False
        case "a newer version is in force":
            state.record_seen_version(state.stored.version + 1)
        case "nothing is wrong":
            pass
        case _:
            raise AssertionError(what)
    send(context, fields, route)


@then('the caller gets "{result}", and the server is told the organisation "{told}"')
@then('the caller gets "{result}", and the server is told the organisation ""')
def step_told(context, result, told=""):
    assert str(context.result) == result, context.result
    sent = context.host.servers.sent
    assert len(sent) == (result == "503"), sent
    for fields in sent:
        names = [name for name, _ in fields]
        assert b"api-key" not in names, fields
        organisations = [value.decode("latin-1") for name, value in fields if name == b"tenant"]
        assert organisations == ([told] if told else []), fields
        assert not any(key.encode("latin-1") in value for key in KEYS for _, value in fields)


@then('the caller gets "{result}", and nothing has left the host')
def step_nothing_left(context, result):
    assert context.result == result, context.result
    assert not context.host.servers.sent
    assert not context.host.hand_overs.handed


@then("the caller is served")
def step_served(context):
    host = context.host
    assert len(host.servers.sent) + len(host.hand_overs.handed) == 1, context.result


@then(
    'it hands the request over with "{field}", without the key and the caller\'s organisation field'
)
def step_handed_without_key(context, field):
    ((http, _),) = context.host.hand_overs.handed
    name, value = field.split(": ")
    assert (name.encode(), value.encode()) in http.fields
    assert not {b"api-key", b"tenant"} & {name for name, _ in http.fields}, http.fields
    assert not {"api-key", "tenant"} & http.headers.keys(), http.headers


# Priorities and refusals


@then("a route of priority 2 and an organisation of priority {own} give the priority {counts:d}")
def step_rank(context, own, counts):
    route = single_route("kitchen", rank=2)
    organisation = Organisation("north", (), None if own == "none" else int(own))
    assert effective_rank(route, organisation) == counts
    assert effective_rank(route, None) == 2


@then('a request refused as "{kind}" is answered with {status:d}, Retry-After "{seconds}"')
@then('a request refused as "{kind}" is answered with {status:d}, Retry-After ""')
def step_refusal_answer(context, kind, status, seconds=None):
    res = caller_failure_response(Failure(ErrorKind(kind), "why"))
    assert res.status == status, res
    assert dict(res.headers).get("retry-after") == seconds, res


@then('a request refused as "{kind}" for {span:d} ms is answered with Retry-After "{seconds}"')
def step_retry_after(context, kind, span, seconds):
    res = caller_failure_response(Failure(ErrorKind(kind), "why", None, float(span)))
    assert dict(res.headers)["retry-after"] == seconds, res
