"""Measures the share of reads that replicas serve, and stale reads, by replica lag.

Runs the real core on the virtual clock of the fault simulation, without faults. Six
nodes in three places with 12 ms between the places serve two databases. The
baseline sends every session read to the primary. Run it with
``python -m benchmarks.bench_replica_reads --seed N --json``.
"""

import json
import statistics
from unittest import mock

from benchmarks import commands
from benchmarks.faults import callers, simulation
from hyssopshelf import messages
from hyssopshelf.consistency import reads

LAGS_SECONDS = (0.0, 0.1, 1.0, 10.0)
LOAD_SECONDS = 30.0
WARM_UP_SECONDS = 3.0
"""Reads count only after all nodes have polled their endpoints and the data present
at the start is older than twice the lag."""

KINDS = (
    callers.Kind(name="order", staleness_seconds=0.5, acknowledge="majority"),
    callers.Kind(name="page", staleness_seconds=5.0, acknowledge="confirmed"),
    callers.Kind(name="report", staleness_seconds=60.0, acknowledge="confirmed"),
)
GOAL_SHARE = 0.95


class Reader(callers.Caller):
    """A caller that sends only reads, with the staleness bound of its kind."""

    def _run(self):
        while self._loop.now < self.stop_at:
            if self._session_left <= 0:
                self._start_session()
            self._session_left -= 1
            yield from self._call(
                messages.Operation.GET,
                key=f"a{self.random.randrange(4)}",
                consistency=messages.Consistency.BOUNDED,
            )
            yield self.random.uniform(0.0, self.think_seconds)


class MixedWorld(simulation.Simulation):
    """A fleet in which half of the callers of each kind only send reads."""

    def _make_caller(self, name: str, kind: callers.Kind) -> callers.Caller:
        caller = super()._make_caller(name, kind)
        if not name.startswith("c") or int(name[1:]) % 2:
            return caller
        fields = ("name", "pool", "partner", "databases", "kind", "random", "context")
        return Reader(**{field: getattr(caller, field) for field in fields})


def run_lag(seed: int, lag: float, load_seconds: float = LOAD_SECONDS) -> dict:
    """Run with one replica lag (seconds) and return shares, latencies, violations."""
    options = simulation.Options(
        seed=seed,
        seconds=0.0,
        settle_seconds=load_seconds,
        kinds=KINDS,
        apply_delay_seconds=lag,
        callers=18,
    )
    outcome = MixedWorld(options).run()
    groups: dict[str, list] = {}
    for request in outcome.history.requests:
        if (
            request.operation is not messages.Operation.GET
            or request.transaction
            or not request.succeeded
            or not request.session.startswith("c")
            or request.invoked_at < WARM_UP_SECONDS + 2 * lag
        ):
            continue
        number = int(request.session[1:].partition(":")[0])
        role = "writer" if number % 2 else "reader"
        name = f"{request.kind}.{role}.{request.consistency.value}"
        groups.setdefault(name, []).append(request)
    table = {name: summarize(rows) for name, rows in sorted(groups.items())}
    return {
        "reads": table,
        "violations": [str(v) for v in outcome.violations],
    }


def summarize(rows: list) -> dict:
    """Return the number of reads, the share of replicas and the median latency."""
    latencies = [row.answered_at - row.invoked_at for row in rows]
    return {
        "count": len(rows),
        "replica_share": round(sum(r.from_replica for r in rows) / len(rows), 3),
        "median_ms": round(1000 * statistics.median(latencies), 1),
    }


def needs_primary_always(consistency, required) -> bool:
    """Return whether the baseline sends a read to the primary."""
    return consistency is not messages.Consistency.BOUNDED


def run(seed: int) -> dict:
    """Run all lags and the baseline."""
    report = {"seed": seed, "lags": {}, "baseline": {}}
    for lag in LAGS_SECONDS:
        report["lags"][str(lag)] = run_lag(seed, lag)
    with mock.patch.object(reads, "needs_primary", needs_primary_always):
        report["baseline"]["0.1"] = run_lag(seed, 0.1)
    tolerant = [
        row["replica_share"]
        for lag in LAGS_SECONDS
        for kind in KINDS
        for row in [
            report["lags"][str(lag)]["reads"].get(f"{kind.name}.reader.bounded")
        ]
        if row and lag < kind.staleness_seconds
    ]
    report["lowest_tolerant_share"] = min(tolerant)
    report["goal_share"] = GOAL_SHARE
    report["violations"] = sum(
        len(row["violations"]) for row in report["lags"].values()
    )
    return report


def main() -> None:
    """Run the benchmark."""
    options = commands.parse_arguments(__doc__)
    report = run(options.seed)
    if not options.json:
        for lag, row in report["lags"].items():
            print(f"lag {lag} s")
            for name, cell in row["reads"].items():
                print(f"  {name:<22} {cell}")
    print(json.dumps(report))


if __name__ == "__main__":
    main()
