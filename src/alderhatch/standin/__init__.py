"""Stand-in upstreams and a stand-in platform for the demo, tests and benchmarks."""
