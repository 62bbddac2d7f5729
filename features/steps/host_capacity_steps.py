from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import Mock

import trio
from behave import given, then, when
from trio.testing import MockClock

from alderhatch.clock import SECOND
from alderhatch.core.control.configuration_register import StoredConfiguration
from alderhatch.core.forwarding.caller_hosts import HostRecord
from alderhatch.core.forwarding.gather_placement import faster_hosts
from alderhatch.core.forwarding.outcome import FailureReason, NotRun
from alderhatch.core.forwarding.route_table import RouteTable
from alderhatch.errors import AlderhatchError, ErrorKind, Failure
from alderhatch.http.messages import HttpRequest, HttpResponse
from alderhatch.node.caller_handler import CallerHandler
from alderhatch.node.hand_over_client import HandedResponse
from alderhatch.node.quota_gate import QuotaGate
from alderhatch.node.service_turns import ServiceTurns
from alderhatch.node.tier_messages import TierView
from alderhatch.platform.dialect import PlatformDialect
from features.steps.caller_hosts_steps import node_with_servers
from features.support.busy_hosts import BusyHosts, traffic
from features.support.forward_model import scatter_route

VERSION = 7
LIGHT_WORK_MS = 7.5
HEAVY_WORK_MS = 22.5
LIGHT_FRACTION = 0.25
END_MS = 4 * SECOND
"""Time after the last request in which all of them end."""


@given("{hosts:d} hosts, {strong:d} of them strong, and gathers over {shards:d} shards")
def step_tier(context, hosts, strong, shards):
    names = [f"shard{number:03}" for number in range(shards)]
    context.light = scatter_route(
        names, name="light", path_prefix="/light/", target_latency=70.2, timeout=1028.0
    )
    context.heavy = scatter_route(names, name="heavy", target_latency=147.0)
    context.model = BusyHosts(hosts, strong, (context.light, context.heavy), names, seed=1)
    context.model.work_by_route = {"light": LIGHT_WORK_MS, "heavy": HEAVY_WORK_MS}


@when("callers send {rate:d} gathers a second, a quarter of them light, for {seconds:d} seconds")
def step_traffic(context, rate, seconds):
    shares = {context.light: LIGHT_FRACTION, context.heavy: 1.0 - LIGHT_FRACTION}
    traffic(context.model, shares, rate, seconds)
    context.model.run_until(seconds * SECOND + END_MS)


@then("{kind} gathers earn at least {share:g} of their credit from second {second:d} on")
def step_earned(context, kind, share, second):
    route = context.light if kind == "light" else context.heavy
    earned = context.model.credits(route, second * SECOND).values()
    assert earned
    assert sum(earned) / len(earned) >= share, sum(earned) / len(earned)


# Which host runs a gather

OWN = "own"


def host_record(name, processor):
    return HostRecord(name, "zone-0", f"{name}:1", True, processor)


@given("{standing} host with {own:g} cores beside active hosts with 1.4 and 0.5 cores")
def step_own_host(context, standing, own):
    context.own_processor = own
    context.active = [host_record("fast", 1.4), host_record("slow", 0.5)]
    if standing == "an active":
        context.active.append(host_record(OWN, own))


@when("it receives a gather over {shards:d} shards whose target latency is {target:g} ms")
def step_receives(context, shards, target):
    names = [f"shard{number:03}" for number in range(shards)]
    route = scatter_route(names, target_latency=target)
    hosts = faster_hosts(route, OWN, context.own_processor, context.active)
    context.runs_at = [host.name for host in hosts] or [OWN]


@then("it runs it")
def step_runs_itself(context):
    assert context.runs_at == [OWN], context.runs_at


@then("a faster host runs it")
def step_faster_runs(context):
    assert context.runs_at == ["fast"], context.runs_at


# What becomes of a gather that is handed over

FAILURES = {
    "can't be reached": ErrorKind.NOT_SERVING,
    "are stopping": ErrorKind.STOPPING,
    "lack the configuration version": ErrorKind.NO_CONFIGURATION,
    "are lost while they have the request": ErrorKind.OUTCOME_UNKNOWN,
    "are overloaded": ErrorKind.OVERLOADED,
}
THEIR_ANSWER = HttpResponse(200, b"their answer")


class FasterHosts:
    """Stands for the faster hosts; ``failure`` is how each request to them ends, if it fails."""

    def __init__(self):
        self.failure = None

    async def hand_over(self, http, time_left, hosts, identity):
        assert [host.name for host in hosts] == ["fast"], hosts
        assert identity is None, identity
        if self.failure is not None:
            raise AlderhatchError(Failure(self.failure, "test"))
        return HandedResponse("fast", THEIR_ANSWER)


class OwnServers:
    """Stands for the servers that the slow host queries itself."""

    def __init__(self):
        self.runs = 0

    async def forward(self, req, run):
        self.runs += 1
        return NotRun(FailureReason.NO_SERVER, 250.0)


@given("a slow active host that hands a gather over")
def step_slow_host(context):
    names = tuple(f"shard{number:03}" for number in range(129))
    route = scatter_route(names, target_latency=70.0, path_prefix="/paths/")
    state = node_with_servers(context, OWN, 100)
    state.routes = RouteTable([route])
    state.stored = StoredConfiguration(VERSION, b"")
    state.started.set()
    state.apply_view(TierView([host_record("fast", 1.4), host_record(OWN, 0.5)], [], 20.0))
    assert [host.name for host in state.caller_hosts] == ["fast", OWN]
    context.faster, context.servers = FasterHosts(), OwnServers()
    context.handler = CallerHandler(
        state,
        context.servers,
        PlatformDialect(),
        Mock(),
        Mock(),
        context.faster,
        SimpleNamespace(create=lambda req, route, times: None),
        0.5,
        QuotaGate(),
        ServiceTurns(),
    )


def gather_request():
    headers = {"host": "fleet.example", "attempt-id": "a1", "time-budget-ms": "1000"}
    return HttpRequest("GET", "/paths/7", {}, headers, b"", "/paths/7")


def record_end(context, answer):
    async def main():
        try:
            res = await answer()
        except AlderhatchError as exc:
            return exc.failure.kind
        return "their answer" if res is THEIR_ANSWER else "its own answer"

    context.end = trio.run(main, clock=MockClock())


@when("the faster hosts {what}")
def step_faster_hosts(context, what):
    context.faster.failure = FAILURES.get(what)
    record_end(context, lambda: context.handler.handle(gather_request()))


@when("another host has handed the gather over to it")
def step_handed_to_it(context):
    handler = context.handler
    record_end(context, lambda: handler.handle_handed_over(gather_request(), 900.0, VERSION, None))


@then('its caller gets "{outcome}", and the slow host has run it {times:d} times')
def step_end(context, outcome, times):
    assert context.end == outcome, context.end
    assert context.servers.runs == times, context.servers.runs
