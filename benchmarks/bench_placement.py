"""Measures the load balance of placement rules and its effect on slow statements.

Endpoints of skewed popularity are placed on nodes by several rules: in the steady
state, after the number of nodes doubled, and after all hosts of a place were lost.
The contended resource is the node's processor. The slowdown of a statement is its
latency divided by its latency without queueing; the 99th percentile is taken over a
sample of nodes that covers all loads.

Run ``python -m benchmarks.bench_placement --seed 1 --json``.
"""

import heapq
import json
import random
import statistics
import time

from benchmarks import commands
from benchmarks import fleet as fleets
from hyssopshelf import blackboard
from hyssopshelf.membership import balancing, placement, records

SIZES = {8: 3, 80: 6, 800: 14}
"""Number of places by number of nodes."""

ENDPOINTS_PER_NODE = 5.2
STATEMENTS_PER_NODE = 1040.0
SERVICE_SECONDS = 0.003
SLOTS = 3
SKEW = 0.9
"""Exponent of the popularity of endpoints (Zipf)."""

MAXIMUM_UTILIZATION = 0.7
"""Largest fraction of an endpoint's slots that its statements use."""

SAMPLED_NODES = 32
SIMULATED_SECONDS = 1.5
REVIEWS = 6
"""Load reviews after a change, equal to 60 s at the current review period."""


def make_rates(names: list[str], total: float, rng: random.Random) -> dict:
    """Return statements per second by endpoint, skewed and bounded by the slots."""
    weights = [1 / (rank + 1) ** SKEW for rank in range(len(names))]
    rng.shuffle(weights)
    bound = MAXIMUM_UTILIZATION * SLOTS / SERVICE_SECONDS
    scale = total / sum(weights)
    for _ in range(50):
        rates = [min(bound, weight * scale) for weight in weights]
        scale *= total / sum(rates)
    return dict(zip(names, rates, strict=True))


def make_board(nodes: int, places: int) -> blackboard.Blackboard:
    """Return the blackboard of a node that knows all hosts."""
    identity = blackboard.Identity(host="h0000", address="a", place="p0")
    board = blackboard.Blackboard(identity=identity, random=random.Random(0))
    for entry in fleets.make_entries(nodes, places):
        board.hosts[entry.name] = blackboard.HostRecord(
            name=entry.name,
            address=entry.address,
            place=entry.place,
            region=entry.region,
        )
    return board


def add_endpoints(board, count: int, places: int) -> list[str]:
    names = [f"pool/db{index // 3}/e{index % 3}" for index in range(count)]
    for index, name in enumerate(names):
        board.endpoints[name] = blackboard.EndpointRecord(
            name=name,
            pool="pool",
            database=name.rpartition("/")[0],
            place=f"p{index % places}",
            address="a",
        )
    return names


def place_by_hash(board, rates: dict) -> dict:
    """Place each endpoint by rendezvous hashing alone."""
    return {
        endpoint: choices[0]
        for table in board.placement_state.tables.values()
        for endpoint, choices in table.choices.items()
    }


def place_by_bounded_hash(board, rates: dict) -> dict:
    """Place each endpoint by rendezvous hashing with bounded loads."""
    return {
        endpoint: host
        for table in board.placement_state.tables.values()
        for endpoint, host, _ in placement.choose_hosts(table)
    }


def place_by_two_choices(board, rates: dict) -> dict:
    """Place at the less loaded of the first two choices, given all loads."""
    loads: dict[str, float] = {}
    placed = {}
    for table in board.placement_state.tables.values():
        for endpoint in sorted(table.choices, key=lambda name: -rates[name]):
            host = min(table.choices[endpoint][:2], key=lambda h: loads.get(h, 0.0))
            loads[host] = loads.get(host, 0.0) + rates[endpoint]
            placed[endpoint] = host
    return placed


def apply_reviews(board, placed: dict, rates: dict, reviews: int) -> dict:
    """Apply the moves that overloaded hosts make in a number of reviews."""
    placed = dict(placed)
    choices = {
        endpoint: row
        for table in board.placement_state.tables.values()
        for endpoint, row in table.choices.items()
    }
    initial_hosts = dict(placed)
    refused: set[tuple[int, str]] = set()
    for number in range(reviews):
        owned: dict[str, dict[str, float]] = {}
        for endpoint, host in placed.items():
            load = rates[endpoint] * balancing.STATEMENT_SECONDS
            owned.setdefault(host, {})[endpoint] = load
        loads = {host: sum(rows.values()) for host, rows in owned.items()}
        accepted: dict[str, float] = {}
        for host in sorted(owned):
            candidates = {
                endpoint: load
                for endpoint, load in owned[host].items()
                if initial_hosts[endpoint] == host and (number, endpoint) not in refused
            }
            endpoint = balancing.choose_endpoint(candidates, loads[host])
            if endpoint is None:
                continue
            target = placement.get_next_host(choices[endpoint], host)
            target_load = loads.get(target, 0.0) + accepted.get(target, 0.0)
            load = candidates[endpoint]
            if target != host and balancing.accepts(target_load, load, loads[host]):
                accepted[target] = accepted.get(target, 0.0) + load
                placed[endpoint] = target
            else:
                refused |= {(later, endpoint) for later in range(number, number + 7)}
    return placed


def simulate(rates: dict[str, float], rng: random.Random) -> list[float]:
    """Simulate the statements of one node and return their slowdowns."""
    names = list(rates)
    weights = [rates[name] for name in names]
    total = sum(weights)
    if not total:
        return []
    slots = {name: [0.0] * SLOTS for name in names}
    gap, cost = 1 / total, balancing.STATEMENT_SECONDS
    count = int(total * SIMULATED_SECONDS)
    at = processor = 0.0
    slowdowns = []
    for name in rng.choices(names, weights, k=count):
        at += rng.expovariate(1.0) * gap
        processor = max(at, processor) + cost
        service = rng.expovariate(1.0) * SERVICE_SECONDS
        free = slots[name]
        end = max(processor, free[0]) + service
        heapq.heapreplace(free, end)
        slowdowns.append((end - at) / (cost + service))
    return slowdowns


def measure(board, placed: dict, rates: dict, rng: random.Random) -> dict:
    """Return the imbalance and the 99th percentile of the slowdown."""
    live = [n for n, r in board.hosts.items() if records.is_usable(r, 0.0)]
    owned: dict[str, dict[str, float]] = {name: {} for name in live}
    for endpoint, host in placed.items():
        owned[host][endpoint] = rates[endpoint]
    loads = {host: sum(rows.values()) for host, rows in owned.items()}
    ordered = sorted(live, key=loads.__getitem__)
    step = max(1, len(ordered) // SAMPLED_NODES)
    slowdowns: list[float] = []
    for host in ordered[step // 2 :: step]:
        slowdowns.extend(simulate(owned[host], rng))
    slowdowns.sort()
    busiest = loads[ordered[-1]] * balancing.STATEMENT_SECONDS
    return {
        "imbalance": round(loads[ordered[-1]] / statistics.mean(loads.values()), 2),
        "busiest_core": round(busiest, 2),
        "p99_slowdown": round(slowdowns[int(len(slowdowns) * 0.99)], 1),
    }


def count_moved(before: dict, after: dict) -> float:
    """Return the fraction of the endpoints whose host changed."""
    moved = sum(before[endpoint] != host for endpoint, host in after.items())
    return round(moved / len(after), 3)


def apply_scenario(board, scenario: str, nodes: int, places: int) -> None:
    """Apply a scenario to the hosts and place all endpoints again."""
    if scenario == "doubled":
        for name, record in make_board(2 * nodes, places).hosts.items():
            board.hosts.setdefault(name, record)
    for record in board.hosts.values():
        if scenario == "place_lost" and record.place == "p0":
            record.state = records.HostState.DEAD
    placement.assign_all(board, 0.0)


PLACEMENT_RULES = {
    "rendezvous": place_by_hash,
    "bounded": place_by_bounded_hash,
    "second_choice": place_by_two_choices,
}


def run_size(nodes: int, places: int, seed: int) -> dict:
    """Run all scenarios and placement rules with one number of nodes."""
    rng = random.Random(f"{seed}/{nodes}")
    board = make_board(nodes, places)
    names = add_endpoints(board, round(nodes * ENDPOINTS_PER_NODE), places)
    rates = make_rates(names, nodes * STATEMENTS_PER_NODE, rng)
    figures: dict = {}
    steady: dict = {}
    for scenario in ("steady", "doubled", "place_lost"):
        if scenario == "place_lost":
            board = make_board(nodes, places)
            add_endpoints(board, len(names), places)
        apply_scenario(board, scenario, nodes, places)
        rows = figures[scenario] = {}
        for name, place in PLACEMENT_RULES.items():
            placed = place(board, rates)
            rows[name] = measure(board, placed, rates, rng)
            rows[name]["moved"] = count_moved(steady.setdefault(name, placed), placed)
        bounded = place_by_bounded_hash(board, rates)
        placed = apply_reviews(board, bounded, rates, REVIEWS)
        rows["chosen"] = measure(board, placed, rates, rng)
        rows["chosen"]["moved"] = count_moved(
            steady.setdefault("chosen", placed), placed
        )
    return figures


def compute_growth(figures: dict) -> dict:
    """Return the growth of the p99 slowdown after a place is lost, in percent."""
    growth = {}
    for nodes, scenarios in figures.items():
        growth[nodes] = {
            name: round(
                100
                * (
                    scenarios["place_lost"][name]["p99_slowdown"] / row["p99_slowdown"]
                    - 1
                )
            )
            for name, row in scenarios["steady"].items()
        }
    return growth


def main() -> None:
    options = commands.parse_arguments(__doc__)
    started = time.monotonic()
    figures = {
        nodes: run_size(nodes, places, options.seed) for nodes, places in SIZES.items()
    }
    if not options.json:
        for nodes, scenarios in figures.items():
            for scenario, rows in scenarios.items():
                for name, row in rows.items():
                    print(f"{nodes:4} {scenario:10} {name:14} {row}")
    print(
        json.dumps(
            {
                "bench": "placement",
                "seed": options.seed,
                "sizes": figures,
                "p99_growth_percent_place_lost": compute_growth(figures),
                "seconds": round(time.monotonic() - started, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
