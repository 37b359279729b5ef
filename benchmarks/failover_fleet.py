"""Simulates failover for bench_failover: real nodes on a virtual clock.

Instances and the store are models, and delays replace the runtime's adapters. A
killed endpoint refuses, a paused one answers later, a partition drops messages.
"""

import collections
import heapq
import itertools
import random

import attrs
from result import Err, Ok

from hyssopshelf import base, blackboard, kvstore, messages, node, peer_events
from hyssopshelf.configuration import application, resources
from hyssopshelf.consistency import tokens
from hyssopshelf.standins import database

POOL = "pool"
DATABASE = "pool/orders"
PLACES = ("north", "south", "west")
KEYS = (("k1", b"secret"),)
LOCAL_DELAY_SECONDS = 0.0005
STATEMENT_SECONDS = 0.001
FETCH_SECONDS = 0.01
STORE_SECONDS = 0.003
PROBE_TIMEOUT_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 1.0
WRITE_DEADLINE_SECONDS = 5.0


def build_document() -> resources.Document:
    """Return the document of a pool: one database, an endpoint in each of 3 places."""
    endpoints = tuple(
        resources.EndpointSpec(name=name, address="127.0.0.1:1", place=place)
        for name, place in zip("abc", PLACES, strict=True)
    )
    kinds = (
        resources.KindSpec(name="scan", rank="urgent"),
        resources.KindSpec(name="label", rank="normal"),
    )
    specs = {
        (resources.ResourceKind.POOL, POOL): resources.PoolSpec(
            databases=(resources.DatabaseSpec(name="orders", endpoints=endpoints),),
            partners=("steyrtal",),
            slots=3,
            connections=20,
        ),
        (resources.ResourceKind.PARTNER, "steyrtal"): resources.PartnerSpec(
            kinds=kinds
        ),
        (resources.ResourceKind.RANK, "urgent"): resources.RankSpec(
            order=0, floor=0.4, acknowledge=resources.MAJORITY
        ),
        (resources.ResourceKind.RANK, "normal"): resources.RankSpec(
            order=1, floor=0.4, acknowledge=resources.CONFIRMED
        ),
    }
    return resources.Document(
        pool=POOL,
        version=1,
        resources=tuple(
            resources.Resource(kind=kind, pool=POOL, name=name, spec=spec)
            for (kind, name), spec in specs.items()
        ),
    )


@attrs.define(kw_only=True)
class Write:
    """A write and its outcome; ``replaced`` if a newer term preceded the answer."""

    value: str
    kind: str
    host: str
    sent_at: float
    answered_at: float | None = None
    answer: messages.Answer | None = None
    term: int = 0
    replaced: bool = False

    @property
    def acknowledged(self) -> bool:
        """Return whether the write was answered without an error."""
        return self.answer is not None and self.answer.error is None


class Store:
    """A model of the platform's store with the operations that failover uses."""

    def __init__(self) -> None:
        self.down = False
        self.entries: dict[str, tuple[kvstore.Entry, int]] = {}
        self.leases: dict[int, float] = {}
        self._numbers = itertools.count(1)

    def call(self, operation, now: float):
        """Delete the keys of expired leases, then carry out an operation."""
        for key, (_, lease) in list(self.entries.items()):
            if lease and self.leases.get(lease, 0.0) <= now:
                del self.entries[key]
        match operation:
            case kvstore.GrantLease():
                lease = next(self._numbers)
                self.leases[lease] = now + operation.time_to_live_seconds
                return Ok(lease)
            case kvstore.RevokeLease():
                self.leases.pop(operation.lease, None)
                return Ok(None)
            case kvstore.Get():
                return Ok(self.entries.get(operation.key, (None, 0))[0])
            case kvstore.CompareAndSwap():
                return Ok(self._swap(operation))
        return Err("operation not supported by the simulated store")

    def _swap(self, operation) -> kvstore.Swapped:
        current = self.entries.get(operation.key, (None, 0))[0]
        revision = current.revision if current is not None else 0
        if revision != operation.revision:
            return kvstore.Swapped(succeeded=False, current=current)
        entry = kvstore.Entry(
            key=operation.key, value=operation.value, revision=next(self._numbers)
        )
        self.entries[operation.key] = (entry, operation.lease)
        return kvstore.Swapped(succeeded=True, current=entry)


class Fleet:
    """Nodes, instances, a store and a write load; delays are in seconds."""

    def __init__(self, *, seed: int, delay: float, hosts_by_place: int = 2) -> None:
        self.now = 0.0
        self.delay = delay
        self.random = random.Random(seed)
        self.store = Store()
        self.queue: list = []
        self.sequence = itertools.count()
        self.cut_links: set[frozenset[str]] = set()
        self.down: set[str] = set()
        self.paused: dict[str, float] = {}
        self.places: dict[str, str] = {}
        self.connections: dict[str, tuple[str, str]] = {}
        self.writes: dict[str, Write] = {}
        self.logs: list[tuple[float, str, str, dict]] = []
        self.promotions: list[tuple[float, int, str]] = []
        self.waiting_tickets: dict[str, dict] = collections.defaultdict(dict)
        self.confirmation_delays: list[tuple[str, float]] = []
        self.instances = {}
        for name, place in zip("abc", PLACES, strict=True):
            full_name = f"{DATABASE}/{name}"
            self.instances[full_name] = database.Instance(name=full_name)
            self.places[full_name] = place
        self.nodes = {}
        for place, number in itertools.product(PLACES, range(hosts_by_place)):
            host = f"{place}-{number}"
            self.places[host] = place
            identity = blackboard.Identity(host=host, address=host, place=place)
            self.nodes[host] = node.Node(
                identity=identity,
                seed=self.random.randrange(2**32),
                token_keys=KEYS,
            )
        for member in self.nodes.values():
            for host in self.nodes:
                member.board.hosts[host] = blackboard.HostRecord(
                    name=host, address=host, place=self.places[host]
                )
            application.apply_document(member.board, build_document(), 0.0)
            member.board.configuration_ready = True
        for host in self.nodes:
            self._schedule_tick(host, self.random.random() * node.TICK_SECONDS)
        for name in self.instances:
            self._run_after(self.random.random() * 0.01, lambda n=name: self._fetch(n))

    # Clock and network.

    def run(self, until: float) -> None:
        """Run all calls that are due until a time of the virtual clock."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until

    def schedule(self, time: float, call) -> None:
        """Schedule a call at a time of the virtual clock."""
        heapq.heappush(self.queue, (time, next(self.sequence), call))

    def isolate(self, name: str, others) -> None:
        """Drop all later messages between one member and others."""
        self.cut_links |= {frozenset((name, other)) for other in others}

    def pause(self, name: str, seconds: float) -> None:
        """Pause a member; messages that arrive meanwhile wait until it resumes."""
        self.paused[name] = self.now + seconds

    def kill_endpoint(self, name: str) -> None:
        """Kill an endpoint and close its connections."""
        self.down.add(name)
        for connection, (host, endpoint) in list(self.connections.items()):
            if endpoint == name:
                del self.connections[connection]
                self.instances[name].close_connection(connection)
                event = base.ConnectionClosed(connection=connection)
                self._deliver(name, host, event)

    def _run_after(self, delay: float, call) -> None:
        self.schedule(self.now + delay, call)

    def _compute_delay(self, one: str, other: str) -> float:
        same = self.places[one] == self.places[other]
        return LOCAL_DELAY_SECONDS if same else self.delay

    def _send(self, source: str, target: str, call, on_lost=None) -> None:
        """Call ``call`` at the target after the delay; ``on_lost`` if partitioned."""

        def arrive():
            if frozenset((source, target)) in self.cut_links:
                if on_lost is not None:
                    on_lost()
            elif self.paused.get(target, 0.0) > self.now:
                self.schedule(self.paused[target], arrive)
            else:
                call()

        self._run_after(self._compute_delay(source, target), arrive)

    def _deliver(self, source: str, host: str, event) -> None:
        self._send(source, host, lambda: self.handle(host, event))

    # Nodes.

    def _schedule_tick(self, host: str, delay: float) -> None:
        def tick():
            if self.paused.get(host, 0.0) > self.now:
                self.schedule(self.paused[host], tick)
                return
            self.handle(host, base.Ticked())
            self._run_after(node.TICK_SECONDS, tick)

        self._run_after(delay, tick)

    def handle(self, host: str, event) -> None:
        """Let a node handle an event, then carry out the actions it returns."""
        if host in self.down:
            return
        for action in self.nodes[host].handle(event, self.now):
            self._carry_out(host, action)
        self._record_confirmations(host)

    def _carry_out(self, host: str, action) -> None:
        match action:
            case base.Reply():
                self._record_answer(action)
            case base.SendPeer():
                event = peer_events.PeerReceived(host=host, message=action.message)
                self._deliver(host, action.host, event)
            case base.OpenConnection():
                self._open(host, action)
            case base.CloseConnection():
                self._close(host, action.connection)
            case base.Execute():
                self._execute(host, action)
            case base.ProbeStatus():
                self._call_endpoint(
                    host,
                    action.endpoint,
                    lambda instance: instance.report_status(self.now),
                    lambda status: base.StatusReceived(
                        endpoint=action.endpoint,
                        probe_id=action.probe_id,
                        status=status,
                    ),
                )
            case base.CallControl():
                self._call_endpoint(
                    host,
                    action.endpoint,
                    lambda instance: self._run_control(instance, action.operation),
                    lambda answer: base.ControlAnswered(
                        endpoint=action.endpoint,
                        call_id=action.call_id,
                        answer=answer,
                    ),
                )
            case base.CallStore():
                self._call_store(host, action)
            case base.Log():
                self.logs.append((self.now, host, action.event.name, action.fields))

    def _call_store(self, host: str, action) -> None:
        def answer():
            result = Err("no answer")
            if not self.store.down:
                result = self.store.call(action.operation, self.now)
            event = base.StoreAnswered(call_id=action.call_id, result=result)
            self.handle(host, event)

        self._run_after(
            CONNECT_TIMEOUT_SECONDS if self.store.down else STORE_SECONDS, answer
        )

    # Endpoints.

    def _call_endpoint(self, host: str, endpoint: str, work, build_event) -> None:
        """Call ``work`` at an endpoint; without an answer its result is None."""

        def fail(delay=PROBE_TIMEOUT_SECONDS):
            self._run_after(delay, lambda: self.handle(host, build_event(None)))

        def arrive():
            if endpoint in self.down:
                fail(self._compute_delay(host, endpoint))
                return
            event = build_event(work(self.instances[endpoint]))
            self._send(endpoint, host, lambda: self.handle(host, event), fail)

        self._send(host, endpoint, arrive, fail)

    def _run_control(self, instance, operation):
        match operation:
            case messages.Fence():
                return instance.fence(operation, self.now)
            case messages.Promote():
                answer = instance.promote(operation, self.now)
                if answer.granted:
                    self.promotions.append((self.now, operation.term, instance.name))
                return answer
            case messages.Follow():
                return instance.follow(operation, self.now)
        raise TypeError(operation)

    def _open(self, host: str, action) -> None:
        connection, endpoint = action.connection, action.endpoint

        def fail(refused=False, reason="timeout"):
            event = base.ConnectionFailed(
                connection=connection, refused=refused, reason=reason
            )
            self._run_after(CONNECT_TIMEOUT_SECONDS, lambda: self.handle(host, event))

        def arrive():
            if endpoint in self.down:
                fail(reason="down")
            elif self.instances[endpoint].open_connection(connection):
                self.connections[connection] = (host, endpoint)
                self._deliver(
                    endpoint, host, base.ConnectionOpened(connection=connection)
                )
            else:
                fail(refused=True, reason="full")

        self._send(host, endpoint, arrive, fail)

    def _close(self, host: str, connection: str) -> None:
        _, endpoint = self.connections.pop(connection, (host, ""))
        if endpoint:
            instance = self.instances[endpoint]
            self._send(host, endpoint, lambda: instance.close_connection(connection))

    def _execute(self, host: str, action) -> None:
        _, endpoint = self.connections.get(action.connection, (host, ""))
        if not endpoint:
            return
        instance = self.instances[endpoint]

        def arrive():
            self._run_after(STATEMENT_SECONDS, finish)

        def finish():
            if endpoint in self.down or action.connection not in instance.connections:
                return
            if self.paused.get(endpoint, 0.0) > self.now:
                self.schedule(self.paused[endpoint], finish)
                return
            answer = instance.execute(action.connection, action.request, self.now)
            event = base.EndpointAnswered(
                connection=action.connection,
                request_id=action.request_id,
                answer=answer,
            )
            self._deliver(endpoint, host, event)

        self._send(host, endpoint, arrive)

    def _fetch(self, name: str) -> None:
        """Fetch replication data in a loop; a lost fetch is sent again after 0.2 s."""
        instance = self.instances[name]
        sent_at = self.now
        request = None if name in self.down else instance.request_fetch(self.now)
        primary = instance.primary
        if request is None or primary not in self.instances:
            self._run_after(FETCH_SECONDS, lambda: self._fetch(name))
            return
        ended = []

        def end():
            if not ended:
                ended.append(True)
                self._run_after(FETCH_SECONDS, lambda: self._fetch(name))

        def serve():
            if primary not in self.down:
                answer = self.instances[primary].serve_fetch(request, self.now)
                self._send(primary, name, lambda: receive(answer))

        def receive(answer):
            if name not in self.down:
                instance.receive_fetch(answer, sent_at, self.now)
            end()

        self._send(name, primary, serve)
        self._run_after(0.2, end)

    def write(self, host: str, kind: str) -> None:
        """Send one write to a node and record it."""
        value = f"w{len(self.writes)}"
        self.writes[value] = Write(value=value, kind=kind, host=host, sent_at=self.now)
        statement = messages.Statement(
            id=value,
            pool=POOL,
            database="orders",
            partner="steyrtal",
            kind=kind,
            operation=messages.Operation.APPEND,
            key="orders",
            value=value,
            remaining_seconds=WRITE_DEADLINE_SECONDS,
        )
        self.handle(host, base.StatementReceived(caller=value, statement=statement))

    def start_load(self, hosts: list[str], interval: float, until: float) -> None:
        """Write every ``interval`` seconds, alternating kinds of work and hosts."""

        def send(number):
            if self.now >= until:
                return
            host = hosts[(number // 2) % len(hosts)]
            kind = "scan" if number % 2 else "label"
            self.write(host, kind)
            self._run_after(interval, lambda: send(number + 1))

        send(0)

    def _record_answer(self, action) -> None:
        write = self.writes[action.caller]
        write.answer = action.answer
        write.answered_at = self.now
        if action.answer.error is None:
            seen = tokens.verify(action.answer.token, KEYS).get(DATABASE)
            write.term = seen.term if seen is not None else 0
            newest = max((term for _, term, _ in self.promotions), default=0)
            write.replaced = write.term < newest

    def _record_confirmations(self, host: str) -> None:
        """Record how long each write waits for confirmation before its release."""
        board = self.nodes[host].board
        waiting = self.waiting_tickets[host]
        for confirmation_id in [
            name for name in waiting if name not in board.pending_confirmations
        ]:
            level, requested_at = waiting.pop(confirmation_id)
            self.confirmation_delays.append((level, self.now - requested_at))
        for pending in board.pending_confirmations.values():
            waiting.setdefault(pending.id, (pending.level.value, pending.requested_at))

    # Results.

    def find_primary(self) -> str:
        """Return the live primary of the highest term, or an empty string."""
        candidates = [
            (instance.term, name)
            for name, instance in self.instances.items()
            if instance.role is messages.Role.PRIMARY and name not in self.down
        ]
        return max(candidates)[1] if candidates else ""

    def measure_gap(self, kind: str, start: float, end: float) -> float:
        """Return the longest time without an acknowledged write, in seconds."""
        times = sorted(
            write.answered_at
            for write in self.writes.values()
            if write.acknowledged
            and write.kind == kind
            and start <= write.answered_at <= end
        )
        times = [start, *times, end]
        return max(second - first for first, second in itertools.pairwise(times))

    def count_lost(self, kind: str) -> int:
        """Return how many acknowledged writes the current primary's value lacks."""
        primary = self.find_primary()
        stored = set()
        if primary:
            value = self.instances[primary].read_value("orders") or ""
            stored = set(value.split(","))
        return sum(
            write.acknowledged and write.kind == kind and write.value not in stored
            for write in self.writes.values()
        )
