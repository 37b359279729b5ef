"""Benchmarks: each module runs alone as ``python -m benchmarks.bench_NAME``."""
