"""Benchmarks: speed and memory, as ratios and medians within one run."""
