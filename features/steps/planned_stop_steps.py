from __future__ import annotations

from behave import given, then

from alderhatch.core.forwarding.stop_deadline import StopDeadline
from alderhatch.core.latency_histogram import LatencyHistogram

FIRST_LATENCY_MS = 30.0


@given("a route whose requests took {takes}")
def step_route(context, takes):
    context.latencies = LatencyHistogram(FIRST_LATENCY_MS)
    if takes != "unknown":
        for _ in range(20):
            context.latencies.record(float(takes.split()[0]))


@then("a host that ends at 5750 ms runs a request that arrives at {at:g} ms: {runs}")
def step_runs(context, at, runs):
    stop = StopDeadline()
    assert stop.can_finish(context.latencies, at)
    stop.ends_at = 5750.0
    assert stop.can_finish(context.latencies, at) == (runs == "yes")
