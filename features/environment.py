"""Settings that hold for every feature."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# One fixed seed for every differential test, so that CI gives the same verdict each run.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
