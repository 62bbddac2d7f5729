"""Small stand-ins for upstreams and the platform, for the demo, tests and benchmarks."""
