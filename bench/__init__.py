"""Benchmarks: load experiments on real processes and cost measurements."""
