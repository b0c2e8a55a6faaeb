"""Benchmarks: each module's `run(seed)` returns measured figures."""

"""Benchmarks; each module has `run(seed)` and prints one JSON object a line."""
