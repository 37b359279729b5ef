"""Measures lines and processor time of the structured log per answered request.

Writes the lines of requests that arrive at a steady rate to a pipe that is never read
and to the null device, and compares them with requests that write no line.
"""

import os
import time

from benchmarks import commands
from hyssopshelf import logs

REQUESTS = 20_000
"""Number of requests in a run."""

LINES = 2_000
"""Number of lines in the run that measures the cost of one line."""

FIELDS = {
    "id": "5c0e7a21d94b36f8",
    "name": "orders",
    "statement": "Access",
    "endpoint": "i-7f3a91c2",
    "trail": [],
    "queued_ms": 0.1,
    "total_ms": 12.3,
    "version": 7,
    "outcome": "done",
}
"""Fields of the log line of an answered request."""


def measure(descriptor: int | None, failures: bool) -> dict:
    """Run all requests and return processor time per request and written lines.

    Parameters
    ----------
    descriptor : int or None
        File that replaces standard output; None writes no lines.
    failures : bool
        Whether the requests are logged as failed.
    """
    if descriptor is not None:
        os.dup2(descriptor, 1)
        logs.configure_structured(source="node-1")
    logs.collect_suppressed()
    started = time.perf_counter()
    cpu = time.process_time()
    for _ in range(REQUESTS):
        if descriptor is not None:
            event = logs.LogEvent.REQUEST_ANSWERED
            logs.write_request(event, FIELDS, success=not failures)
    logs.flush()
    seconds = time.process_time() - cpu
    elapsed = time.perf_counter() - started
    suppressed = sum(logs.collect_suppressed().values())
    return {
        "microseconds_a_request": round(seconds / REQUESTS * 1e6, 2),
        "lines": REQUESTS - suppressed if descriptor is not None else 0,
        "elapsed_seconds": round(elapsed, 3),
    }


def measure_line(descriptor: int) -> float:
    """Return the processor time of one written line, in microseconds."""
    os.dup2(descriptor, 1)
    logs.configure_structured(source="node-1")
    cpu = time.process_time()
    for _ in range(LINES):
        logs.write(logs.LogEvent.REQUEST_ANSWERED, FIELDS)
    logs.flush()
    return round((time.process_time() - cpu) / LINES * 1e6, 2)


def run(seed: int) -> dict:
    """Run all cases and restore standard output."""
    reader, writer = os.pipe()
    null = os.open(os.devnull, os.O_WRONLY)
    stdout = os.dup(1)
    try:
        report = {
            "benchmark": "logs",
            "seed": seed,
            "without_log": measure(None, failures=False),
            "successes": measure(null, failures=False),
            "failures": measure(null, failures=True),
            "failures_unread": measure(writer, failures=True),
            "microseconds_a_line": measure_line(null),
        }
    finally:
        os.dup2(stdout, 1)
        os.set_blocking(1, True)
        for descriptor in (reader, writer, null, stdout):
            os.close(descriptor)
    return report


if __name__ == "__main__":
    commands.run_benchmark(run, __doc__)
