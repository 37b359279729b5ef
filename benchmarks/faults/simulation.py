"""Simulation of a fleet of real cores with fake adapters, load and faults.

The recorded history is checked at the end of the run.
"""

import random
from collections.abc import Callable

import attrs

from benchmarks.faults import (
    callers,
    cases,
    checker,
    clocks,
    endpoints,
    histories,
    network,
    nodes,
    operators,
    plan,
    store,
)
from hyssopshelf import blackboard, messages
from hyssopshelf.configuration import declarations, documents, resources
from hyssopshelf.consistency import positions
from hyssopshelf.standins import database

POOL = "mondkartei"
PARTNERS = ("steyrtal", "priehradka")
PLACES = ("steyr-rathaus", "enns-werkhof", "freistadt-keller")
DATABASES = ("orders", "almanac")
CONNECTIONS = 8
SLOTS = 3

RATE_SPREAD = 0.05
"""Largest deviation of a clock's rate from 1, in seconds per second."""

START_SECONDS = 3.0
"""Length of the fault-free start of a run."""

QUIET_SECONDS = 6.0
"""Time after the end of the load in which the replicas catch up."""

SAMPLE_SECONDS = 0.1
"""Period at which the reachability of nodes is sampled."""

JOIN_SECONDS = 4.0
"""Time after its start in which a node counts as unreachable."""

KINDS = (
    callers.Kind(name="order", staleness_seconds=0.5, acknowledge="majority"),
    callers.Kind(name="page", staleness_seconds=1.0, acknowledge="confirmed"),
    callers.Kind(name="report", staleness_seconds=4.0, acknowledge="confirmed"),
)


@attrs.frozen(kw_only=True)
class Options:
    """Parameters of a run.

    Attributes
    ----------
    seconds : float
        Virtual time during which faults are injected.
    hosts, callers : int
        Number of nodes and of callers.
    kinds : tuple of callers.Kind
        Kinds of work in descending priority.
    apply_delay_seconds : float
        Time between the arrival of an entry at a replica and its visibility.
    """

    seed: int
    seconds: float = 30.0
    hosts: int = 6
    faults: tuple[str, ...] = ()
    settle_seconds: float = 20.0
    kinds: tuple[callers.Kind, ...] = KINDS
    callers: int = 9
    apply_delay_seconds: float = 0.0
    trace: Callable[[str], None] | None = None


@attrs.frozen(kw_only=True)
class Outcome:
    """Result of a run."""

    violations: list[cases.Violation]
    history: histories.History
    faults: dict[str, int]
    virtual_seconds: float
    store_calls: int


def make_document(kinds: tuple[callers.Kind, ...] = KINDS) -> resources.Document:
    """Return the initial configuration document of the pool."""
    specs = {
        (resources.ResourceKind.POOL, POOL): resources.PoolSpec(
            databases=tuple(
                resources.DatabaseSpec(
                    name=name,
                    endpoints=tuple(
                        resources.EndpointSpec(
                            name=letter, address=f"127.0.0.1:{port}", place=place
                        )
                        for port, (letter, place) in enumerate(
                            zip("abc", PLACES, strict=True), start=1000 + 10 * number
                        )
                    ),
                )
                for number, name in enumerate(DATABASES)
            ),
            partners=PARTNERS,
            slots=SLOTS,
            connections=CONNECTIONS,
        ),
    }
    for order, kind in enumerate(kinds):
        specs[resources.ResourceKind.RANK, f"rank-{kind.name}"] = resources.RankSpec(
            order=order,
            floor=(0.5, 0.2, 0.1)[order],
            acknowledge=kind.acknowledge,
            queue_limit=50,
        )
    for partner in PARTNERS:
        specs[resources.ResourceKind.PARTNER, partner] = resources.PartnerSpec(
            kinds=tuple(
                resources.KindSpec(
                    name=kind.name,
                    rank=f"rank-{kind.name}",
                    staleness_seconds=kind.staleness_seconds,
                )
                for kind in kinds
            )
        )
    equal_shares = dict.fromkeys(PARTNERS, 0.5)
    specs[resources.ResourceKind.SPLIT, "split"] = resources.SplitSpec(
        capacity=equal_shares, bill=equal_shares
    )
    return resources.Document(
        pool=POOL,
        version=1,
        resources=tuple(
            resources.Resource(
                kind=kind, pool=POOL, name=name, resource_version=1, spec=spec
            )
            for (kind, name), spec in specs.items()
        ),
    )


class Simulation:
    """Runs a fleet on a virtual clock and checks its history."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.loop = clocks.EventLoop()
        self.history = histories.History(slowest_rate=1.0 - RATE_SPREAD)
        net = network.Network(loop=self.loop, random=self._derive_random())
        self.context = nodes.RunContext(
            loop=self.loop,
            network=net,
            history=self.history,
            store=store.FakeStore(
                loop=self.loop,
                network=net,
                random=self._derive_random(),
                history=self.history,
            ),
            host_list=store.FakeHostList(loop=self.loop, network=net),
            trace=self._trace if options.trace else None,
        )
        self._down_since: dict[str, float] = {}
        self._build_endpoints()
        self._build_nodes()
        self.callers = [
            self._make_caller(f"c{n}", options.kinds[n % len(options.kinds)])
            for n in range(options.callers)
        ]
        pool_operators = operators.Operators(
            pool=POOL,
            partners=PARTNERS,
            random=self._derive_random(),
            context=self.context,
        )
        self.injector = plan.Injector(
            context=self.context,
            random=self._derive_random(),
            callers=tuple(caller.name for caller in self.callers),
            allowed=options.faults,
            flood=self._flood,
            edit=pool_operators.edit,
            leave=pool_operators.set_leaving,
        )

    def run(self) -> Outcome:
        """Inject faults under load, let the fleet settle and check the history."""
        self.start()
        end_of_faults = START_SECONDS + self.options.seconds
        self.injector.run(START_SECONDS, end_of_faults)
        end_of_load = end_of_faults + self.options.settle_seconds
        for caller in self.callers:
            caller.stop_at = end_of_load
        self.loop.run_until(end_of_load)
        return self.finish()

    def start(self) -> None:
        """Write the configuration and start all processes and callers."""
        data = declarations.encode_document(make_document(self.options.kinds))
        self.context.store.write(documents.key_of(POOL), data)
        self._publish_hosts()
        for process in self.context.nodes.values():
            process.start()
        for caller in self.callers:
            caller.start()
        self._sample()

    def finish(self) -> Outcome:
        """Stop the load, verify that the fleet takes writes and check the history."""
        for caller in self.callers:
            caller.stop_at = min(caller.stop_at, self.loop.now)
        self.loop.run_until(self.loop.now + QUIET_SECONDS)
        self._probe_service()
        self.history.stalled.extend(
            f"{host} has not finished draining"
            for host, process in self.context.nodes.items()
            if process.stopping
        )
        self.history.end = self.loop.now
        for host in list(self._down_since):
            self._set_reachable(host, True)
        self._find_survivors()
        return Outcome(
            violations=checker.check_history(self.history),
            history=self.history,
            faults=dict(self.injector.counts),
            virtual_seconds=self.loop.now,
            store_calls=self.context.store.calls,
        )

    # Construction.

    def _derive_random(self) -> random.Random:
        return random.Random(self.random.getrandbits(64))

    def _make_clock(self) -> clocks.SkewedClock:
        return clocks.SkewedClock(
            loop=self.loop,
            rate=self.random.uniform(1.0 - RATE_SPREAD, 1.0 + RATE_SPREAD),
            origin=self.random.uniform(0.0, 1e6),
        )

    def _build_endpoints(self) -> None:
        for name in DATABASES:
            group: dict[str, endpoints.FakeEndpoint] = {}
            for letter, place in zip("abc", PLACES, strict=True):
                full = f"{POOL}/{name}/{letter}"
                self.context.network.places[full] = place
                group[full] = endpoints.FakeEndpoint(
                    name=full,
                    loop=self.loop,
                    clock=self._make_clock(),
                    network=self.context.network,
                    random=self._derive_random(),
                    history=self.history,
                    instance=database.Instance(
                        name=full,
                        connection_limit=CONNECTIONS,
                        apply_delay_seconds=self.options.apply_delay_seconds,
                    ),
                    peers=group,
                )
            primary, *replicas = group.values()
            primary.instance.bootstrap(1, primary.clock.read())
            for replica in replicas:
                order = messages.Follow(term=1, primary=primary.name)
                replica.instance.follow(order, replica.clock.read())
            self.context.endpoints.update(group)
        for endpoint in self.context.endpoints.values():
            endpoint.start()

    def _build_nodes(self) -> None:
        for number in range(self.options.hosts):
            host = f"h{number}"
            place = PLACES[number % len(PLACES)]
            self.context.network.places[host] = place
            self.context.nodes[host] = nodes.NodeProcess(
                host=host,
                place=place,
                region=place,
                clock=self._make_clock(),
                random=self._derive_random(),
                context=self.context,
                prepare=self._prepare,
            )

    def _prepare(self, process: nodes.NodeProcess) -> None:
        """Add the hosts a core knows from its settings: itself and two to join."""
        board = process.core.board
        others = [name for name in self.context.nodes if name != process.host]
        for name in process.random.sample(others, 2):
            board.hosts[name] = blackboard.HostRecord(
                name=name, address=name, place="", region=""
            )
        board.hosts[process.host] = blackboard.HostRecord(
            name=process.host,
            address=process.host,
            place=process.place,
            region=process.region,
            incarnation=process.incarnation,
        )

    def _make_caller(self, name: str, kind: callers.Kind) -> callers.Caller:
        return callers.Caller(
            name=name,
            pool=POOL,
            partner=self.random.choice(PARTNERS),
            databases=DATABASES,
            kind=kind,
            random=self._derive_random(),
            context=self.context,
        )

    # Steps of a run.

    def _flood(self, seconds: float) -> None:
        for number in range(20):
            name = f"f{self.loop.now:.3f}-{number}"
            caller = self._make_caller(name, self.options.kinds[-1])
            caller.think_seconds = 0.01
            caller.stop_at = self.loop.now + seconds
            caller.start()

    def _publish_hosts(self) -> None:
        self.context.host_list.publish(nodes.list_host_entries(self.context.nodes))
        self.loop.call_later(1.0, self._publish_hosts)

    def _sample(self) -> None:
        """Record which nodes are reachable, every ``SAMPLE_SECONDS``."""
        alive = [process for process in self.context.nodes.values() if process.alive]
        all_reachable = True
        for process in self.context.nodes.values():
            reachable = self._is_reachable(process, alive)
            all_reachable = all_reachable and reachable
            self._set_reachable(process.host, reachable)
        fake_store = self.context.store
        store_healthy = not (
            fake_store.down or fake_store.slow_seconds or fake_store.loss_rate
        )
        # While the store is unavailable, a change known only to the node that
        # committed it reaches the others when that node or the store is back.
        for host in () if store_healthy or all_reachable else self.context.nodes:
            self._set_reachable(host, False)
        self.loop.call_later(SAMPLE_SECONDS, self._sample)

    def _is_reachable(
        self, process: nodes.NodeProcess, alive: list[nodes.NodeProcess]
    ) -> bool:
        if not process.alive or process.paused or process.stopping:
            return False
        if self.loop.now < process.started_at + JOIN_SECONDS:
            return False
        peers = [
            other
            for other in alive
            if other is not process
            and not other.paused
            and self.context.network.connects(process.host, other.host)
        ]
        return 2 * len(peers) > len(self.context.nodes) - 1

    def _set_reachable(self, host: str, reachable: bool) -> None:
        if not reachable:
            self._down_since.setdefault(host, self.loop.now - SAMPLE_SECONDS)
        elif host in self._down_since:
            self.history.unreachable.append(
                histories.Unreachable(
                    host=host, start=self._down_since.pop(host), end=self.loop.now
                )
            )

    def _probe_service(self) -> None:
        """Retry a write to each database until it succeeds, for at most 20 s."""
        missing = set(DATABASES)
        for _ in range(20):
            for name in sorted(missing):
                caller = self._make_caller(
                    f"p{self.loop.now:.0f}{name}", self.options.kinds[0]
                )
                caller.probe(name)
            self.loop.run_until(self.loop.now + 1.0)
            for request in reversed(self.history.requests):
                if not request.session.startswith("p"):
                    break
                if request.succeeded:
                    missing.discard(request.database.partition("/")[2])
            if not missing:
                return
        self.history.stalled.extend(sorted(missing))

    def _find_survivors(self) -> None:
        for name in DATABASES:
            full = f"{POOL}/{name}"
            group = [
                endpoint.instance
                for endpoint in self.context.endpoints.values()
                if endpoint.database == full
            ]
            primaries = [i for i in group if i.role is messages.Role.PRIMARY]
            heads = [
                (instance.term, positions.locate(instance.history, instance.position))
                for instance in primaries or group
            ]
            _, head = max(heads)
            self.history.survivors[full] = head if head.index else None

    def _trace(self, party: str, text: str) -> None:
        self.options.trace(f"{self.loop.now:9.4f} {party:<8} {text}")


def run_seed(options: Options) -> Outcome:
    """Run one simulation with the given options."""
    return Simulation(options).run()
