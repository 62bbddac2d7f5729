from __future__ import annotations

from unittest.mock import patch

import trio
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.core.forwarding.caller_hosts import choose_caller_hosts
from alderhatch.node import tier_server
from alderhatch.node.leader_search import LeaderSearch
from alderhatch.node.tier_messages import Place, TierView
from features.support.tier_hosts import CODEC, CONNECTIONS, TierOfHosts, most_bytes, server_list

KB = 1024


@given("a leader before {hosts:d} hosts")
def step_leader(context, hosts):
    context.tier = TierOfHosts(hosts)
    context.script = []


@given("a leader before {hosts:d} hosts, which followed another one until now")
def step_new_leader(context, hosts):
    step_new_leader_of_more(context, hosts, 0)


@given("a leader before {hosts:d} hosts, which followed another one with {more:d} more until now")
def step_new_leader_of_more(context, hosts, more):
    context.tier = TierOfHosts(hosts, previous_host_count=hosts + more)
    context.script = []


@when("all of them join within {span:d} ms, and serve callers from then on")
def step_join(context, span):
    for host in context.tier.hosts:
        host.serving = True
    context.script.append(lambda tier: tier.join_all(span))


@when("{seconds:d} seconds pass")
@when("{seconds:d} second passes")
def step_pass(context, seconds):
    context.script.append(lambda tier: trio.sleep(seconds))


@when("the list of {servers:d} servers changes {times:d} times, {gap:d} ms apart")
def step_lists(context, servers, times, gap):
    async def change(tier):
        for number in range(times):
            tier.server.update_server_list(server_list(servers, f"list-{number}"))
            await trio.sleep(gap / SECOND)

    context.script.append(change)


@when("the leader's process stands still for {span:d} ms")
def step_stall(context, span):
    async def stall(tier):
        # What is due while the clock jumps runs afterwards, the watch first.
        trio.lowlevel.current_clock().jump(span / SECOND)

    context.script.append(stall)


@when("host {index:d} says nothing more")
def step_silent(context, index):
    async def silence(tier):
        tier.hosts[index].link.say = lambda message: None

    context.script.append(silence)


def played(context):
    """Return the tier after what the steps told; it is played once."""
    if context.script:
        encoded = context.encoded = []
        encode = CODEC.encode

        def count(message):
            encoded.append(message)
            return encode(message)

        async def script(tier):
            for step in context.script:
                await step(tier)
            context.followers = tier.followers()

        with patch.object(CODEC, "encode", count):
            context.tier.server._updates._encode = count
            context.tier.play(script)
        context.script = []
    return context.tier


@then("every host was told at most {kilobytes:d} KB")
def step_bytes(context, kilobytes):
    most = most_bytes(played(context))
    assert most <= kilobytes * KB, most


@then("every host names the same hosts to callers")
def step_names(context):
    named = set()
    for host in played(context).hosts:
        view = host.heard(TierView)[-1]
        chosen = choose_caller_hosts(view.hosts, CONNECTIONS, view.processor_needed)
        named.add(tuple(one.name for one in chosen))
    assert len(named) == 1 and len(next(iter(named))) >= 4, named


@then("the leader has encoded at most {messages:d} messages of news")
def step_encoded(context, messages):
    played(context)
    news = [one for one in context.encoded if type(one) is not tier_server.Pulse]
    assert len(news) <= messages, len(news)


@then("{count:d} hosts follow the leader")
def step_followers(context, count):
    played(context)
    assert context.followers == count, context.followers


@then("host {index:d} is not named to callers")
def step_not_named(context, index):
    view = played(context).hosts[0].heard(TierView)[-1]
    assert context.tier.hosts[index].name not in [one.name for one in view.hosts]


@then("no host was told of fewer than {count:d} hosts")
def step_told_many(context, count):
    for host in played(context).hosts:
        views = host.heard(TierView)
        assert views and all(len(view.hosts) >= count for view in views)


@then("every host was told of {count:d} hosts")
def step_told_of(context, count):
    for host in played(context).hosts:
        assert [len(view.hosts) for view in host.heard(TierView)][-1:] == [count]


@given("a host that looks for the leader among {count:d} hosts")
def step_search(context, count):
    context.places = [Place(f"host-{index}", f"10.0.0.{index}", 1) for index in range(count)]
    context.search = LeaderSearch()


async def ask_round(search, places, unanswered):
    search.begin_round(places)
    for index in range(len(places)):
        place = search.next_place()
        scope = search.begin_attempt(place)
        with scope:
            if index < unanswered:
                scope.cancel()
            await trio.lowlevel.checkpoint()
        search.end_attempt(place)
    search.end_round()


@when("{unanswered:d} of them don't answer in {rounds:d} rounds")
def step_rounds(context, unanswered, rounds):
    for _ in range(rounds):
        trio.run(ask_round, context.search, context.places, unanswered)


@then("it asks {backoff_factor:d} times less often")
def step_slowness(context, backoff_factor):
    assert context.search.backoff_factor == backoff_factor, context.search.backoff_factor


@then("after a round in which all answer it asks as often as at first")
def step_fast_again(context):
    trio.run(ask_round, context.search, context.places, 0)
    assert context.search.backoff_factor == 1
