"""Benchmarks; each module has `run(seed)` and prints one JSON object a line."""
