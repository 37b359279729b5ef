"""Measures the memory that one node spends on control, with fitted slopes.

Run it with ``python -m benchmarks.bench_control_memory --seed N --json``;
bench_control measures processor time, messages and store calls.
"""

import time

from benchmarks import bench_control, commands


def run(seed: int) -> dict:
    """Measure all axes."""
    started_at = time.perf_counter()
    axes = {
        axis: bench_control.run_memory_axis(axis, seed)
        for axis in bench_control.MEMORY_POINTS
    }
    return {
        "benchmark": "control_memory",
        "seed": seed,
        "axes": axes,
        "wall_seconds": round(time.perf_counter() - started_at, 1),
    }


if __name__ == "__main__":
    commands.run_benchmark(run, __doc__)
