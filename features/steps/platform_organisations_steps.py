from __future__ import annotations

import itertools

import orjson
from behave import given, then, when

from features.steps import platform_gather_steps as gather_steps
from features.steps import platform_node_steps as node_steps
from features.support.platform_tier import PlatformTier
from features.support.tier import until

NORTH_KEYS = ["key-of-north-1", "key-of-north-2"]
SOUTH_KEY = "key-of-south"
UNKNOWN_KEY = "key-of-nobody"
ORGANISATIONS = [
    {"name": "north", "api-keys": NORTH_KEYS, "priority": 0},
    {"name": "south", "api-keys": [SOUTH_KEY], "rate-per-s": 1000, "burst-size": 1000},
]
PATHS = ("/paths/7", "/orders/7", "/open/7")
REFUSED_FIELDS = (
    {},
    {"Api_Key": UNKNOWN_KEY},
    {"Api_Key": f"{NORTH_KEYS[0]}, {SOUTH_KEY}"},
    {"Tenant": "north"},
)
_numbers = itertools.count(1)


def fresh_id():
    """Return a request ID that no other steps module uses."""
    return f"c{next(_numbers):015x}"


def start_tier(context, shards, disks=3, diskless=1, policy=""):
    tier = context.platform = PlatformTier(context, disks, diskless)
    tier.policy = policy
    context.shards = shards
    for name in shards:
        tier.add_servers(name)
    tier.add_servers("kitchen", 3)
    tier.start()
    configure(context, ORGANISATIONS)
    for index in tier.running():
        until(lambda index=index: tier.is_ready(index), f"node {index} is ready")


def configure(context, organisations):
    tier = context.platform
    context.document = tier.configuration(context.shards, organisations=organisations)
    tier.put(context.document)


@given('a platform tier with the organisations "north" and "south"')
def step_tier(context):
    start_tier(context, node_steps.SHARDS)


@given('a platform tier that divides gathers, with the organisations "north" and "south"')
def step_dividing_tier(context):
    start_tier(context, gather_steps.SHARDS, policy="split_parts=40")
    node_steps.step_ready(context)
    until(
        lambda: gather_steps.is_complete(ask(context, 0, "/paths/1", NORTH_KEYS[0])),
        "a complete answer",
    )


@given("a platform tier of {disks:d} hosts with a disk and {others:d} without, with organisations")
def step_large_tier(context, disks, others):
    start_tier(context, node_steps.SHARDS, disks, others)


def ask(context, index, path, key, **fields):
    return context.platform.ask(index, path, fresh_id(), "GET", None, 10.0, Api_Key=key, **fields)


def told(tier, request_id):
    """Return the organisations that servers were told with a request, each once."""
    names = set()
    for server in tier.servers.values():
        for run, fields in zip(list(server.runs), list(server.fields), strict=False):
            if run == request_id:
                names.add(tuple(value.decode() for name, value in fields if name == b"tenant"))
    return names


@then('a caller with a key of "north" is served at each host, on each kind of route')
def step_north_served(context):
    tier = context.platform
    for index, path in itertools.product(tier.running(), PATHS):
        request_id = fresh_id()
        answer = tier.ask(index, path, request_id, Api_Key=NORTH_KEYS[0], Tenant="south")
        assert answer.status == 200, (index, path, answer)
        assert told(tier, request_id) == {("north",)}, (index, path, told(tier, request_id))


@then('more than one host asked servers for a gather of "north"')
def step_divided(context):
    tier = context.platform
    before = {index: gather_steps.sends_of(tier, index) for index in tier.running()}
    answer = ask(context, 0, "/paths/7", NORTH_KEYS[0])
    assert gather_steps.is_complete(answer), answer
    asked = [one for one in tier.running() if gather_steps.sends_of(tier, one) > before[one]]
    assert len(asked) > 1, asked


@then("a caller without a key, with an unknown one and with two keys gets 401 at each host")
def step_refused(context):
    tier = context.platform
    for index, path, fields in itertools.product(tier.running(), PATHS[:2], REFUSED_FIELDS):
        request_id = fresh_id()
        answer = tier.ask(index, path, request_id, **fields)
        assert answer.status == 401, (index, path, fields, answer)
        assert "retry-after" not in answer.headers, answer
        assert not any(request_id in server.runs for server in tier.servers.values())


@then("a caller without a key is served on the public route of each host")
def step_public(context):
    tier = context.platform
    for index in tier.running():
        request_id = fresh_id()
        answer = tier.ask(index, "/open/7", request_id, Tenant="north")
        assert answer.status == 200, (index, answer)
        assert told(tier, request_id) == {()}, told(tier, request_id)


@then("the servers were told the organisation by the hosts alone, and never a key")
def step_no_key_at_servers(context):
    for server in context.platform.servers.values():
        for fields in server.fields:
            assert not any(name == b"api-key" or b"key-of" in value for name, value in fields)
            assert [value for name, value in fields if name == b"tenant"] in ([], [b"north"])


@then('no key is in the logs and metrics of the hosts, which count requests of "north"')
def step_no_key_in_logs(context):
    tier = context.platform
    asked = 0.0
    for index in tier.running():
        until(lambda index=index: "identity_refused" in tier.log_text(index), "a refusal is logged")
        page = tier.metrics(index)
        assert "key-of" not in tier.log_text(index) + page, f"a key at node {index}"
        lines = [one for one in page.splitlines() if 'organisation="north"' in one]
        asked += sum(float(line.rpartition(" ")[2]) for line in lines)
    assert asked >= len(PATHS) * len(tier.running()), asked


@then(
    "a configuration in which two organisations share a key is refused with 400 and changes nothing"
)
def step_shared_key(context):
    tier = context.platform
    current = orjson.loads(context.document)
    invalid = current | {"version": current["version"] + 1}
    invalid["tenants"] = [*ORGANISATIONS, {"name": "west", "api-keys": [SOUTH_KEY]}]
    for index in tier.running():
        answer = tier.operate(index, "PUT", orjson.dumps(invalid))
        assert answer.status == 400 and b"tenants.2.api-keys" in answer.body, answer
        assert b"key-of" not in answer.body, answer
    node_steps.step_read_back(context)


# Keys that change


@when('the operator takes the second key of "north" away')
def step_take_away(context):
    configure(context, [ORGANISATIONS[0] | {"api-keys": NORTH_KEYS[:1]}, ORGANISATIONS[1]])


@when('the operator gives the second key of "north" to "south"')
def step_give(context):
    south = ORGANISATIONS[1] | {"api-keys": [SOUTH_KEY, NORTH_KEYS[1]]}
    configure(context, [ORGANISATIONS[0] | {"api-keys": NORTH_KEYS[:1]}, south])


def served_as(context, index, key):
    """Return the organisation as which a host serves a key, or the status of the refusal."""
    request_id = fresh_id()
    answer = context.platform.ask(index, "/orders/7", request_id, Api_Key=key)
    if answer is None or answer.status != 200:
        return answer and answer.status
    ((name,),) = told(context.platform, request_id)
    return name


def check_soon(context, second):
    for index in context.platform.running():
        until(
            lambda index=index: served_as(context, index, NORTH_KEYS[1]) == second,
            f"node {index} serves the second key as {second}",
        )
        assert served_as(context, index, NORTH_KEYS[0]) == "north"


@then('each host soon refuses that key with 401, and serves the first key as "north"')
def step_soon_refused(context):
    check_soon(context, 401)


@then('each host soon serves that key as "south", and the first key as "north"')
def step_soon_south(context):
    check_soon(context, "south")
