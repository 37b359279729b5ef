"""Measures write gaps and lost writes of failovers, and the acknowledgement cost.

Real nodes run on a virtual clock against simulated instances, so times are exact for
the modelled delays and do not depend on the machine. The baseline replaces a primary
only after its store lease of 10 s has expired, and not at all while the store is
down.
"""

import contextlib
import json
import random
import statistics
import time

from benchmarks import commands, failover_fleet
from hyssopshelf.failover import observations, promotion

WARM_UP_SECONDS = 5.0
LOAD_SECONDS = 14.0
FAULT_AFTER_SECONDS = 2.0
PAUSE_SECONDS = 6.0
SLOW_SECONDS = 1.5
WRITE_INTERVAL_SECONDS = 0.02
REGION_DELAY_SECONDS = 0.012
DELAYS_SECONDS = (0.0005, 0.008, 0.012)
LEASE_SECONDS = 10.0
BOUND_SECONDS = 17.0
UNPLANNED_GOAL_SECONDS = 3.0
PLANNED_GOAL_SECONDS = 0.5
RUNS = 2

GAPS = ("gap_majority_seconds", "gap_confirmed_seconds")
FAULTS = ("killed", "cut_off", "partitioned", "paused", "slow", "promoter_killed")


def inject_fault(fleet, fault: str) -> None:
    """Apply a fault to the current primary."""
    primary = fleet.find_primary()
    place = fleet.places[primary]
    far = [name for name in fleet.places if fleet.places[name] != place]
    if fault in ("killed", "promoter_killed"):
        fleet.kill_endpoint(primary)
    elif fault == "cut_off":
        fleet.isolate(primary, [name for name in fleet.instances if name != primary])
    elif fault == "partitioned":
        for name in [n for n in fleet.places if fleet.places[n] == place]:
            fleet.isolate(name, far)
    elif fault == "paused":
        fleet.pause(primary, PAUSE_SECONDS)
    elif fault == "slow":
        fleet.pause(primary, SLOW_SECONDS)


def kill_promoter(fleet, limit: float) -> None:
    """Kill the first node that has fenced a majority for a promotion."""
    first = len(fleet.logs)
    while fleet.now < limit:
        fleet.run(fleet.now + 0.01)
        fenced = [e for e in fleet.logs[first:] if e[2] == "PROMOTION_FENCED"]
        if fenced:
            fleet.down.add(fenced[0][1])
            return


def request_planned_change(fleet) -> None:
    """Request a planned change of primary at a random node."""
    primary = fleet.find_primary()
    targets = [name for name in fleet.instances if name != primary]
    board = fleet.nodes[fleet.random.choice(list(fleet.nodes))].board
    target = fleet.random.choice(targets)
    promotion.request_change(board, failover_fleet.DATABASE, target, fleet.now)


def run_fault(
    fault: str, seed: int, *, store_down: bool = False, lease: bool = False
) -> dict:
    """Run one fault under a steady write load; return gaps and counts of writes."""
    fleet = failover_fleet.Fleet(seed=seed, delay=REGION_DELAY_SECONDS)
    fleet.run(WARM_UP_SECONDS + fleet.random.random())
    place = fleet.places[fleet.find_primary()]
    # Clients on the minority side cannot be served, so they send no writes.
    hosts = [
        host
        for host in fleet.nodes
        if fault != "partitioned" or fleet.places[host] != place
    ]
    start = fleet.now
    fleet.start_load(hosts, WRITE_INTERVAL_SECONDS, start + LOAD_SECONDS)
    fleet.run(start + FAULT_AFTER_SECONDS)
    fleet.store.down = store_down
    changes = len(fleet.promotions)
    if fault == "planned":
        request_planned_change(fleet)
    else:
        inject_fault(fleet, fault)
    if fault == "promoter_killed":
        kill_promoter(fleet, start + LOAD_SECONDS)
    with apply_lease_baseline(seed) if lease else contextlib.nullcontext():
        fleet.run(start + LOAD_SECONDS + 6.0)
    writes = fleet.writes.values()
    end = start + LOAD_SECONDS
    return {
        "gap_majority_seconds": fleet.measure_gap("scan", start + 1.0, end),
        "gap_confirmed_seconds": fleet.measure_gap("label", start + 1.0, end),
        "changes": len({term for _, term, _ in fleet.promotions[changes:]}),
        "acknowledged": sum(write.acknowledged for write in writes),
        "lost_majority": fleet.count_lost("scan"),
        "lost_confirmed": fleet.count_lost("label"),
        "replaced_majority": sum(w.replaced and w.kind == "scan" for w in writes),
        "replaced_confirmed": sum(w.replaced and w.kind == "label" for w in writes),
    }


@contextlib.contextmanager
def apply_lease_baseline(seed: int):
    """Make promotions wait for the rest of a lease, as in the baseline."""
    lost, hold = observations.FAILURE_WINDOW_SECONDS, promotion.PROMOTION_DELAY_SECONDS
    renewed_before = random.Random(seed).uniform(0.0, LEASE_SECONDS / 3)
    observations.FAILURE_WINDOW_SECONDS = LEASE_SECONDS - renewed_before
    promotion.PROMOTION_DELAY_SECONDS = 0.0
    try:
        yield
    finally:
        observations.FAILURE_WINDOW_SECONDS, promotion.PROMOTION_DELAY_SECONDS = (
            lost,
            hold,
        )


def summarize(runs: list[dict]) -> dict:
    """Return the longest gaps and the sums of the counts."""
    summary = {key: sum(run[key] for run in runs) for key in runs[0]}
    for key in GAPS:
        summary[key] = round(max(run[key] for run in runs), 3)
    return summary


def find_worst_gap(case: dict) -> float:
    """Return the longer gap of the two acknowledgement levels, in seconds."""
    return max(case[key] for key in GAPS)


def measure_acknowledgement(delay: float, seed: int) -> dict:
    """Return the time that confirmation adds, by level, in milliseconds."""
    fleet = failover_fleet.Fleet(seed=seed, delay=delay)
    fleet.run(WARM_UP_SECONDS)
    fleet.confirmation_delays.clear()
    fleet.start_load(list(fleet.nodes), WRITE_INTERVAL_SECONDS, fleet.now + 8.0)
    fleet.run(fleet.now + 10.0)
    figures = {}
    for level, name in (("log", "majority"), ("term", "confirmed")):
        times = [
            1000 * seconds
            for found, seconds in fleet.confirmation_delays
            if found == level
        ]
        percentiles = statistics.quantiles(times, n=100)
        figures[name] = {
            "p50_ms": round(percentiles[49], 1),
            "p99_ms": round(percentiles[98], 1),
        }
    return figures


def main() -> None:
    options = commands.parse_arguments(__doc__)
    started_at = time.perf_counter()
    seeds = range(options.seed, options.seed + RUNS)
    faults = {}
    for fault in (*FAULTS, "planned"):
        faults[fault] = {
            name: summarize([run_fault(fault, s, store_down=down) for s in seeds])
            for name, down in (("store_up", False), ("store_down", True))
        }
    baseline = {}
    for fault in ("killed", "paused"):
        runs = [run_fault(fault, seed, lease=True) for seed in seeds]
        baseline[fault] = find_worst_gap(summarize(runs))
    cases = [case for by_store in faults.values() for case in by_store.values()]
    unplanned = [
        find_worst_gap(case)
        for fault in ("killed", "cut_off", "partitioned", "paused")
        for case in faults[fault].values()
    ]
    planned = max(find_worst_gap(case) for case in faults["planned"].values())
    result = {
        "benchmark": "failover",
        "seed": options.seed,
        "runs_per_case": RUNS,
        "faults": faults,
        "baseline_lease_gap_seconds": baseline,
        "gap_ratio_to_baseline_killed": round(
            find_worst_gap(faults["killed"]["store_up"]) / baseline["killed"], 3
        ),
        "acknowledgement_added": {
            f"{1000 * delay:g}_ms": measure_acknowledgement(delay, options.seed)
            for delay in DELAYS_SECONDS
        },
        "goals": {
            "bound_17_s": max(find_worst_gap(case) for case in cases) <= BOUND_SECONDS,
            "unplanned_3_s": max(unplanned) <= UNPLANNED_GOAL_SECONDS,
            "planned_0.5_s": planned <= PLANNED_GOAL_SECONDS,
            "lost_majority_0": sum(case["lost_majority"] for case in cases) == 0,
            "replaced_0": sum(
                case["replaced_majority"] + case["replaced_confirmed"] for case in cases
            )
            == 0,
        },
        "elapsed_seconds": round(time.perf_counter() - started_at, 1),
    }
    if not options.json:
        print(json.dumps(result, indent=2))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
