"""Settings for all features."""

from __future__ import annotations

import json

from hypothesis import HealthCheck, settings

# Property tests draw the same examples in every run, so that results in CI are reproducible.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")

DIGEST_WIDTH = 380


def after_step(context, step):
    """Print what the nodes have logged, as their logs are deleted with the scenario."""
    tier = getattr(context, "platform", None)
    if not step.status.has_failed() or tier is None:
        return
    for index in range(len(tier.addresses)):
        events = " ".join(_logged_events(tier, index))
        print(
            f"node-{index}{'' if index in tier.processes else ' (ended)'}: {events[-DIGEST_WIDTH:]}"
        )


def _logged_events(tier, index):
    try:
        lines = tier.log_text(index).splitlines()
    except OSError as exc:
        return [repr(exc)]
    return [_event_of(line) for line in lines]


def _event_of(line):
    try:
        record = json.loads(line)
        return f"{record['event']}:{record['fields'].get('step', '')}".rstrip(":")
    except (ValueError, LookupError, TypeError, AttributeError):
        return line[:100]
