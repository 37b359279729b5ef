"""Parses the command line that the benchmarks share and prints their reports."""

import argparse
import json
from collections.abc import Callable


def parse_arguments(description: str) -> argparse.Namespace:
    """Parse the options ``--seed`` and ``--json``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print only the last line")
    return parser.parse_args()


def run_benchmark(run: Callable[[int], dict], description: str) -> None:
    """Run a benchmark and print its report; the last line is the report as JSON.

    Parameters
    ----------
    run : callable
        Takes the seed and returns the report.
    description : str
        Text that ``--help`` prints.
    """
    options = parse_arguments(description)
    report = run(options.seed)
    if not options.json:
        print(json.dumps(report, indent=1))
    print(json.dumps(report))
