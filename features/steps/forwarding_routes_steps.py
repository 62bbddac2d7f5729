from __future__ import annotations

from collections import Counter

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from alderhatch.core.forwarding.route import SplitUpstreams, WeightedUpstream
from alderhatch.core.forwarding.route_table import RouteTable
from alderhatch.core.forwarding.top_k import merge_top_k
from alderhatch.core.forwarding.weighted_round_robin import WeightedRoundRobin
from alderhatch.http.server import parse_target
from features.support.forward_model import single_route

SEGMENTS = st.lists(st.sampled_from(["a", "b", "cc"]), max_size=4)


def prefix_of(segments):
    return "/" + "".join(f"{one}/" for one in segments)


def naive_find(routes, host, path):
    found = [one for one in routes if one.host == host and path.startswith(one.path_prefix)]
    return max(found, key=lambda one: len(one.path_prefix), default=None)


@then("over random routes and paths the table finds what a naive search finds")
def step_differential(context):
    places = st.tuples(st.sampled_from(["h", "i"]), SEGMENTS)

    @for_all(st.lists(places, max_size=12), places, st.sampled_from(["", "x", "/"]))
    def check(wanted, asked, end):
        chosen = {(host, prefix_of(segments)) for host, segments in wanted}
        routes = [single_route("u", host=host, path_prefix=prefix) for host, prefix in chosen]
        path = prefix_of(asked[1]) + end
        found = RouteTable(routes).find(asked[0], path)
        assert found == naive_find(routes, asked[0], path)

    check()


@given('routes of "{host}" with the prefixes {prefixes}')
def step_routes(context, host, prefixes):
    names = [one.strip('"') for one in prefixes.split()]
    routes = [single_route("u", host=host, path_prefix=name, name=name) for name in names]
    context.route_table = RouteTable(routes)


@then('a request for "{path}" of "{host}" has the route "{prefix}"')
def step_route(context, path, host, prefix):
    route = context.route_table.find(host, path)
    assert (route.path_prefix if route else "none") == prefix, route


@given('a split of "old" with weight 3, "new" with weight 1 and "off" with weight 0')
def step_split(context):
    weights = (("old", 3.0), ("new", 1.0), ("off", 0.0))
    context.split = SplitUpstreams(tuple(WeightedUpstream(*one) for one in weights))


@then('of 100 requests 75 go to "old", 25 to "new" and 0 to "off"')
def step_split_counts(context):
    counter = WeightedRoundRobin()
    counts = Counter(counter.pick(context.split) for _ in range(100))
    assert counts == {"old": 75, "new": 25}, counts


@then("over random parts the merge gives what a naive sort gives")
def step_merge(context):
    record = st.binary(min_size=16, max_size=16)
    part = st.tuples(st.lists(record, max_size=8), st.binary(max_size=15))

    @for_all(st.lists(part, max_size=6), st.integers(0, 12))
    def check(parts, wanted):
        bodies = [b"".join(records) + rest for records, rest in parts]
        records = sorted((one for some, _ in parts for one in some), reverse=True)
        assert merge_top_k(bodies, wanted) == b"".join(records[:wanted])

    check()


@then('the target "{target}" has the path "{path}" and the parameter "q" is "{q}"')
@then('the target "{target}" has the path "{path}" and the parameter "q" is ""')
def step_target(context, target, path, q=None):
    assert parse_target(target) == (path, {} if q is None else {"q": q})


@then("the path of any such target is the target up to its first question mark")
def step_any_target(context):
    @for_all(st.text("/?#&=;:@[]a.%2F", max_size=20))
    def check(rest):
        target = f"/{rest}"
        path, _ = parse_target(target)
        assert path == target.split("?")[0]

    check()
