"""Measures the time until an accepted change is in force, and store calls, by size.

Real configuration controllers run in one process on a virtual clock over a
simulated network (0.5 ms within a place, 12 ms between places) and a store
that answers in 3 ms. Times are virtual and repeat exactly for one seed.
"""

import json
import pathlib
import random
import time

import attrs

from benchmarks import commands
from hyssopshelf.configuration import declarations, documents, requests, resources
from hyssopshelf.configuration.tests import fleet

SIZES = (8, 80, 800)
GOAL_SECONDS = 1.0
GOAL_BYTES_PER_SECOND = 5000
CHANGES_PER_DAY = 13_000
POOL = "labelstore"
ACCEPTING_HOST = "h005"
ISOLATED_HOST = "h006"
ISOLATION_SECONDS = 60.0
IDLE_SECONDS = 5.0
COARSE_TICK_SECONDS = 0.5
"""Tick while a node is isolated; nothing there depends on a tick of 50 ms."""

STORE_SLOW_SECONDS = 1.5
POLL_SECONDS = 1.0
EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "priehradka.yaml"
DECLARED_RESOURCES = declarations.parse_text(EXAMPLE.read_text())


def start_fleet(size: int, seed: int) -> tuple[fleet.Fleet, dict]:
    """Return a fleet with one pool in force, and the measurements of its start."""
    nodes = fleet.Fleet(size=size, seed=seed, encode=False)
    ready = nodes.run(30, nodes.ready)
    figures = {
        "all_ready": ready,
        "seconds": round(nodes.now, 3),
        "store_calls": sum(nodes.store.calls.values()),
    }
    request = requests.Apply(pool=POOL, change_id="first", resources=DECLARED_RESOURCES)
    nodes.request("h000", request)
    wait_in_force(nodes, 1)
    nodes.run(1)
    return nodes, figures


def wait_in_force(nodes: fleet.Fleet, version: int, isolated: tuple = ()) -> bool:
    """Run at most 15 s until all live, connected nodes have a version in force."""
    expected = {
        (host, member.board.identity.incarnation)
        for host, member in nodes.members.items()
        if member.alive and host not in isolated
    }
    times = nodes.applied.setdefault((POOL, version), {})
    return nodes.run(15, lambda: len(times) >= len(expected) and expected <= set(times))


def change_split(nodes: fleet.Fleet, version: int, share: float) -> str:
    """Request a change of the split at the accepting node."""
    declared = next(
        i for i in DECLARED_RESOURCES if i.kind is resources.ResourceKind.SPLIT
    )
    shares = {"priehradka": share, "steyrtal": 1 - share}
    split = attrs.evolve(
        declared, spec=resources.SplitSpec(capacity=shares, bill=shares)
    )
    request = requests.Apply(
        pool=POOL,
        change_id=f"change-{version}",
        resources=(split,),
        base_version=version - 1,
        remaining_seconds=10.0,
    )
    return nodes.request(ACCEPTING_HOST, request)


def measure(nodes: fleet.Fleet, version: int, after_commit=None, isolated=()) -> dict:
    """Make a change and return its measurements.

    ``after_commit`` is called when the store holds the change, which is also the
    start of ``seconds``. ``seconds_from_first_node`` starts when the first node
    learns of the commit, half the store's delay later.
    """
    calls = sum(nodes.store.calls.values())
    key = documents.key_of(POOL)
    before = nodes.store.entries[key].revision
    change_split(nodes, version, 0.5 + 0.01 * version)
    committed = nodes.run(10, lambda: nodes.store.entries[key].revision > before)
    accepted_at = nodes.now
    if after_commit is not None:
        after_commit(nodes)
    in_force = wait_in_force(nodes, version, isolated)
    first = min(nodes.applied[(POOL, version)].values(), default=nodes.now)
    return {
        "committed": committed,
        "in_force_everywhere": in_force,
        "seconds": round(nodes.now - accepted_at, 3),
        "seconds_from_first_node": round(nodes.now - first, 3),
        "store_calls": sum(nodes.store.calls.values()) - calls,
    }


def stop_store(nodes: fleet.Fleet) -> None:
    """Stop the store once the accepting node has the new version."""
    newest = max(nodes.versions(POOL).values())
    nodes.run(1, lambda: nodes.versions(POOL)[ACCEPTING_HOST] > newest)
    nodes.store.down = True


def run_faults(nodes: fleet.Fleet) -> dict:
    """Measure one change under each fault."""
    results = {"no_fault": measure(nodes, 2)}
    nodes.store.delay_seconds = STORE_SLOW_SECONDS
    results["store_slow"] = measure(nodes, 3)
    nodes.store.delay_seconds = fleet.STORE_SECONDS
    nodes.run(1)
    nodes.store.lost_answers = 1
    results["answer_lost"] = measure(nodes, 4)
    results["store_down_after"] = measure(nodes, 5, stop_store)
    nodes.store.down = False
    run_coarsely(nodes, 8)
    results["accepting_node_dead"] = measure(
        nodes, 6, lambda fleet: fleet.kill(ACCEPTING_HOST)
    )
    nodes.restart(ACCEPTING_HOST)
    nodes.run(5, nodes.ready)
    results["node_cut_off"] = run_isolation(nodes)
    return results


def run_coarsely(nodes: fleet.Fleet, seconds: float) -> None:
    """Run with longer ticks for a time in which nothing is measured."""
    nodes.tick_seconds = COARSE_TICK_SECONDS
    nodes.run(seconds - COARSE_TICK_SECONDS)
    nodes.tick_seconds = fleet.TICK_SECONDS
    nodes.run(COARSE_TICK_SECONDS)


def run_isolation(nodes: fleet.Fleet) -> dict:
    """Isolate a node, change the split, and reconnect the node after a minute."""
    nodes.members[ISOLATED_HOST].cut = True
    figures = measure(nodes, 7, isolated=(ISOLATED_HOST,))
    run_coarsely(nodes, ISOLATION_SECONDS)
    found = nodes.versions(POOL)[ISOLATED_HOST]
    nodes.members[ISOLATED_HOST].cut = False
    start = nodes.now
    caught_up = wait_in_force(nodes, 7)
    return figures | {
        "version_while_cut": found,
        "caught_up": caught_up,
        "seconds_after_contact": round(nodes.now - start, 3),
    }


def measure_bytes(nodes: fleet.Fleet, version: int) -> dict:
    """Return bytes per second and node, and store calls per second of the fleet.

    Bytes sent and received are counted without TCP headers.
    """
    nodes.encode = True
    nodes.bytes.clear()
    calls = sum(nodes.store.calls.values())
    nodes.run(IDLE_SECONDS)
    calls = sum(nodes.store.calls.values()) - calls
    size = len(nodes.members)
    idle = sum(nodes.bytes.values()) / size / IDLE_SECONDS
    nodes.bytes.clear()
    change_split(nodes, version, 0.51)
    nodes.run(IDLE_SECONDS)
    total = sum(nodes.bytes.values()) / size
    change = max(0.0, total - idle * IDLE_SECONDS)
    nodes.encode = False
    return {
        "idle_per_second": round(idle),
        "per_change": round(change),
        "per_second_at_13000_changes_a_day": round(
            idle + change * CHANGES_PER_DAY / 86_400
        ),
        "largest_message": nodes.largest,
        "idle_store_calls_per_second_of_the_fleet": round(calls / IDLE_SECONDS, 2),
    }


def run_baseline(size: int, seed: int) -> dict:
    """Return the results of a baseline in which each node polls the store each second.

    A node reads at a random phase and the answer takes the store's delay. A change
    is in force everywhere after the last node's read.
    """
    source = random.Random(seed)
    waits = [source.uniform(0, POLL_SECONDS) for _ in range(size)]
    seconds = max(waits) + fleet.STORE_SECONDS
    return {
        "seconds": round(seconds, 3),
        "store_calls_per_second": size / POLL_SECONDS,
        "store_down_after": "not in force until the store returns",
    }


def run_size(size: int, seed: int) -> dict:
    """Run all measurements for one number of nodes."""
    started_at = time.perf_counter()
    nodes, start = start_fleet(size, seed)
    faults = run_faults(nodes)
    figures = {
        "start": start,
        "changes": faults,
        "load": measure_bytes(nodes, 8),
        "reversions": nodes.reversions,
        "baseline_polling": run_baseline(size, seed),
    }
    return figures | {"wall_seconds": round(time.perf_counter() - started_at, 1)}


def find_worst(by_size: dict, field: str) -> float:
    """Return the longest time of a change, infinite if one is not in force."""
    return max(
        change[field] if change["in_force_everywhere"] else float("inf")
        for figures in by_size.values()
        for change in figures["changes"].values()
    )


def summarize(by_size: dict) -> dict:
    """Compare the measurements with the goals."""
    worst = {
        field: find_worst(by_size, field)
        for field in ("seconds", "seconds_from_first_node")
    }
    calls = [
        figures["changes"]["no_fault"]["store_calls"] for figures in by_size.values()
    ]
    reversions = sum(figures["reversions"] for figures in by_size.values())
    most_bytes = max(
        figures["load"]["per_second_at_13000_changes_a_day"]
        for figures in by_size.values()
    )
    return {
        "worst": worst,
        "worst_met": {field: value <= GOAL_SECONDS for field, value in worst.items()},
        "store_calls_per_change": calls,
        "store_calls_growth_met": calls[-1] / calls[0] < SIZES[-1] / SIZES[0],
        "reversions": reversions,
        "reversions_met": reversions == 0,
        "bytes_met": most_bytes <= GOAL_BYTES_PER_SECOND,
    }


def main() -> None:
    """Run the benchmark."""
    arguments = commands.parse_arguments(__doc__)
    by_size = {str(size): run_size(size, arguments.seed) for size in SIZES}
    report = {
        "benchmark": "config",
        "seed": arguments.seed,
        "sizes": by_size,
        "goals": summarize(by_size),
    }
    if not arguments.json:
        print(json.dumps(report, indent=2))
    print(json.dumps(report))


if __name__ == "__main__":
    main()
