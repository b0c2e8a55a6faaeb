"""Benchmarks: each module's `run(seed)` returns measured figures."""
