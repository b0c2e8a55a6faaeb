"""Benchmarks; each module has `run(seed)` and prints JSON when executed."""
