"""Measures the service of ranks and partners while some work floods a pool.

Eight nodes accept statements; three of them each serve an endpoint of 3 slots. The
run drives the real entry limits, endpoint queues, usage exchange and accounts on a
virtual clock and compares them with simpler designs: a first-in-first-out queue per
endpoint, slots divided among the entry nodes with strict rank order on each, and
strict rank order at the endpoints. Load is a fraction of the pool's capacity.
"""

import bisect
import collections
import heapq
import itertools
import json
import random
import time

import attrs

from benchmarks import commands
from hyssopshelf import base, blackboard
from hyssopshelf.configuration import resources, views
from hyssopshelf.scheduling import billing, limits, queues, shares, work

POOL = "labelstore"
HOSTS = tuple(f"h{number}" for number in range(8))
ENDPOINTS = tuple(f"{POOL}/d/e{number}" for number in range(3))
SLOTS = 3
MEAN_SECONDS = 0.04
ONE_WAY_SECONDS = 0.0005
TICK_SECONDS = 0.05
RUN_SECONDS = 36.0
WARM_UP_SECONDS = 10.0

ENTRY_WEIGHTS = (8, 4, 2, 1, 1, 1, 1, 1)
"""Clients spread unevenly over the entry nodes, as behind a load balancer with
long-lived connections."""

ENTRY_BOUNDS = tuple(itertools.accumulate(ENTRY_WEIGHTS))

CAPACITY = {"a": 0.7, "b": 0.3}
RANKS = {
    "urgent": resources.RankSpec(order=0, floor=0.3, target_seconds=0.25),
    "normal": resources.RankSpec(order=1, floor=0.2, target_seconds=0.5),
    "background": resources.RankSpec(order=2, floor=0.1, target_seconds=1.0),
}
TIMEOUT_SECONDS = {"urgent": 1.0, "normal": 2.0, "background": 5.0}
KEYS = tuple(itertools.product(CAPACITY, RANKS))
VIEW = views.PoolView(
    pool=POOL,
    version=1,
    slots=SLOTS,
    connections=20,
    databases={
        "d": resources.DatabaseSpec(
            name="d",
            endpoints=tuple(
                resources.EndpointSpec(name=f"e{number}", address="", place="x")
                for number in range(3)
            ),
        )
    },
    ranks=RANKS,
    kinds={},
    capacity=CAPACITY,
    bill=CAPACITY,
)

BASE = {"urgent": 0.3, "normal": 0.15, "background": 0.05}


def make_load(flooding=(), flood=10.0, partners=("a", "b")):
    """Return the load by partner and rank, with a flood in the given ranks."""
    load = {(p, r): CAPACITY[p] * part for p in CAPACITY for r, part in BASE.items()}
    for partner, rank in itertools.product(partners, flooding):
        load[partner, rank] = flood / len(partners) / len(flooding)
    return load


SCENARIOS = {
    "unloaded": make_load(),
    "background_flood": make_load(["background"]),
    "urgent_flood": make_load(["urgent"]),
    "urgent_and_background_flood": make_load(["urgent", "background"], 20.0),
    "all_ranks_flood": make_load(list(RANKS), 15.0),
    "one_partner_floods_all_ranks": make_load(list(RANKS), 10.0, ("a",)),
    "one_partner_at_two_endpoints": make_load(list(RANKS), 10.0),
}
REACHABLE = {"one_partner_at_two_endpoints": {"b": (0, 1)}}
"""Endpoints that receive a partner's statements, by scenario; all if absent."""


COMPARED = (*tuple(SCENARIOS)[:4], "one_partner_floods_all_ranks")

DESIGNS = {
    "ranked": tuple(SCENARIOS),
    "fifo": COMPARED,
    "fixed_parts": COMPARED,
    "strict": ("unloaded", "background_flood"),
}
"""Scenarios by design. ``strict`` always serves the most urgent rank; its latency is
the lower bound for a queue that does not preempt running work."""


class FifoQueue:
    """First-in-first-out queue bounded by the sum of the queue limits of all ranks."""

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.items = collections.OrderedDict()
        self.by_rank = collections.Counter()

    def has_room(self, rank):
        """Return whether work of a rank can be added."""
        return len(self.items) < sum(spec.queue_limit for spec in RANKS.values())

    def choose(self):
        """Return the id of the work to start next."""
        return next(iter(self.items))

    def admit(self, item, now):
        """Add work; return what was shed for it, None if it was refused."""
        if not self.has_room(item.rank):
            return None
        self.items[item.id] = item
        self.by_rank[item.rank] += 1
        return ()

    def take(self, now):
        """Start the next work if a slot is free."""
        if self.running >= self.slots or not self.items:
            return None
        self.running += 1
        return self.remove(self.choose())

    def remove(self, work_id):
        """Remove and return waiting work."""
        item = self.items.pop(work_id)
        self.by_rank[item.rank] -= 1
        return item

    def finish(self, work_id, now):
        """Release the slot of a work item."""
        self.running -= 1

    def expire(self, now):
        """Remove and return work whose deadline passed."""
        late = [item for item in self.items.values() if item.deadline <= now]
        return [self.remove(item.id) for item in late]

    @property
    def waiting(self):
        """Return the number of waiting work items."""
        return len(self.items)


class StrictQueue(FifoQueue):
    """Queue in strict rank order, without floors and shares."""

    def has_room(self, rank):
        """Return whether work of a rank can be added."""
        return self.by_rank[rank] < RANKS[rank].queue_limit

    def choose(self):
        """Return the id of the work to start next."""
        first = min(self.items.values(), key=lambda item: RANKS[item.rank].order)
        return first.id


class RankedQueue:
    """The real endpoint queue with its accounts."""

    slots = SLOTS

    def __init__(self, board, endpoint):
        self.board = board
        self.queue = queues.EndpointQueue(endpoint=endpoint, pool=POOL)
        board.endpoint_queues[endpoint] = self.queue
        self.items = {}

    def admit(self, item, now):
        """Add work; return what was shed for it, None if it was refused."""
        outcome = self.queue.admit(item, VIEW, now)
        return outcome.unwrap() if outcome.is_ok() else None

    def take(self, now):
        """Start the next work if a slot is free."""
        item = self.queue.take(VIEW, now)
        if item is not None:
            self.items[item.id] = item
        return item

    def finish(self, work_id, now):
        """Release the slot of a work item."""
        seconds = self.queue.finish(work_id, now)
        item = self.items.pop(work_id)
        billing.account(self.board, POOL, item.partner, item.rank, seconds)

    def expire(self, now):
        """Remove and return work whose deadline passed."""
        return self.queue.expire(now)

    @property
    def waiting(self):
        """Return the number of waiting work items."""
        return self.queue.waiting


@attrs.define(kw_only=True)
class Totals:
    """Counts and times of one partner and rank after the warm-up."""

    offered: int = 0
    offered_seconds: float = 0.0
    refused_at_entry: int = 0
    refused_at_queue: int = 0
    expired: int = 0
    slot_seconds: float = 0.0
    queueing: list[float] = attrs.field(factory=list)
    latency: list[float] = attrs.field(factory=list)


class Simulation:
    """One scenario with one design."""

    def __init__(self, scenario, design, seed):
        self.load, self.reachable = SCENARIOS[scenario], REACHABLE.get(scenario, {})
        self.design = design
        # One random stream per partner and rank gives work that does not flood the
        # same arrivals in all scenarios, so ratios of scenarios have no such noise.
        self.streams = {key: random.Random(f"{seed}/{key}") for key in KEYS}
        self.events, self.order = [], itertools.count()
        self.now = 0.0
        self.totals = {key: Totals() for key in KEYS}
        self.measured_at = 0.0
        self.busy_seconds = self.wait_seconds = 0.0
        self.pool_busy_seconds = self.pool_wait_seconds = 0.0
        self.items = {}
        self.boards = {host: self._make_board(n) for n, host in enumerate(HOSTS)}
        self.servers = self._make_servers()
        self.busy = [0] * len(self.servers)
        self.started = {}

    def _make_board(self, number):
        identity = blackboard.Identity(
            host=HOSTS[number], address="127.0.0.1:7000", place="x"
        )
        board = blackboard.Blackboard(identity=identity, random=random.Random(number))
        board.pools[POOL] = VIEW
        for host in HOSTS:
            board.hosts[host] = blackboard.HostRecord(name=host, address="", place="x")
        board.placement.update(zip(ENDPOINTS, HOSTS, strict=False))
        return board

    def _make_servers(self):
        if self.design == "fixed_parts":
            spare = SLOTS * len(ENDPOINTS) - len(HOSTS)
            return [StrictQueue(1 + (n < spare)) for n in range(len(HOSTS))]
        if self.design == "fifo":
            return [FifoQueue(SLOTS) for _ in ENDPOINTS]
        if self.design == "strict":
            return [StrictQueue(SLOTS) for _ in ENDPOINTS]
        return [
            RankedQueue(self.boards[host], endpoint)
            for host, endpoint in zip(HOSTS, ENDPOINTS, strict=False)
        ]

    def _push(self, at, handler, *arguments):
        heapq.heappush(self.events, (at, next(self.order), handler, arguments))

    def run(self):
        """Run the scenario to its end and return the simulation itself."""
        for key in KEYS:
            self._push(0.0, self._arrive, key)
        if self.design == "ranked":
            for number, host in enumerate(HOSTS):
                self._push(number * 0.006, self._tick, self.boards[host])
        for number in range(len(self.servers)):
            self._push(0.0, self._expire, number)
        while self.events[0][0] <= RUN_SECONDS:
            at, _, handler, arguments = heapq.heappop(self.events)
            self.now = at
            handler(*arguments)
        for item, started_at in self.started.values():
            self._count_service(item, started_at, RUN_SECONDS)
        return self

    @property
    def _measuring(self):
        return self.now >= WARM_UP_SECONDS

    def _measure(self):
        """Add the busy slot time while work waits; call before the state changes."""
        elapsed = self.now - max(self.measured_at, WARM_UP_SECONDS)
        self.measured_at = self.now
        if elapsed <= 0.0:
            return
        waiting = False
        for server, busy in zip(self.servers, self.busy, strict=True):
            if server.waiting:
                waiting = True
                self.wait_seconds += server.slots * elapsed
                self.busy_seconds += busy * elapsed
        if waiting:
            self.pool_wait_seconds += SLOTS * len(ENDPOINTS) * elapsed
            self.pool_busy_seconds += sum(self.busy) * elapsed

    def _arrive(self, key):
        partner, rank = key
        stream = self.streams[key]
        rate = self.load[key] * SLOTS * len(ENDPOINTS) / MEAN_SECONDS
        self._push(self.now + stream.expovariate(rate), self._arrive, key)
        draw = stream.random() * ENTRY_BOUNDS[-1]
        entry = bisect.bisect(ENTRY_BOUNDS, draw)
        endpoint = stream.choice(self.reachable.get(partner, (0, 1, 2)))
        # Drawn before any refusal, so that every design gets the same statements.
        length = stream.lognormvariate(-0.5, 1.0) * MEAN_SECONDS
        counts = self.totals[key]
        counts.offered += self._measuring
        counts.offered_seconds += length * self._measuring
        if self.design == "ranked":
            board = self.boards[HOSTS[entry]]
            if limits.admit(board, POOL, partner, rank, self.now).is_err():
                counts.refused_at_entry += self._measuring
                return
        item = work.Work(
            id=str(next(self.order)),
            partner=partner,
            rank=rank,
            deadline=self.now + TIMEOUT_SECONDS[rank],
            enqueued_at=self.now,
        )
        if self.design == "fixed_parts":
            endpoint = entry
        self.items[item.id] = (entry, endpoint, length, self.now)
        delay = 0.0 if self.design == "fixed_parts" else ONE_WAY_SECONDS
        self._push(self.now + delay, self._enqueue, item)

    def _enqueue(self, item):
        self._measure()
        number = self.items[item.id][1]
        server = self.servers[number]
        item.enqueued_at = self.now
        shed = server.admit(item, self.now)
        for other in (item,) if shed is None else shed:
            self._refuse(other)
        self._start_waiting(number)

    def _start_waiting(self, number):
        server = self.servers[number]
        while (item := server.take(self.now)) is not None:
            self.busy[number] += 1
            length = self.items[item.id][2]
            self.started[item.id] = (item, self.now)
            self._push(self.now + length, self._finish, item, self.now)

    def _finish(self, item, started_at):
        self._measure()
        entry, number, _, arrived_at = self.items.pop(item.id)
        self.busy[number] -= 1
        self.servers[number].finish(item.id, self.now)
        del self.started[item.id]
        self._count_service(item, started_at, self.now)
        counts = self.totals[item.partner, item.rank]
        queueing = started_at - item.enqueued_at
        delay = 0.0 if self.design == "fixed_parts" else ONE_WAY_SECONDS
        if arrived_at >= WARM_UP_SECONDS:
            counts.queueing.append(queueing)
            counts.latency.append(self.now + delay - arrived_at)
        self._answer(entry, item, False, queueing)
        self._start_waiting(number)

    def _count_service(self, item, started_at, ended_at):
        seconds = ended_at - max(started_at, WARM_UP_SECONDS)
        self.totals[item.partner, item.rank].slot_seconds += max(0.0, seconds)

    def _refuse(self, item, expired=False):
        entry, *_ = self.items.pop(item.id)
        counts = self.totals[item.partner, item.rank]
        if expired:
            counts.expired += self._measuring
        else:
            counts.refused_at_queue += self._measuring
        self._answer(entry, item, True, self.now - item.enqueued_at)

    def _answer(self, entry, item, refused, queueing):
        if self.design == "ranked":
            at = self.now + ONE_WAY_SECONDS
            self._push(at, self._record_answer, entry, item, refused, queueing)

    def _record_answer(self, entry, item, refused, queueing):
        board = self.boards[HOSTS[entry]]
        key = (POOL, item.partner, item.rank)
        limits.record_answer(board, *key, refused, queueing, self.now)
        limits.release(board, *key, self.now)

    def _expire(self, number):
        self._measure()
        self._push(self.now + TICK_SECONDS, self._expire, number)
        for item in self.servers[number].expire(self.now):
            self._refuse(item, expired=True)

    def _tick(self, board):
        self._push(self.now + TICK_SECONDS, self._tick, board)
        for step in (limits.step, shares.step, billing.step):
            step(board, self.now)
        actions, board.actions = board.actions, []
        for action in actions:
            if isinstance(action, base.SendPeer):
                at = self.now + ONE_WAY_SECONDS
                self._push(at, self._receive, action, board.identity.host)

    def _receive(self, action, sender):
        base.receive(action.message, self.boards[action.host], sender, self.now)


def compute_percentile(values, part):
    ordered = sorted(values)
    return round(ordered[int(part * (len(ordered) - 1))], 4) if ordered else None


def summarize(run):
    """Return shares, latencies and counts of one run."""
    totals = run.totals
    total = sum(counts.slot_seconds for counts in totals.values())
    slots = SLOTS * len(ENDPOINTS) * (RUN_SECONDS - WARM_UP_SECONDS)
    rows = {}
    for (partner, rank), counts in totals.items():
        rows[f"{partner}/{rank}"] = {
            "share": round(counts.slot_seconds / total, 4),
            "offered_load": round(counts.offered_seconds / slots, 4),
            "queueing_p50": compute_percentile(counts.queueing, 0.5),
            "queueing_p99": compute_percentile(counts.queueing, 0.99),
            "latency_p99": compute_percentile(counts.latency, 0.99),
            "offered": counts.offered,
            "refused_at_entry": counts.refused_at_entry,
            "refused_at_queue": counts.refused_at_queue,
            "expired": counts.expired,
        }
    rank_shares, partner_shares = collections.Counter(), collections.Counter()
    urgent_queueing, urgent_latency = [], []
    for (partner, rank), counts in totals.items():
        rank_shares[rank] += counts.slot_seconds / total
        partner_shares[partner] += counts.slot_seconds / total
        if rank == "urgent":
            urgent_queueing += counts.queueing
            urgent_latency += counts.latency
    bytes_sent = [
        board.counters.get("usage_bytes_sent", 0)
        + board.counters.get("billing_bytes_sent", 0)
        for board in run.boards.values()
    ]
    return {
        "work": rows,
        "rank_shares": {rank: round(rank_shares[rank], 4) for rank in RANKS},
        "partner_shares": {p: round(partner_shares[p], 4) for p in CAPACITY},
        "urgent_queueing_p99": compute_percentile(urgent_queueing, 0.99),
        "urgent_latency_p99": compute_percentile(urgent_latency, 0.99),
        "busy_while_waiting": divide(run.busy_seconds, run.wait_seconds),
        "pool_busy_while_waiting": divide(run.pool_busy_seconds, run.pool_wait_seconds),
        "control_bytes_per_second_max": round(max(bytes_sent) / RUN_SECONDS),
    }


def divide(part, whole):
    return round(part / whole, 4) if part is not None and whole else None


def compute_offered_load(run, number, name):
    """Return the load that a partner (``number`` 0) or rank (1) offered in a run."""
    return sum(
        row["offered_load"]
        for key, row in run["work"].items()
        if key.split("/")[number] == name
    )


def evaluate_goals(runs):
    """Compare the runs of one design with the goals and list the misses.

    A floor or share is met if the service is at least the smaller of it and the
    offered load, less the tolerance.
    """
    goals = {}
    flood, quiet = runs["background_flood"], runs["unloaded"]
    for name in ("queueing", "latency"):
        field = f"urgent_{name}_p99"
        goals[f"urgent_{name}_p99_ratio"] = divide(flood[field], quiet[field])
    misses = [
        f"{name} is {goals[name]}; goal 1.5"
        for name in ("urgent_queueing_p99_ratio", "urgent_latency_p99_ratio")
        if goals[name] is None or goals[name] > 1.5
    ]
    for scenario, run in runs.items():
        if scenario == "unloaded":
            continue
        for rank, spec in RANKS.items():
            required = min(spec.floor, compute_offered_load(run, 1, rank))
            if run["rank_shares"][rank] < required - 0.01:
                misses.append(f"{scenario}: floor of {rank}")
        for partner, share in CAPACITY.items():
            required = min(share, compute_offered_load(run, 0, partner))
            if run["partner_shares"][partner] < required - 0.02:
                misses.append(f"{scenario}: share of {partner}")
        if (run["busy_while_waiting"] or 1.0) < 0.97:
            misses.append(f"{scenario}: slots busy at a server")
        if (run["pool_busy_while_waiting"] or 1.0) < 0.97:
            misses.append(f"{scenario}: slots busy in the pool")
    goals["misses"] = misses
    return goals


def main():
    arguments = commands.parse_arguments(__doc__)
    report = {"bench": "flood", "seed": arguments.seed, "designs": {}, "goals": {}}
    for design, scenarios in DESIGNS.items():
        runs = {}
        for scenario in scenarios:
            started_at = time.process_time()
            run = Simulation(scenario, design, arguments.seed).run()
            runs[scenario] = summarize(run)
            seconds = time.process_time() - started_at
            shown = {k: v for k, v in runs[scenario].items() if k != "work"}
            print(f"{design} {scenario} ({seconds:.1f} s): {shown}")
        report["designs"][design] = runs
        report["goals"][design] = evaluate_goals(runs)
        print(f"{design}: {report['goals'][design]}")
    if arguments.json:
        print(json.dumps(report))


if __name__ == "__main__":
    main()
