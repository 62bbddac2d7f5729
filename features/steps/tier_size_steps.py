from __future__ import annotations

from unittest.mock import patch

import trio
from behave import given, then, when

from alderhatch.clock import SECOND
from alderhatch.core.forwarding.caller_hosts import choose_caller_hosts
from alderhatch.node import tier_server
from alderhatch.node.leader_search import LeaderSearch
from alderhatch.node.tier_messages import Place, TierView
from features.support.tier_hosts import CODEC, CONNECTIONS, TierOfHosts, max_bytes_sent, server_list

KIB = 1024


@given("a leader with {hosts:d} hosts")
def step_leader(context, hosts):
    context.tier = TierOfHosts(hosts)
    context.script = []


@given("a leader with {hosts:d} hosts, which followed another leader until now")
def step_new_leader(context, hosts):
    step_new_leader_of_more(context, hosts, 0)


@given("a leader with {hosts:d} hosts, which followed another leader with {more:d} more until now")
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


@when("the leader's process stalls for {span:d} ms")
def step_stall(context, span):
    async def stall(tier):
        # Tasks that become due during the jump run after it, the session watch first.
        trio.lowlevel.current_clock().jump(span / SECOND)

    context.script.append(stall)


@when("host {index:d} sends no more reports")
def step_silent(context, index):
    async def silence(tier):
        tier.hosts[index].link.queue_message = lambda message: None

    context.script.append(silence)


def tier_after_script(context):
    """Return the tier after the steps of the scenario; they run only once."""
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
            context.tier.run_script(script)
        context.script = []
    return context.tier


@then("every host was sent at most {kilobytes:d} KB")
def step_bytes(context, kilobytes):
    max_bytes = max_bytes_sent(tier_after_script(context))
    assert max_bytes <= kilobytes * KIB, max_bytes


@then("every host advertises the same hosts to callers")
def step_advertised(context):
    advertised = set()
    for host in tier_after_script(context).hosts:
        view = host.received(TierView)[-1]
        chosen = choose_caller_hosts(view.hosts, CONNECTIONS, view.processor_needed)
        advertised.add(tuple(one.name for one in chosen))
    assert len(advertised) == 1 and len(next(iter(advertised))) >= 4, advertised


@then("the leader has encoded at most {messages:d} update messages")
def step_encoded(context, messages):
    tier_after_script(context)
    updates = [one for one in context.encoded if type(one) is not tier_server.Pulse]
    assert len(updates) <= messages, len(updates)


@then("{count:d} hosts follow the leader")
def step_followers(context, count):
    tier_after_script(context)
    assert context.followers == count, context.followers


@then("host {index:d} is not advertised to callers")
def step_not_advertised(context, index):
    view = tier_after_script(context).hosts[0].received(TierView)[-1]
    assert context.tier.hosts[index].name not in [one.name for one in view.hosts]


@then("no host was sent a view of fewer than {count:d} hosts")
def step_min_view(context, count):
    for host in tier_after_script(context).hosts:
        views = host.received(TierView)
        assert views and all(len(view.hosts) >= count for view in views)


@then("every host was sent a view of {count:d} hosts")
def step_last_view(context, count):
    for host in tier_after_script(context).hosts:
        assert [len(view.hosts) for view in host.received(TierView)][-1:] == [count]


@given("a host that searches for the leader among {count:d} hosts")
def step_search(context, count):
    context.places = [Place(f"host-{index}", f"10.0.0.{index}", 1) for index in range(count)]
    context.search = LeaderSearch()


async def query_round(search, places, unanswered):
    search.begin_round(places)
    for index in range(len(places)):
        place = search.next_place()
        scope = search.begin_query(place)
        with scope:
            if index < unanswered:
                scope.cancel()
            await trio.lowlevel.checkpoint()
        search.end_query(place)
    search.end_round()


@when("{unanswered:d} of them don't answer in {rounds:d} rounds")
def step_rounds(context, unanswered, rounds):
    for _ in range(rounds):
        trio.run(query_round, context.search, context.places, unanswered)


@then("its backoff factor is {backoff_factor:d}")
def step_backoff(context, backoff_factor):
    assert context.search.backoff_factor == backoff_factor, context.search.backoff_factor


@then("after a round in which all answer its backoff factor is 1 again")
def step_backoff_reset(context):
    trio.run(query_round, context.search, context.places, 0)
    assert context.search.backoff_factor == 1
