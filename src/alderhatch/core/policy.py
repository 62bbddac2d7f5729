"""The numbers that the entry's decisions are tuned by."""

from __future__ import annotations

from math import isnan, nan
from typing import Any, NamedTuple

from ..clock import SECOND, Millis
from ..errors import AlderhatchError, ErrorKind, Failure


class Policy(NamedTuple):
    """Tunable numbers; docs/design/ gives the measurement behind each default."""

    path_cost_ms: Millis = 2.0
    """The way of a shard answer back through this entry to the caller."""
    zone_cost_ms: Millis = 1.0
    """What a replica in another availability zone is held to cost more."""
    near_factor: float = 0.0
    """A forwarded request goes to a server of the own availability zone that is likely to answer
    within this multiple of the upstream's median latency, however quick the others are."""
    owner_near_factor: float = 0.0
    """The same where one host asks an upstream for all others."""
    split_parts: int = 0
    """Gathers of so many parts and more are asked for by several hosts; 0 for none."""
    trouble_cost_ms: Millis = 60.0
    """What a forwarded request that comes to nothing costs in time and in budget for retries."""
    first_latency_ms: Millis = 5.0
    """What a shard request is held to take before any has been answered."""
    report_age_ms: Millis = 20.0
    """A reported load counts for less and less up to this age, and then not at all."""
    latency_weight: float = 0.05
    """The weight of the newest answer in a server's moving latency."""
    latency_half_life_ms: Millis = 4 * SECOND
    """How fast the latency of a server that is not asked returns to the upstream's typical one."""
    slow_start_ms: Millis = 5 * SECOND
    """How long a server that has just started is treated as cold."""
    slow_start_factor: float = 4.0
    """How much slower than usual a cold server is held to be at first."""
    eject_failures: int = 3
    """Failures in a row after which a server is ejected for a while."""
    eject_ms: Millis = 500.0
    """The first ejection; each further one doubles it."""
    max_eject_ms: Millis = 10 * SECOND
    max_ejected_share: float = 0.5
    """No more than this part of an upstream's servers is ejected at the same time."""
    silent_window_ms: Millis = 10 * SECOND
    """Silence on a second connection within this span is held against the server."""
    shed_ms: Millis = 100.0
    """How long a server that shed a request is left alone if it does not say."""
    max_shed_ms: Millis = 5 * SECOND
    drained_ms: Millis = 5 * SECOND
    """How long a server that said it is draining gets nothing, from each time it says so."""
    hedge_burst: float = 60.0
    """The most hedges that a rule can save up."""
    hedge_first_quantile: float = 0.955
    """The quantile of shard latency after which a hedge is sent while the budget is full."""
    hedge_last_quantile: float = 0.9875
    """The same while the budget is nearly empty."""
    hedge_urgent_quantile: float = 0.9
    """The same for urgent requests under overload, whatever the budget."""
    hedge_few_share: float = 0.2
    """Hedges go to queries that wait for no more than this share of their shards, first."""
    hedge_patience: float = 2.0
    """A query that waits for more is hedged after this multiple of the delay."""
    hedges_per_shard: int = 2
    hedge_again_quantile: float = 0.8
    """The quantile after which a shard whose hedge is late as well gets one more."""
    retry_share: float = 0.1
    """Retries of an upstream, as a fraction of its shard requests."""
    retry_burst: float = 60.0
    canaries: int = 2
    """Shards that are asked first with a body that no server is known to have survived; 0 for all
    at once."""
    canary_shards: int = 8
    """Queries over fewer shards send one first: two bodies that share both servers of their first
    shards could not be told apart when one of them crashes both."""
    canary_choices: int = 4
    """Each canary is the one expected soonest out of this many shards drawn by chance."""
    canary_patience: float = 1.0
    """The rest is sent after this multiple of the 95 % latency even without an answer."""
    queue_low: float = 0.8
    """Below this many waiting requests for each slot, an upstream's limits may grow."""
    queue_high: float = 2.0
    """Above it the limits shrink."""
    overload_queue: float = 2.0
    """Above this many reported by the servers, lower classes are held back for urgent requests."""
    lower_queue_low: float = 0.6
    """The same as the first for the limit of lower classes while they are held back."""
    lower_queue_high: float = 1.2
    limit_interval_ms: Millis = 50.0
    """How often the limit is moved at most."""
    limit_shrink: float = 0.9
    limit_grow: float = 1.05
    min_limit: float = 4.0
    """The least that a limit falls to."""
    min_lower_limit: float = 1.0
    """The same for lower classes that are held back for urgent requests; below the slots of a shard
    they are spaced out."""
    queue: int = 256
    """Requests that wait for admission at one entry."""
    max_wait_share: float = 0.3
    """A request is refused at once if it is likely to wait for more than this part of its time."""
    start_quantile: float = 0.9
    """A request starts only if this share of the queries lately made it in the time left."""
    batch_share: float = 0.7
    """The part of the limit that batch requests may fill; the rest stays free for others."""
    normal_share: float = 0.9
    ahead: float = 2.0
    """Under overload, requests of lower classes are admitted up to this multiple of what may be out
    at the servers."""
    take_back_hedges: bool = False
    """Whether a hedge is cancelled when new work comes to its server."""
    map_wait_ms: Millis = 250.0
    """How long a query waits for a newer shard map when its snapshot is gone."""
    linger_ms: Millis = 30 * SECOND
    """How long after its deadline the outcome of a claimed request is still recorded."""
    quarantine_ms: Millis = 600 * SECOND
    """How long this entry refuses a body after it crashed two servers."""


def change_policy(policy: Policy, text: str) -> Policy:
    """Return a policy with some of its numbers changed, to see what a mechanism is worth.

    Args:
        policy: The numbers to begin with.
        text: ``name=value`` pairs with commas between; empty for no change.

    Raises:
        AlderhatchError: Naming the pair that is wrong.
    """
    for pair in text.split(","):
        name, _, value = pair.strip().partition("=")
        if not name and not value:
            continue
        if name not in Policy._fields:
            raise _wrong(name, "there is no such number")
        policy = policy._replace(**{name: _number(policy, name, value)})
    return policy


def _number(policy: Policy, name: str, value: str) -> Any:
    """Return a value in the type that the field has."""
    try:
        number = type(getattr(policy, name))(float(value))
    except (ValueError, OverflowError):
        number = nan
    if isnan(number):
        raise _wrong(name, f"not a number: {value!r}")
    return number


def _wrong(name: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"policy {name}: {message}", name))
