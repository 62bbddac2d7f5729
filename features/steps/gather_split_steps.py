from __future__ import annotations

import heapq
from itertools import count
from random import Random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from alderhatch.clock import ManualClock
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.forward_run import ForwardRun
from alderhatch.core.forwarding.gather_plan import GatherPlan, HostShare, plan_gather
from alderhatch.core.forwarding.outcome import Failed, Gathered
from alderhatch.core.forwarding.parts_bundle import PartsBundle
from alderhatch.core.forwarding.route import AllShards
from alderhatch.core.forwarding.run_limits import RunTimes, ShareRules
from alderhatch.core.forwarding.server_record import ServerRecord
from alderhatch.core.forwarding.shard_owners import ShardOwners
from alderhatch.core.forwarding.split_run import (
    CancelShare,
    Finish,
    HostSilent,
    QueryHost,
    QueryLocally,
    SplitRun,
)
from alderhatch.core.forwarding.target_table import TargetTable
from alderhatch.core.forwarding.top_k import RECORD_BYTES, merge_top_k
from alderhatch.entry.connection_pool import ConnectionPool
from alderhatch.errors import AlderhatchError
from alderhatch.node.gather_messages import (
    PartsNews,
    PartsRequest,
    check_parts_request,
    to_parts_bundle,
)
from alderhatch.node.node_state import NodeState
from alderhatch.node.split_gather import SplitGathers
from alderhatch.platform.dialect import PlatformDialect
from alderhatch.platform.settings import POLICY
from alderhatch.platform.wire_names import SEAL
from features.support.forward_model import BUDGET_LIMITS, scatter_route

SHARDS = [f"shard-{number:03}" for number in range(135)]
DUE = 100.0
SPLIT_POLICY = POLICY._replace(split_parts=40)
DEADLINE = 1000.0


# Division of a gather


@given("{strong:d} strong and {weak:d} weak active hosts")
def step_hosts(context, strong, weak):
    context.hosts = [
        HostRecord(
            f"host-{index}", f"zone-{index % 3}", "a:1", True, 1.4 if index < strong else 0.5
        )
        for index in range(strong + weak)
    ]
    context.lost = set()


def owners_at(name, hosts):
    owners = ShardOwners(name)
    owners.set_gathers([tuple(SHARDS[:90])], 0.0)
    owners.set_hosts(hosts, 0.0)
    return owners


@when("a gather of {parts:d} parts arrives at {first}")
def step_gather(context, parts, first):
    index = -1 if first == "a weak host" else 0
    me = context.hosts[index].name
    context.shards = SHARDS[:parts]
    context.plan = plan_gather(
        context.shards, owners_at(me, context.hosts), me, lambda name: name not in context.lost
    )


@when("{lost:d} of the others failed recently, and a gather of {parts:d} parts arrives at {first}")
def step_gather_lost(context, lost, parts, first):
    context.lost = {host.name for host in context.hosts[1 : lost + 1]}
    step_gather(context, parts, first)


@then("it is divided among {asked:d} hosts, and each part is queried once")
def step_divided(context, asked):
    plan = context.plan
    if plan is None:
        assert asked == 1
        return
    assert len(plan.others) + bool(plan.own) == asked, plan
    names = [*plan.own, *(name for share in plan.others for name in share.shards)]
    assert sorted(names) == sorted(context.shards)


@then("all hosts compute the same owner for each of {parts:d} shards, in any order of" " the hosts")
def step_same_owner(context, parts):
    tables = [
        owners_at(host.name, context.hosts[index:] + context.hosts[:index])
        for index, host in enumerate(context.hosts)
    ]
    context.owners = {name: tables[0].owner(name) for name in SHARDS[:parts]}
    for table in tables:
        assert {name: table.owner(name) for name in SHARDS[:parts]} == context.owners


@then("each strong host owns {even:d} of them")
def step_each_owns(context, even):
    strong = [host.name for host in context.hosts if host.processor > 1]
    owned = list(context.owners.values())
    assert {name: owned.count(name) for name in strong} == dict.fromkeys(strong, even)


@when("one of the strong hosts leaves")
def step_one_goes(context):
    context.before = context.owners
    context.hosts.pop(0)


@then("at least {least:d} of them have the same owner as before")
def step_same_as_before(context, least):
    same = sum(context.before[name] == owner for name, owner in context.owners.items())
    assert same >= least, same


# One gather


class GatherModel:
    """A gather of 9 parts over 3 hosts on a virtual clock; ``behaviors`` sets how hosts respond."""

    def __init__(self):
        hosts = [HostRecord(f"host-{index}", "zone", "a:1", True, 1.0) for index in range(3)]
        shares = [
            HostShare(hosts[index], tuple(f"{index}-{part}" for part in "abc")) for index in (1, 2)
        ]
        plan = GatherPlan(("0-a", "0-b", "0-c"), tuple(shares))
        self.run = SplitRun(plan, 8, RunTimes(0.0, DUE, DEADLINE))
        self.now = 0.0
        self.events = []
        self.order = count()
        self.queried_here = []
        self.repeats = []
        self.outcome = None
        self.ended_at = None
        self.returns_locally = True
        self.ends_locally = False
        self.behaviors = {}

    def at(self, when, event, *args):
        heapq.heappush(self.events, (when, next(self.order), event, args))

    def take(self, effects):
        for effect in effects:
            match effect:
                case QueryHost(number, share):
                    self.start_share(number, share.host.name, share.shards)
                case QueryLocally(number, shards, is_repeat):
                    is_own = shards[0].startswith("0")
                    if not is_own:
                        self.queried_here += shards
                        self.repeats.append(is_repeat)
                    if not is_own and self.ends_locally:
                        self.at(self.now + 1.0, self.end, number)
                    if is_own or self.returns_locally:
                        span = 10.0 if is_own else 5.0
                        self.at(self.now + span, self.parts, number, shards)
                        self.at(self.now + span, self.end, number)
                case CancelShare() | HostSilent():
                    pass
                case Finish(outcome):
                    self.outcome = outcome
                    self.ended_at = self.now

    def start_share(self, number, host, shards):
        if host in self.behaviors:
            self.behaviors[host](number, shards)
            return
        self.at(10.0, self.parts, number, shards)
        self.at(10.0, self.end, number)

    def parts(self, number, shards):
        bundle = PartsBundle(tuple(shards), tuple(name.encode() for name in shards), b"")
        try:
            return self.run.on_parts(number, bundle, self.now)
        except ValueError:
            return self.run.on_lost(number, True, self.now)

    def end(self, number):
        return self.run.on_end(number, self.now)

    def lost(self, number, may_have_run):
        return self.run.on_lost(number, may_have_run, self.now)

    def run_to_end(self):
        self.take(self.run.start(0.0))
        while self.outcome is None:
            due = self.run.next_wake
            if self.events and self.events[0][0] <= due:
                self.now, _, event, args = heapq.heappop(self.events)
                self.take(event(*args))
            else:
                self.now = max(self.now, due)
                self.take(self.run.on_timer(self.now))


@given("a gather of 9 parts over 3 hosts")
def step_model(context):
    context.model = GatherModel()


@when("the second host {behavior}")
def step_behavior(context, behavior):
    model = context.model

    def returns(first, rest_at=None, ends=True):
        def start_share(number, shards):
            model.at(10.0, model.parts, number, shards[:first])
            if rest_at is not None:
                model.at(rest_at, model.parts, number, shards[first:])
            if ends:
                model.at(rest_at or 10.0, model.end, number)

        return start_share

    def lost(at, first, may_have_run):
        def start_share(number, shards):
            if first:
                model.at(at / 2, model.parts, number, shards[:first])
            model.at(at, model.lost, number, may_have_run)

        return start_share

    def late(number, shards):
        model.at(70.0, model.parts, number, shards)

    def busy(number, shards):
        model.at(50.0, model.parts, number, shards)

    def late_lost(number, shards):
        model.at(70.0, model.lost, number, True)

    def of_others(number, shards):
        model.at(10.0, model.parts, number, ("0-a", "0-b"))

    def lost_with_spent(number, shards):
        bundle = PartsBundle((), (), b"", shards[:1])
        model.at(5.0, model.run.on_parts, number, bundle, 5.0)
        model.at(10.0, model.lost, number, True)

    def twice(number, shards):
        model.at(5.0, model.parts, number, shards[:1])
        model.at(10.0, model.parts, number, shards[:1])

    model.behaviors["host-1"] = {
        "returns all at once": returns(3),
        "returns 2 at once and 1 at 60 ms": returns(2, 60.0),
        "returns 2 at once and 1 at 300 ms": returns(2, 300.0),
        "returns 1 at once and 2 at 300 ms": returns(1, 300.0),
        "returns 2 at once and ends": returns(2),
        "returns 1 at once and ends": returns(1),
        "is lost at once": lost(10.0, 0, True),
        "is lost at 30 ms with 1 returned": lost(30.0, 1, True),
        "is lost with 1 that others may not query": lost_with_spent,
        "refuses at once": lost(10.0, 0, False),
        "is silent": lambda number, shards: None,
        "returns parts of others": of_others,
        "returns a part twice": twice,
        "is silent and returns all late": late,
        "is silent and is lost": late_lost,
        "is silent and returns all at 50 ms": busy,
    }[behavior]


@when("this host {here} what it then queries itself")
def step_here(context, here):
    context.model.returns_locally = here == "gets"
    context.model.ends_locally = here == "gives up"
    context.model.run_to_end()


@then(
    "it ends as {outcome} at {at:d} ms, and this host has queried {asked:d} parts of the other"
    " one"
)
def step_ends(context, outcome, at, asked):
    model = context.model
    match model.outcome:
        case Gathered(bundles, missing):
            names = [name for bundle in bundles for name in bundle.shards]
            assert len(set(names)) == len(names) == 9 - missing
            found = f"{len(names)} of 9"
        case Failed(reason):
            found = str(reason)
        case other:
            found = repr(other)
    assert (found, model.ended_at, len(model.queried_here)) == (outcome, at, asked), (
        found,
        model.ended_at,
        model.queried_here,
    )


@given("a host among 6 with 90 shards of which {gone:d} have no server left")
def step_without_servers(context, gone):
    clock = ManualClock(1000.0)
    pool = ConnectionPool(0, spares=False)
    state = NodeState("host-0", "zone-0", None, pool, BUDGET_LIMITS, SPLIT_POLICY, clock, Random(1))
    shards = SHARDS[:90]
    state.table.update(
        (ServerRecord(f"i-{name}", name, "127.0.0.1", 80, "zone-0", 2, False) for name in shards),
        clock.now(),
    )
    state.table.update(
        (
            ServerRecord(f"i-{name}", name, "127.0.0.1", 80, "zone-0", 2, index < gone)
            for index, name in enumerate(shards)
        ),
        clock.now(),
    )
    hosts = [HostRecord(f"host-{index}", "zone-0", "a:1", True, 1.0) for index in range(6)]
    state.owners.set_hosts(hosts, clock.now())
    links = SimpleNamespace(is_available=lambda name, now: True)
    context.gathers = SplitGathers(state, None, links)
    context.route = scatter_route(shards, destination=AllShards(tuple(shards), 10, 0.95))


@then("it {does} a gather that needs 86 of them")
def step_splits(context, does):
    times = RunTimes(1000.0, 1100.0, 2000.0)
    gather = context.gathers.create(
        SimpleNamespace(http=None, fingerprint="gather"), context.route, times
    )
    assert (gather is not None) == (does == "splits")


@then("gathers of any hosts and any order of {steps:d} events satisfy these rules")
def step_any_order(context, steps):
    @hypothesis_settings(max_examples=steps, deadline=None, derandomize=True)
    @for_all(st.data())
    def check(data):
        hosts = data.draw(st.integers(0, 4))
        own = data.draw(st.integers(0 if hosts else 1, 4))
        plan = GatherPlan(
            tuple(f"own-{part}" for part in range(own)),
            tuple(
                HostShare(
                    HostRecord(f"host-{index}", "zone", "a:1", True, 1.0),
                    tuple(f"{index}-{part}" for part in range(data.draw(st.integers(1, 4)))),
                )
                for index in range(hosts)
            ),
        )
        total = own + sum(len(share.shards) for share in plan.others)
        least = data.draw(st.integers(1, total))
        run = SplitRun(plan, least, RunTimes(0.0, DUE, DEADLINE))
        run_random_events(data, run, total, least)

    check()


def run_random_events(data, run, total, least):
    shares = {}
    finished = []
    now = 0.0

    def take(effects):
        for effect in effects:
            match effect:
                case QueryHost(number, share):
                    shares[number] = list(share.shards)
                case QueryLocally(number, shards, _):
                    shares[number] = list(shards)
                case Finish(outcome):
                    finished.append((outcome, now))

    take(run.start(now))
    while not finished:
        now += data.draw(st.sampled_from((0.0, 1.0, 30.0, 400.0)))
        if now >= run.next_wake:
            take(run.on_timer(now))
            continue
        number = data.draw(st.sampled_from(sorted(shares)))
        match data.draw(st.sampled_from(("parts", "end", "lost"))):
            case "parts":
                some = tuple(data.draw(st.lists(st.sampled_from(shares[number]), max_size=3)))
                bundle = PartsBundle(some, tuple(name.encode() for name in some), b"")
                try:
                    take(run.on_parts(number, bundle, now))
                except ValueError:
                    take(run.on_lost(number, True, now))
            case "end":
                take(run.on_end(number, now))
            case "lost":
                take(run.on_lost(number, data.draw(st.booleans()), now))
    outcome, at = finished[0]
    assert len(finished) == 1 and at <= DEADLINE + 400.0
    if isinstance(outcome, Gathered):
        names = [name for bundle in outcome.bundles for name in bundle.shards]
        assert len(set(names)) == len(names) >= least
        assert len(names) + outcome.missing == total


# Agreed servers


def table_of(records, name="zone-0"):
    table = TargetTable(name, BUDGET_LIMITS, POLICY, Random(1))
    table.update(records, 0.0)
    return table


@given("3 servers in 3 zones of each of 40 shards, listed in any order")
def step_servers(context):
    context.records = [
        ServerRecord(f"i-{name}-{zone}", name, "127.0.0.1", 80, f"zone-{zone}", 2, False)
        for name in SHARDS[:40]
        for zone in range(3)
    ]


@then("hosts agree on 2 servers of each, one of them in the zone of the owner")
def step_agree(context):
    tables = [table_of(context.records), table_of(context.records[::-1], "zone-1")]
    others = set()
    for name in SHARDS[:40]:
        for zone in range(3):
            first, second = (table.agreed_servers(name, 2, f"zone-{zone}") for table in tables)
            assert first == second and len(first) == 2
            assert f"i-{name}-{zone}" in first
            others |= {server_id[-1] for server_id in first if server_id[-1] != str(zone)}
    assert others == {"0", "1", "2"}


@then("with 2 servers of each shard left, or one of 3 leaving, they need not agree")
def step_need_not(context):
    left = [one for one in context.records if one.zone != "zone-2"]
    leaving = [one._replace(draining=one.zone == "zone-2") for one in context.records]
    assert table_of(leaving).agreed_servers(SHARDS[0], 2, "zone-0") is None
    assert table_of(left).agreed_servers(SHARDS[0], 2, "zone-0") is None


@given('a share of a shard with 3 servers, of which "a" and "b" are agreed on')
def step_share(context):
    records = [
        ServerRecord(name, "shard", "127.0.0.1", 80, "zone-0", 2, False) for name in ("a", "b", "c")
    ]
    context.servers = table_of(records)
    context.servers.set_max_connections({"shard": 60})


@when("of its servers {which} are {how}")
def step_unusable(context, which, how):
    is_barred = how == "leaving"
    for name in [] if which == "none" else which.split(" and "):
        target = context.servers.upstream("shard").targets[name]
        target.record_draining(0.0) if is_barred else target.eject(0.0)


@then('a share that is {known} is sent to "{first}" first, and {may} be queried by another host')
def step_first(context, known, first, may):
    rules = ShareRules({"shard": frozenset("ab")}, False, DUE)
    times = RunTimes(0.0, DEADLINE, DEADLINE)
    run = ForwardRun(scatter_route(["shard"]), ("shard",), times, context.servers, rules)
    run.may_use_other_servers = known == "known to the first host"
    effects = run.start(0.0)
    if first == "none":
        assert not effects and not run.shards["shard"].is_spent
        return
    (send,) = effects
    assert send.target.server_id in first.split(" or ")
    assert run.shards["shard"].is_spent == (may == "may not")


# Messages

KNOWN_SHARDS = ["a", "b", "c"]
REQUEST = PartsRequest(1, "GET", "/all/1", [], b"", 800.0, 50.0, ["a", "b"])
RESPONSE = PartsNews(1, [0, 1], [b"x", b"y"], b"r" * 32, [])


@then('a request for a share with {mistake} is refused naming "{field}"')
def step_bad_share(context, mistake, field):
    check_parts_request(REQUEST, KNOWN_SHARDS)
    nan = float("nan")
    invalid = {
        "no time left": REQUEST._replace(time_left=0.0),
        "a time that is not a number": REQUEST._replace(time_left=nan),
        "a due time that is not a number": REQUEST._replace(due_in=nan),
        "no shard": REQUEST._replace(shards=[]),
        "a shard twice": REQUEST._replace(shards=["a", "a"]),
        "a shard of no route": REQUEST._replace(shards=["a", "z"]),
        "more shards than the route": REQUEST._replace(shards=["a", "b", "c", "d"]),
    }[mistake]
    try:
        check_parts_request(invalid, KNOWN_SHARDS)
    except AlderhatchError as exc:
        assert exc.failure.field == field, exc.failure
        return
    raise AssertionError("taken")


@then('an answer with {mistake} is refused naming "{field}"')
def step_bad_answer(context, mistake, field):
    assert to_parts_bundle(RESPONSE, ("a", "b"), 2) == PartsBundle(
        ("a", "b"), (b"x", b"y"), b"r" * 32
    )
    invalid = {
        "an index beyond the request": RESPONSE._replace(shards=[0, 2]),
        "a negative index": RESPONSE._replace(shards=[0, -1]),
        "a spent index beyond it": RESPONSE._replace(spent=[2]),
        "fewer signatures than parts": RESPONSE._replace(signatures=[b"x"]),
        "an empty signature": RESPONSE._replace(signatures=[b"x", b""]),
        "a truncated record": RESPONSE._replace(records=b"r" * 31),
        "more records than are wanted": RESPONSE._replace(records=b"r" * 48),
    }[mistake]
    try:
        to_parts_bundle(invalid, ("a", "b"), 2)
    except ValueError as exc:
        assert str(exc).startswith(field), exc
        return
    raise AssertionError("taken")


@then("merging any parts in any bundles gives the greatest records of all")
def step_merged(context):
    record = st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES)
    few = st.sampled_from([bytes([number]) * RECORD_BYTES for number in range(3)])
    part = st.lists(record | few, max_size=5).map(b"".join)
    bundles = st.lists(st.lists(part, min_size=1, max_size=4), min_size=1, max_size=4)

    @hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
    @for_all(bundles, st.integers(1, 6))
    def check(groups, most):
        destination = AllShards(("a",), most, 0.5)
        route = SimpleNamespace(destination=destination)
        dialect = PlatformDialect()
        merged = []
        numbers = count()
        for group in groups:
            replies = {str(index): reply(body, next(numbers)) for index, body in enumerate(group)}
            merged.append(dialect.bundle(destination, replies))
        res = dialect.response(route, Gathered(tuple(merged), 3))
        every = [body for group in groups for body in group]
        assert res.body == merge_top_k(every, most)
        assert len(dict(res.fields)[b"part-seals"].split(b", ")) == len(every)
        assert dict(res.fields)[b"missing-parts"] == b"3"

    check()


def reply(body, number):
    """Return an answer; no two servers give the same signature."""

    def header(name):
        return b"sealed.%d" % number if name == SEAL else None

    return SimpleNamespace(body=body, header=header)


@when("a host that returned 2 of its 3 parts is lost after the answer is due")
def step_lost_late(context):
    run = context.model.run
    context.effects = run.start(0.0)
    for number, shards in ((2, ("0-a", "0-b", "0-c")), (0, ("1-a", "1-b")), (1, ("2-a", "2-b"))):
        run.on_parts(number, PartsBundle(shards, shards, b""), 50.0)
    last = PartsBundle(("2-c",), (b"s",), b"")
    run.on_parts(1, last, DUE - 1.0)
    context.effects = run.on_lost(0, True, DUE + 1.0)


@then("the gather ends, and no host is asked for the third part")
def step_not_asked(context):
    assert context.model.run.finished
    assert not [one for one in context.effects if isinstance(one, QueryLocally | QueryHost)]
    assert [one for one in context.effects if isinstance(one, Finish)]
