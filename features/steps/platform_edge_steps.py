from __future__ import annotations

import copy
from math import inf
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import h11
import orjson
import trio
from behave import given, then
from hypothesis import given as generated
from hypothesis import seed, settings
from hypothesis import strategies as st

from alderhatch.clock import ManualClock
from alderhatch.core.control.configuration_register import pack_configuration
from alderhatch.core.forwarding.outcome import (
    Answered,
    Failed,
    FailureReason,
    Gathered,
    NotRun,
)
from alderhatch.core.forwarding.parts_bundle import PartsBundle
from alderhatch.core.forwarding.route import (
    AllShards,
    OneUpstream,
    SplitUpstreams,
    UpstreamSettings,
)
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.core.forwarding.weighted_round_robin import WeightedRoundRobin
from alderhatch.core.policy import Policy, change_policy
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.errors import AlderhatchError
from alderhatch.http.exchange import HttpReply
from alderhatch.http.messages import HttpRequest
from alderhatch.node.dialect import CallerRequest
from alderhatch.node.node_state import NodeState
from alderhatch.platform.configuration import decode_configuration
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.server_list import parse_server
from alderhatch.platform.settings import parse_settings, read_settings
from features.support.forward_model import BUDGET_LIMITS, scatter_route, single_route

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "paths",
            "host": "Fleet.example",
            "path-prefix": "/paths/",
            "route-type": "safe",
            "timeout-ms": 2000,
            "target-latency-ms": 145,
            "priority": 1,
            "gather": ["s00", "s01"],
            "max-attempts": 2,
            "top-k": 10,
            "min-coverage": 0.89,
        },
        {
            "name": "orders",
            "host": "fleet.example",
            "path-prefix": "/orders/",
            "route-type": "unsafe",
            "timeout-ms": 8000,
            "target-latency-ms": 555,
            "priority": 2,
            "service": "kitchen",
            "max-attempts": 2,
        },
    ],
    "services": [
        {"name": name, "health-path": "/health", "max-connections": 28, "protocol": "h1"}
        for name in ("s00", "s01", "kitchen")
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}
SERVER = {
    "service": "s00",
    "address": "10.128.0.9:8080",
    "zone": "nydalen",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "instance-id": "i-1",
}
SIGNATURE_BYTES = st.one_of(st.binary(max_size=40), st.text(" ,;=.a1", max_size=6).map(str.encode))
SETTINGS = """node-name=frontend-austin-hall-1
ip=10.1.0.6
zone=austin-hall
bind-addresses.front=10.1.0.6:8104
bind-addresses.readiness=10.1.0.6:8108
bind-addresses.control=10.1.0.6:8106
bind-addresses.directory=10.1.0.6:8100
internal-ports=7380,7395
seeds=10.1.0.6:8106,10.2.0.27:8106
bootstrap=true
data-dir=/data/my-frontend
fault-tolerance.machines=1
bounds.grace-s=6
bounds.retry-budget-ratio=0.2
bounds.retry-budget-extra=62
bounds.budget-window-s=10
cloud-api.address=10.200.0.145:8102
"""


def remove_key(table, key):
    del table[key]


def apply_error(cfg, error):
    paths, orders = cfg["routes"]
    split = [{"service": "kitchen", "weight": 0}, {"service": "s00", "weight": 0}]
    match error:
        case "the version is missing":
            remove_key(cfg, "version")
        case "the version is a string":
            cfg["version"] = "seven"
        case "the routes are missing":
            remove_key(cfg, "routes")
        case "a route names an unknown service":
            orders["service"] = "nobody"
        case "a shard is an unknown service":
            paths["gather"][1] = "nobody"
        case "two routes share host and prefix":
            orders["path-prefix"] = "/paths/"
        case "a timeout is 0":
            orders["timeout-ms"] = 0
        case "a timeout is negative":
            orders["timeout-ms"] = -5
        case "the sum of the weights is 0":
            orders["traffic-split"] = split
        case "a weight is a string":
            orders["traffic-split"] = [{"service": "kitchen", "weight": "all"}]
        case "a shard occurs twice":
            paths["gather"] = ["s00", "s00"]
        case "a route has no name":
            remove_key(orders, "name")
        case "a limit is a string":
            cfg["limits"]["max-body-bytes"] = "many"
        case _:
            raise AssertionError(error)


@given("a platform configuration in which {error}")
def step_invalid_configuration(context, error):
    cfg = copy.deepcopy(CONFIGURATION)
    match error:
        case "the body is truncated":
            context.document = orjson.dumps(cfg)[:-20]
        case "the body is not JSON":
            context.document = b"version: 7"
        case "the body is a list":
            context.document = b"[]"
        case _:
            apply_error(cfg, error)
            context.document = orjson.dumps(cfg)


@then('decoding it is refused with 400, naming "{field}"')
@then('decoding it is refused with 400, naming ""')
def step_refused(context, field=""):
    try:
        decode_configuration(context.document)
    except AlderhatchError as exc:
        assert exc.failure.answer.status == 400, exc
        assert (exc.failure.field or "") == field, exc.failure.field
        return
    raise AssertionError("the invalid configuration was accepted")


CONFIGURATION_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(min_value=-(2**63), max_value=2**64 - 1),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=5),
    st.sampled_from(["s00", "kitchen", "safe", "/paths/"]),
    st.lists(st.sampled_from(["s00", "s01", 7, None]), max_size=3),
    st.just([{"service": "kitchen", "weight": 1e308}, {"service": "s00", "weight": 1e308}]),
    st.just({}),
)
CONFIGURATION_FIELDS = sorted(
    {*CONFIGURATION["routes"][0], *CONFIGURATION["routes"][1], "traffic-split", "warmup-s"}
)


@then("any configuration with some fields changed is refused with 400, or a host serves by it")
def step_any_configuration(context):
    changes = st.tuples(
        st.sampled_from(["routes", "services", "limits", "version", "tenants"]),
        st.integers(0, 1),
        st.sampled_from([*CONFIGURATION_FIELDS, *CONFIGURATION["limits"], "max-connections"]),
        CONFIGURATION_VALUES,
    )

    def changed(part, index, field, value):
        cfg = copy.deepcopy(CONFIGURATION)
        if part in ("routes", "services"):
            cfg[part][index][field] = value
        elif part == "limits":
            cfg["limits"][field] = value
        else:
            cfg[part] = value
        return orjson.dumps(cfg)

    @seed(50)
    @settings(max_examples=300, deadline=None, database=None)
    @generated(changes)
    def check(change):
        document = changed(*change)
        try:
            cfg = decode_configuration(document)
        except AlderhatchError as exc:
            assert exc.failure.answer.status == 400, exc
            return
        trio.run(serve_by, cfg, document)

    check()


async def serve_by(cfg, document):
    """Let a host adopt a configuration and look up all of its routes."""
    pool = ConnectionPool(0, 1000.0, spares=False)
    clock = ManualClock()
    state = NodeState(
        "host-0", "z", decode_configuration, pool, BUDGET_LIMITS, Policy(), clock, Random(1)
    )
    state.apply_configuration(pack_configuration(cfg.version, document))
    assert state.stored.version == max(0, cfg.version)
    for route in cfg.routes:
        assert cfg.version == 0 or state.routes.find(route.host, route.path_prefix) is not None
        if isinstance(route.destination, SplitUpstreams):
            assert WeightedRoundRobin().pick(route.destination) in route.upstreams


@given("a platform configuration as an operator sends it")
def step_valid_configuration(context):
    context.document = orjson.dumps(CONFIGURATION)


@then("its routes, upstreams and limits are decoded as declared")
def step_decoded(context):
    cfg = decode_configuration(context.document)
    paths, orders = cfg.routes
    assert cfg.version == 7
    assert paths.destination == AllShards(("s00", "s01"), 10, 0.89)
    assert (paths.host, paths.idempotent, paths.max_servers) == ("fleet.example", True, 2)
    assert (paths.timeout, paths.target_latency, paths.rank) == (2000.0, 145.0, 1)
    assert orders.destination == OneUpstream("kitchen")
    assert not orders.idempotent
    assert [upstream.max_connections for upstream in cfg.upstreams] == [28, 28, 28]
    assert cfg.limits == (16384, 262144, 3000.0, 15000.0)


@then("these route types make a route idempotent or not")
def step_route_types(context):
    for row in context.table:
        cfg = copy.deepcopy(CONFIGURATION)
        cfg["routes"][1]["route-type"] = row["type"]
        route = decode_configuration(orjson.dumps(cfg)).routes[1]
        assert route.idempotent == (row["idempotent"] == "yes"), row["type"]


INVALID_ENTRIES = {
    "is a string": "i-2",
    "is null": None,
    "has no instance-id": {key: value for key, value in SERVER.items() if key != "instance-id"},
    "has a number as service": SERVER | {"service": 7},
    "has an address without port": SERVER | {"address": "10.128.0.9"},
    "has a port out of range": SERVER | {"address": "10.128.0.9:70000"},
    "has 0 slots": SERVER | {"max-concurrency": 0},
    "has true as slots": SERVER | {"max-concurrency": True},
    "has an unknown state": SERVER | {"state": "dreaming"},
    "has unreadable bytes as address": SERVER | {"address": "\ufffd\ufffd:8080"},
    "has a host name as address": SERVER | {"address": "somewhere:8080"},
    "has an endless port": SERVER | {"address": "10.128.0.9:" + "9" * 5000},
    "has digits of another script as port": SERVER | {"address": "10.128.0.9:\u0661\u0662"},
    "has an instance-id that no header field carries": SERVER | {"instance-id": "i\u20ac\r\n2"},
    "has an instance-id that isn't ASCII": SERVER | {"instance-id": "i-\u20ac"},
    "has an instance-id of 300 characters": SERVER | {"instance-id": "i" * 300},
    "has an unreadable service": SERVER | {"service": "s\ufffd"},
    "has a lone surrogate as zone": SERVER | {"zone": "\ud800"},
    "has endless slots": SERVER | {"max-concurrency": 10**400},
}


@given("a list of servers in which one entry {error}")
def step_invalid_entry(context, error):
    context.listed = [INVALID_ENTRIES[error], SERVER]


@then("only the other server is read from the list")
def step_other_only(context):
    found = [server for server in map(parse_server, context.listed) if server is not None]
    assert [server.server_id for server in found] == ["i-1"], found


@given("a list of servers with one that is draining and one that finishes warming up in 2500 ms")
def step_list_states(context):
    context.listed = [SERVER | {"state": "draining"}, SERVER | {"warmup-left-ms": 2500}]


@then("the first is read as draining and the second as warming up for 2500 ms")
def step_states(context):
    first, second = map(parse_server, context.listed)
    assert first.draining
    assert (second.draining, second.warm_up) == (False, 2500.0)


def caller_request(fields, request_id="a1"):
    http = HttpRequest("GET", "/paths/7", {}, {}, b"", "/paths/7", fields)
    return CallerRequest(http, "fleet.example", request_id, 2000.0, fields)


@given('a forwarded request with the ID "{request_id}"')
def step_forwarded_request(context, request_id):
    context.caller_request = caller_request([], request_id)


@then('a server\'s answer of status {status:d} with "{fields}" is classified as {fault}')
def step_classified(context, status, fields, fault):
    pairs = [pair.partition(":") for pair in fields.split(";")]
    headers = [(name.strip().lower().encode(), value.strip().encode()) for name, _, value in pairs]
    parsed = PlatformDialect().read_answer(context.caller_request, HttpReply(status, headers, b"x"))
    assert (parsed.fault or "none") == fault, parsed


@then('a shard\'s answer of status {status:d} with the signatures "{signatures}" is {fault}')
@then('a shard\'s answer of status {status:d} with the signatures "" is {fault}')
def step_part_classified(context, status, fault, signatures=""):
    values = signatures.encode().decode("unicode_escape").encode("latin-1").split(b";")
    headers = [(b"attempt-id", b"a1"), *((b"server-seal", value) for value in values)]
    answer = HttpReply(status, headers, b"x" * 16)
    parsed = PlatformDialect().read_answer(context.caller_request, answer, is_part=True)
    assert (parsed.fault or "none") == fault, parsed


@then("any bytes as signatures are refused, or are passed on in a head that clients can read")
def step_any_signatures(context):
    dialect = PlatformDialect()
    request = caller_request([])
    route = scatter_route(["u0", "u1"])

    @seed(50)
    @settings(max_examples=300, deadline=None, database=None)
    @generated(st.lists(SIGNATURE_BYTES, min_size=1, max_size=3))
    def check(signatures):
        replies = [
            HttpReply(200, [(b"attempt-id", b"a1"), (b"server-seal", one)], b"x" * 16)
            for one in signatures
        ]
        parts = {
            f"u{index}": one
            for index, one in enumerate(replies)
            if dialect.read_answer(request, one, is_part=True).fault is None
        }
        response = dialect.response(route, Answered(parts, 0))
        if len({one.header(b"server-seal") for one in parts.values()}) < len(parts):
            # Without those that have one signature, the minimum coverage isn't reached.
            assert response.status == 502, response
            return
        named = next(value for name, value in response.fields if name == b"part-seals")
        head = h11.Response(status_code=200, headers=response.fields)
        assert dict(head.headers)[b"part-seals"] == named
        assert [one for one in named.split(b", ") if one] == [
            one.header(b"server-seal") for one in parts.values()
        ]

    check()


@given('a caller\'s request with the time budget "{budget}"')
def step_time_budget(context, budget):
    context.budgeted = HttpRequest(
        "GET", "/paths/7", {}, {"time-budget-ms": budget}, b"", "/paths/7", []
    )


@then('it is refused with 400, naming "Time-Budget-Ms"')
def step_budget_refused(context):
    try:
        PlatformDialect().read_request(context.budgeted)
    except AlderhatchError as exc:
        assert (exc.failure.answer.status, exc.failure.field) == (400, "Time-Budget-Ms")
        return
    raise AssertionError("the request was accepted")


@then("it has {left:g} ms left")
def step_budget_read(context, left):
    assert abs(PlatformDialect().read_request(context.budgeted).time_left - left) < 1e-6


@then("any text as load or pause is left out, or is read as a small number")
def step_any_figures(context):
    request = caller_request([])
    table = TargetTable("z", BUDGET_LIMITS, Policy(), Random(1))
    table.set_upstreams([UpstreamSettings("u", 28)])
    table.update([ServerRecord("i-1", "u", "127.0.0.1", 80, "z", 2, False)], 0.0)
    target = table.upstream("u").targets["i-1"]
    numbers = st.one_of(
        st.integers(min_value=-(10**330), max_value=10**330).map(str),
        st.floats().map(str),
        st.text("0123456789eE+-_., naif", max_size=12),
    )

    @seed(50)
    @settings(max_examples=300, deadline=None, database=None)
    @generated(st.lists(numbers, min_size=1, max_size=4), numbers)
    def check(load, pause):
        headers = [
            (b"attempt-id", b"a1"),
            (b"server-load", ",".join(load).encode()),
            (b"retry-after", pause.encode()),
            (b"not-executed", b"1"),
        ]
        parsed = PlatformDialect().read_answer(request, HttpReply(503, headers, b""))
        assert parsed.fault == "shed"
        if parsed.load is not None:
            assert all(0 <= figure < 10**6 for figure in parsed.load), parsed
        assert parsed.retry_after is None or 0.0 <= parsed.retry_after < 10**9, parsed
        table.record_failure(target, parsed.fault, parsed.retry_after, 0.0)
        table.record_answer(target, 10.0, parsed.load, 0.0)
        assert target.estimate(1.0) < inf and target.shed_until <= 60_000.0

    check()


@given("a caller's request with the fields")
def step_caller_fields(context):
    fields = [(row["name"].lower().encode(), row["value"].encode()) for row in context.table]
    headers = {name.decode(): value.decode() for name, value in fields}
    http = HttpRequest("GET", "/paths/7", {}, headers, b"", "/paths/7", fields)
    context.caller_request = PlatformDialect().read_request(http)


@then('a server "{server_id}" with {left:g} ms left gets exactly')
def step_server_fields(context, server_id, left):
    fields = PlatformDialect().server_fields(context.caller_request, server_id, left)
    expected = [(row["name"].encode(), row["value"].encode()) for row in context.table]
    assert list(fields) == expected, fields


@then('the request is for host "{host}" with {left:d} ms left')
def step_request_host(context, host, left):
    assert (context.caller_request.host, context.caller_request.time_left) == (host, left)


def reply(number, status=200):
    return HttpReply(status, [(b"server-seal", b"s%d" % number)], b"x" * 16)


def parts_with_repeat(count):
    """Return the answers of so many shards, the last of which has the signature of the first."""
    return {f"u{number}": reply(number % (count - 1)) for number in range(count)}


OUTCOMES = {
    "answered": Answered({"u0": reply(0)}, 0),
    "answered by two": Answered({"u0": reply(0), "u1": reply(1)}, 18),
    "not run": NotRun(FailureReason.REFUSED, 250.0),
    "failed": Failed(FailureReason.FAILED),
    "timeout": Failed(FailureReason.TIMEOUT),
    "failed with a server's answer": Failed(FailureReason.FAILED, reply(0, 500)),
    "failed with a server's 503": Failed(FailureReason.FAILED, reply(0, 503)),
    "failed with a server's 429": Failed(FailureReason.FAILED, reply(0, 429)),
    "failed with a server's 408": Failed(FailureReason.FAILED, reply(0, 408)),
    "20 parts, two with one signature": Answered(parts_with_repeat(20), 0),
    "19 parts, two with one signature": Answered(parts_with_repeat(19), 1),
    "2 hosts' parts, two with a signature": Gathered(
        (
            PartsBundle(("u0", "u1"), (b"s0", b"s1"), b""),
            PartsBundle(("u2",), (b"s0",), b""),
        ),
        0,
    ),
}


@then('the outcome "{outcome}" of a {kind} route is answered with {status:d} and "{field}"')
@then('the outcome "{outcome}" of a {kind} route is answered with {status:d} and ""')
def step_response(context, outcome, kind, status, field=""):
    route = single_route("u0") if kind == "single" else scatter_route(["u0", "u1"])
    response = PlatformDialect().response(route, OUTCOMES[outcome])
    response_fields = [f"{name}: {value}" for name, value in response.headers]
    response_fields += [f"{name.decode()}: {value.decode()}" for name, value in response.fields]
    assert response.status == status, response
    assert not field or field in response_fields, response_fields
    assert response.status == 200 or field or "server-seal: s0" not in response_fields


@given('the platform\'s settings with "{key}" changed to "{value}"')
@given('the platform\'s settings with "{key}" changed to ""')
def step_settings(context, key, value=""):
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(f"{key}=")]
    context.settings = "\n".join([*lines, f"{key}={value}"])


@then('parsing them is refused, naming "{key}"')
def step_settings_refused(context, key):
    try:
        parse_settings(context.settings)
    except AlderhatchError as exc:
        assert exc.failure.field == key, exc.failure
        return
    raise AssertionError("the invalid settings were accepted")


@then('overriding the policy with "{text}" is refused, naming "{name}"')
def step_policy_refused(context, text, name):
    try:
        change_policy(Policy(), text)
    except AlderhatchError as exc:
        assert exc.failure.field == name, exc.failure
        return
    raise AssertionError("the invalid policy values were accepted")


@then('overriding the policy with "" changes nothing')
def step_policy_same(context):
    assert change_policy(Policy(), "") == Policy()


@then('overriding the policy with "near_factor=0, eject_failures=5" changes only these two')
def step_policy_changed(context):
    changed = change_policy(Policy(), "near_factor=0, eject_failures=5")
    assert changed == Policy(near_factor=0.0, eject_failures=5)
    assert isinstance(changed.eject_failures, int)


@then("the platform's settings are parsed as those of a host with a disk")
def step_settings_read(context):
    cfg = parse_settings(SETTINGS)
    node = cfg.node
    assert (cfg.list_address, cfg.list_port) == ("10.200.0.145", 8102)
    assert str(node.data_folder) == "/data/my-frontend"
    assert node.first_start and node.tolerated_hosts == 1
    assert node.ports == (8104, 8100, 8108, 8106, 7380, 7381)
    assert [seed.address for seed in node.seeds] == ["10.1.0.6", "10.2.0.27"]
    assert node.budget == (0.2, 62.0, 10_000.0)
    assert node.stop_span == 6000.0
    assert node.catch_up == 4000.0


@then("without a data folder the host does not take part in the replicated log")
def step_diskless(context):
    text = SETTINGS.replace("data-dir=/data/my-frontend\n", "")
    assert parse_settings(text).node.data_folder is None


@then("unknown keys are ignored")
def step_unknown_keys(context):
    assert parse_settings(SETTINGS + "new.key=1\n") == parse_settings(SETTINGS)


@then("the example settings and the example configuration of the platform are valid")
def step_examples(context):
    folder = Path(__file__).parents[2] / "examples" / "platform"
    cfg = parse_settings((folder / "settings.conf").read_text())
    assert cfg.node.name == "entry-austin-hall-1"
    read = decode_configuration((folder / "configuration.json").read_bytes())
    assert [route.name for route in read.routes] == ["conflict-check", "booking"]
    assert [route.idempotent for route in read.routes] == [True, False]


@given("a settings file with bytes that aren't UTF-8")
def step_settings_bytes(context):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_path = Path(folder.name) / "settings.conf"
    context.settings_path.write_bytes(b"node-name=\xff\xfe\n")


@then("reading it is refused")
def step_settings_unread(context):
    try:
        read_settings(context.settings_path)
    except AlderhatchError as exc:
        assert exc.failure.answer.status == 400
        return
    raise AssertionError("the settings were read")
