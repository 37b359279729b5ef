"""Runs the real core under random faults, reproducibly by seed.

The last line of the output is one JSON object. The exit status is 1 if a run
violated a guarantee.
"""

import argparse
import collections
import json
import sys
import time

from benchmarks.faults import simulation, variants


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="seed of the run")
    parser.add_argument("--seeds", help="range of seeds, such as 1-50")
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="virtual time with faults"
    )
    parser.add_argument(
        "--variant",
        choices=sorted(variants.VARIANTS),
        help="variant of the core with a known defect",
    )
    parser.add_argument(
        "--faults",
        default="",
        help="comma-separated names of the faults to choose from",
    )
    parser.add_argument(
        "--callers", type=int, default=9, help="number of concurrent callers"
    )
    parser.add_argument(
        "--settle", type=float, default=20.0, help="virtual time after the last fault"
    )
    parser.add_argument("--trace", action="store_true", help="print each event")
    parser.add_argument("--json", action="store_true", help="print only the last line")
    return parser.parse_args(arguments)


def list_seeds(arguments: argparse.Namespace) -> list[int]:
    if not arguments.seeds:
        return [arguments.seed]
    first, _, last = arguments.seeds.partition("-")
    return list(range(int(first), int(last or first) + 1))


def run_one(seed: int, arguments: argparse.Namespace) -> simulation.Outcome:
    options = simulation.Options(
        seed=seed,
        seconds=arguments.seconds,
        callers=arguments.callers,
        settle_seconds=arguments.settle,
        faults=tuple(filter(None, arguments.faults.split(","))),
        trace=print if arguments.trace else None,
    )
    if arguments.variant is None:
        return simulation.run_seed(options)
    with variants.apply_variant(arguments.variant):
        return simulation.run_seed(options)


def summarize(outcome: simulation.Outcome) -> dict:
    requests = outcome.history.requests
    errors = collections.Counter(
        request.error.value for request in requests if request.error is not None
    )
    return {
        "requests": len(requests),
        "succeeded": sum(request.succeeded for request in requests),
        "unanswered": sum(request.answered_at is None for request in requests),
        "from_replica": sum(request.from_replica for request in requests),
        "errors": dict(sorted(errors.items())),
        "log_entries": len(outcome.history.entries),
        "promotions": len(outcome.history.promotions),
        "configurations": len(outcome.history.accepted),
        "drains": len(outcome.history.stopped),
        "faults": dict(sorted(outcome.faults.items())),
        "store_calls": outcome.store_calls,
    }


def main(arguments: list[str] | None = None) -> int:
    options = parse_arguments(arguments)
    started_at = time.perf_counter()
    totals: collections.Counter = collections.Counter()
    failed: dict[int, dict[str, int]] = {}
    virtual_seconds = 0.0
    for seed in list_seeds(options):
        outcome = run_one(seed, options)
        virtual_seconds += outcome.virtual_seconds
        for name, value in summarize(outcome).items():
            if isinstance(value, dict):
                totals.update({f"{name}.{key}": n for key, n in value.items()})
            else:
                totals[name] += value
        rules = collections.Counter(v.rule for v in outcome.violations)
        if rules:
            failed[seed] = dict(sorted(rules.items()))
        if options.json:
            continue
        for violation in outcome.violations:
            print(
                f"seed {seed} at {violation.at:.4f} guarantee {violation.guarantee}: "
                f"{violation.rule} {violation.subject} {violation.detail}"
            )
    report = {
        "bench": "faults",
        "seeds": len(list_seeds(options)),
        "variant": options.variant,
        "virtual_seconds": round(virtual_seconds, 1),
        "wall_seconds": round(time.perf_counter() - started_at, 1),
        "totals": dict(sorted(totals.items())),
        "failed_seeds": failed,
    }
    print(json.dumps(report))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
