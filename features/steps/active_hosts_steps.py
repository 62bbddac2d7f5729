from __future__ import annotations

import trio
from behave import given, then, when

from alderhatch.clock import SECOND
from features.support.watching_hosts import UPSTREAM, WatchingHosts

MAX_LOOK_UP_MS = 300.0
"""A caller waits a second for addresses; this leaves it most of that."""


@given("a tier of {hosts:d} hosts, of which the {strong:d} strong ones are active")
def step_tier(context, hosts, strong):
    context.tier = WatchingHosts(hosts, strong)
    context.script = []


def add(context, action):
    async def run(tier):
        action(tier)

    context.script.append(run)


@when("the strong hosts lose power")
def step_power(context):
    add(context, lambda tier: tier.dark.update(tier.strong))


@when("the processes of the strong hosts are killed")
def step_killed(context):
    add(context, lambda tier: tier.killed.update(tier.strong))


@when("the leader loses power")
def step_leader_power(context):
    add(context, lambda tier: tier.dark.add(tier.leader))


@when("a weak host is cut off from all others")
def step_cut_off(context):
    def cut(tier):
        context.cut_off = tier.weak[0]
        tier.dark.add(tier.weak[0])

    add(context, cut)


@when("the strong hosts are back, and a new leader sends its view")
def step_back(context):
    def restore(tier):
        tier.dark.clear()
        tier.follow(tier.strong[1])

    add(context, restore)


@when("the strong hosts can't be reached for {span:d} ms")
def step_pause(context, span):
    async def pause(tier):
        tier.dark.update(tier.strong)
        await trio.sleep(span / SECOND)
        tier.dark.clear()

    context.script.append(pause)


@when("the leader is killed, and another one is followed {span:d} ms later")
def step_next_leader(context, span):
    async def change(tier):
        tier.connects.clear()
        tier.killed.add(tier.leader)
        await trio.sleep(span / SECOND)
        tier.follow(tier.strong[1])
        await trio.sleep(2.0)

    context.script.append(change)


@when("{span:d} ms pass")
def step_pass(context, span):
    context.script.append(lambda tier: trio.sleep(span / SECOND))


def run(context, check):
    """Run the steps of the scenario, then an async check of the tier."""
    checks = context.checks = [*getattr(context, "checks", []), check]

    async def script(tier):
        for step in context.script:
            await step(tier)
        for one in checks:
            await one(tier)

    context.tier.__init__(len(context.tier.records), len(context.tier.strong))
    context.tier.run_script(script)


async def look_ups(tier):
    """Return what each running host names to a caller that asks it now."""
    found = {}

    async def ask(name):
        began = trio.current_time()
        found[name] = await tier.look_up(name)
        span = (trio.current_time() - began) * SECOND
        assert span <= MAX_LOOK_UP_MS, (name, span)

    async with trio.open_nursery() as nursery:
        for name in tier.running():
            nursery.start_soon(ask, name)
    return found


@then(
    "each running host soon names at least {count:d} running hosts of {zones:d} zones to its"
    " callers, and no lost one"
)
def step_names_running(context, count, zones):
    async def check(tier):
        running = set(tier.running())
        for name, hosts in (await look_ups(tier)).items():
            assert {host.name for host in hosts} <= running, (name, hosts)
            assert len(hosts) >= count, (name, hosts)
            assert len({host.zone for host in hosts}) == zones, (name, hosts)

    run(context, check)


@then("each running host soon names only strong hosts to its callers")
def step_names_strong(context):
    async def check(tier):
        strong = set(tier.strong) - tier.dark
        for name, hosts in (await look_ups(tier)).items():
            assert {host.name for host in hosts} == strong, (name, hosts)

    run(context, check)


@then("that host still names the strong hosts to its callers")
def step_still_names(context):
    async def check(tier):
        hosts = await tier.look_up(context.cut_off)
        assert {host.name for host in hosts} == set(tier.strong), hosts

    run(context, check)


@then("no host that stands in opens connections ahead of requests")
@then("no weak host opens connections ahead of requests")
def step_not_warm(context):
    async def check(tier):
        warm = [name for name in tier.weak if tier.states[name]._pool.keeps_warm(UPSTREAM)]
        assert not warm, warm

    run(context, check)


@then("the running hosts hold at most {count:d} connections to each server")
def step_connections(context, count):
    async def check(tier):
        active = [tier.states[name] for name in tier.running() if tier.states[name].stands_in]
        assert active
        held = sum(state.table.connection_shares()["i-1"] for state in active)
        assert held <= count, held

    run(context, check)


@then("no host was connected to more than {count:d} times")
def step_connects(context, count):
    async def check(tier):
        assert max(tier.connects.values(), default=0) <= count, tier.connects

    run(context, check)


@then("for {span:d} ms after that it does so without another probe")
def step_no_other_probe(context, span):
    async def check(tier):
        standby = [name for name in tier.running() if not tier.states[name].is_advertised]
        for _ in range(7):
            await trio.sleep(span / 7 / SECOND)
            for name in standby:
                began = trio.current_time()
                hosts = await tier.look_up(name)
                assert trio.current_time() == began, name
                assert {host.name for host in hosts} <= set(tier.running()), hosts

    run(context, check)
