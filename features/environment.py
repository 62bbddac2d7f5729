"""Settings for all features."""

from __future__ import annotations

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
