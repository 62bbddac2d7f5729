"""The parameters that tune an entry's decisions."""

from __future__ import annotations

from math import isnan, nan
from typing import Any, NamedTuple

from ..clock import SECOND, Millis
from ..errors import AlderhatchError, ErrorKind, Failure


class Policy(NamedTuple):
    """Tuning parameters; docs/design/ gives the measurement behind each default."""

    path_cost_ms: Millis = 2.0
    """The time that a shard answer takes back through this entry to the caller."""
    zone_cost_ms: Millis = 1.0
    """The extra cost assumed for a replica in another availability zone."""
    near_factor: float = 0.0
    """A forwarded request prefers a server in the host's own availability zone that is likely to
    answer within this multiple of the upstream's median latency, however fast the others are."""
    owner_near_factor: float = 0.0
    """The same where one host queries an upstream for all others."""
    split_parts: int = 0
    """Gathers of at least this many parts are split over several hosts; 0 disables splitting."""
    trouble_cost_ms: Millis = 60.0
    """The cost assumed for a failed forwarded request, in time and in retry budget."""
    first_latency_ms: Millis = 5.0
    """The latency assumed for a shard request before any has been answered."""
    report_age_ms: Millis = 20.0
    """The weight of a load report falls to zero at this age."""
    latency_weight: float = 0.05
    """The weight of the latest answer in a server's moving mean latency."""
    latency_half_life_ms: Millis = 4 * SECOND
    """The half-life with which the latency of an idle server returns to the upstream's median."""
    slow_start_ms: Millis = 5 * SECOND
    """How long a server is treated as cold after its start."""
    slow_start_factor: float = 4.0
    """How many times slower than usual a server is assumed to be right after its start."""
    eject_failures: int = 3
    """Consecutive failures after which a server is ejected for a while."""
    eject_ms: Millis = 500.0
    """The duration of the first ejection; each further one doubles it."""
    max_eject_ms: Millis = 10 * SECOND
    max_ejected_share: float = 0.5
    """At most this fraction of an upstream's servers is ejected at the same time."""
    silent_window_ms: Millis = 10 * SECOND
    """Silence on a second connection within this time is attributed to the server."""
    shed_ms: Millis = 100.0
    """How long a server that shed a request gets nothing if it does not say when to retry."""
    max_shed_ms: Millis = 5 * SECOND
    drained_ms: Millis = 5 * SECOND
    """How long a server gets nothing after each answer that says it is draining."""
    hedge_burst: float = 60.0
    """The most hedge tokens that a rule can accumulate."""
    hedge_first_quantile: float = 0.955
    """The quantile of shard latency after which a hedge is sent when the budget is full."""
    hedge_last_quantile: float = 0.9875
    """The same when the budget is nearly empty."""
    hedge_urgent_quantile: float = 0.9
    """The same for urgent requests under overload, regardless of the budget."""
    hedge_few_share: float = 0.2
    """Queries that wait for at most this fraction of their shards are hedged first."""
    hedge_patience: float = 2.0
    """A query that waits for more shards is hedged after this multiple of the delay."""
    hedges_per_shard: int = 2
    hedge_again_quantile: float = 0.8
    """The quantile of shard latency after which a shard with a slow hedge gets another."""
    retry_share: float = 0.1
    """Retries allowed to an upstream, as a fraction of its shard requests."""
    retry_burst: float = 60.0
    canaries: int = 2
    """The number of shards that first receive a body that no server is known to have answered; 0
    sends it to all shards at once."""
    canary_shards: int = 8
    """Queries over fewer shards send only one canary: if two bodies had both servers of their
    canaries in common and one body crashed them, nothing would show which one it was."""
    canary_choices: int = 4
    """Each canary is the shard with the lowest expected time out of this many random ones."""
    canary_patience: float = 1.0
    """The other shards are sent after this multiple of the 95th percentile latency even without an
    answer."""
    queue_low: float = 0.8
    """An upstream's limits may grow while its servers queue fewer requests per slot than this."""
    queue_high: float = 2.0
    """The limits shrink above this many queued requests per slot."""
    overload_queue: float = 2.0
    """Above this many reported by the servers, lower priority classes yield to urgent requests."""
    lower_queue_low: float = 0.6
    """The same as ``queue_low`` for lower priority classes while they yield to urgent requests."""
    lower_queue_high: float = 1.2
    limit_interval_ms: Millis = 50.0
    """The shortest time between two changes of the limit."""
    limit_shrink: float = 0.9
    limit_grow: float = 1.05
    min_limit: float = 4.0
    """The lowest value of a limit."""
    min_lower_limit: float = 1.0
    """The same for lower priority classes while they yield to urgent requests; below the slots of a
    shard, their requests are paced."""
    queue: int = 256
    """The most requests that wait for admission at one entry."""
    max_wait_share: float = 0.3
    """A request is refused at once if its expected wait exceeds this fraction of its time."""
    start_quantile: float = 0.9
    """A request starts only if this fraction of recent queries finished within the time left."""
    batch_share: float = 0.7
    """The fraction of the limit that batch requests may use; the rest is for other classes."""
    normal_share: float = 0.9
    ahead: float = 2.0
    """Under overload, lower priority requests are admitted up to this multiple of what may be in
    flight at the servers."""
    take_back_hedges: bool = False
    """Whether a hedge is cancelled when new work is sent to its server."""
    map_wait_ms: Millis = 250.0
    """How long a query waits for a newer shard map when no replica holds its snapshot."""
    linger_ms: Millis = 30 * SECOND
    """How long after its deadline the outcome of a claimed request is still recorded."""
    quarantine_ms: Millis = 600 * SECOND
    """How long this entry refuses a body that crashed two servers."""


def change_policy(policy: Policy, text: str) -> Policy:
    """Return a policy with some parameters changed, to measure the effect of a mechanism.

    Args:
        policy: The policy to change.
        text: Comma-separated ``name=value`` pairs; empty for no change.

    Raises:
        AlderhatchError: If a name is unknown or a value is not a number; it names the field.
    """
    for pair in text.split(","):
        name, _, value = pair.strip().partition("=")
        if not name and not value:
            continue
        if name not in Policy._fields:
            raise _policy_error(name, "unknown field")
        policy = policy._replace(**{name: _parse_number(policy, name, value)})
    return policy


def _parse_number(policy: Policy, name: str, value: str) -> Any:
    """Parse a value as the type of its field."""
    try:
        number = type(getattr(policy, name))(float(value))
    except (ValueError, OverflowError):
        number = nan
    if isnan(number):
        raise _policy_error(name, f"expected a number, got {value!r}")
    return number


def _policy_error(name: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"policy {name}: {message}", name))
