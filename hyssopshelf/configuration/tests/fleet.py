"""Discrete-event simulation of nodes, a network and a store on a virtual clock.

The configuration controllers are the real ones; only their surroundings are
simulated. The tests and benchmarks/bench_config use it.
"""

import collections
import heapq
import itertools
import random

import attrs
import result

from hyssopshelf import base, blackboard, envelopes, kvstore, logs
from hyssopshelf.configuration import controller

TICK_SECONDS = 0.05
STORE_SECONDS = 0.003
STORE_TIMEOUT_SECONDS = 2.0
"""Limit of the store adapter; the outcome of a slower call is unknown."""

DETECTION_SECONDS = 3.0
"""Time after which the other nodes consider a crashed node dead."""

NEAR_SECONDS = 0.0005
FAR_SECONDS = 0.012
PLACES = ("steyr-rathaus", "enns-werkhof", "freistadt-keller")


@attrs.define(kw_only=True)
class Store:
    """Key-value store with fault injection."""

    entries: dict = attrs.field(factory=dict)
    revision: int = 1
    down: bool = False
    delay_seconds: float = STORE_SECONDS
    lost_answers: int = 0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    watches: list = attrs.field(factory=list)

    def run(self, operation):
        """Execute an operation other than a watch."""
        if isinstance(operation, kvstore.Get):
            return self.entries.get(operation.key)
        if isinstance(operation, kvstore.ListPrefix):
            return tuple(self.list_after(operation.prefix, 0))
        current = self.entries.get(operation.key)
        if (current.revision if current else 0) != operation.revision:
            return kvstore.Swapped(succeeded=False, current=current)
        entry = self.put(operation.key, operation.value)
        return kvstore.Swapped(succeeded=True, current=entry)

    def put(self, key, value):
        """Write a key whatever its revision."""
        self.revision += 1
        entry = kvstore.Entry(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        return entry

    def list_after(self, prefix, revision):
        """Return the entries of a prefix that changed after a revision."""
        return [
            entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix) and entry.revision > revision
        ]


@attrs.define(kw_only=True)
class Member:
    """A simulated node; ``cut`` isolates it from its peers and the store."""

    board: blackboard.Blackboard
    place: int
    alive: bool = True
    cut: bool = False


class Fleet:
    """Nodes that exchange real messages over a simulated network."""

    def __init__(self, *, size, seed, encode=True):
        self.now = 0.0
        self.random = random.Random(seed)
        self.store = Store()
        self.encode = encode
        self.bytes = collections.Counter()
        self.message_counts = collections.Counter()
        self.largest = 0
        self.answers = {}
        self.log = []
        self.applied = {}
        self.reversions = 0
        self._queue = []
        self._sequence = itertools.count()
        self.tick_seconds = TICK_SECONDS
        self.hosts = {
            f"h{number:03}": blackboard.HostRecord(
                name=f"h{number:03}",
                address=f"127.0.0.1:{20000 + number}",
                place=PLACES[number % 3],
            )
            for number in range(size)
        }
        self.members = {}
        for host in self.hosts:
            self.start(host, 0)

    def start(self, host, incarnation):
        """Start a node without state."""
        record = self.hosts[host]
        record.state = blackboard.HostState.ALIVE
        self._raise_membership_version()
        board = blackboard.Blackboard(
            identity=blackboard.Identity(
                host=host,
                address=record.address,
                place=record.place,
                incarnation=incarnation,
            ),
            random=random.Random(self.random.random()),
            hosts=self.hosts,
        )
        place = int(host[1:]) % len(PLACES)
        member = Member(board=board, place=place)
        self.members[host] = member
        self._after(self.random.uniform(0, TICK_SECONDS), self._tick, member)

    def kill(self, host):
        """Crash a node; it is marked dead after ``DETECTION_SECONDS``."""
        self.members[host].alive = False
        self._after(DETECTION_SECONDS, self._mark_dead, host)

    def restart(self, host):
        """Start a node again with the next incarnation."""
        self.members[host].alive = False
        self.start(host, self.members[host].board.identity.incarnation + 1)

    def _mark_dead(self, host):
        if not self.members[host].alive:
            self.hosts[host].state = blackboard.HostState.DEAD
            self._raise_membership_version()

    def _raise_membership_version(self):
        for member in self.members.values():
            member.board.membership.version += 1

    def _after(self, seconds, function, *arguments):
        entry = (self.now + seconds, next(self._sequence), function, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, seconds, until=None):
        """Advance the clock until a condition holds; return whether it does in time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def _tick(self, member):
        if not member.alive:
            return
        controller.step(member.board, self.now)
        self._carry_out(member)
        self._after(self.tick_seconds, self._tick, member)

    def request(self, host, request):
        """Send a request of an operator; the answer appears in ``answers``."""
        caller = f"operator-{next(self._sequence)}"
        member = self.members[host]
        event = base.ResourceRequested(caller=caller, request=request)
        base.handle(event, member.board, self.now)
        self._carry_out(member)
        return caller

    def _carry_out(self, member):
        actions, member.board.actions = member.board.actions, []
        for action in actions:
            if isinstance(action, base.SendPeer):
                self._send(member, action)
            elif isinstance(action, base.CallStore):
                self._call(member, action)
            elif isinstance(action, base.Reply):
                self.answers[action.caller] = action.answer
            elif isinstance(action, base.Log):
                self._record_log(member, action)

    def _record_log(self, member, action):
        if action.event is not logs.LogEvent.CONFIGURATION_APPLIED:
            self.log.append((self.now, member.board.identity.host, action))
            return
        key = (member.board.identity.host, member.board.identity.incarnation)
        pool, version = action.fields["pool"], action.fields["version"]
        times = self.applied.setdefault((pool, version), {})
        self.reversions += any(
            key in hosts and other > version
            for (name, other), hosts in self.applied.items()
            if name == pool
        )
        times.setdefault(key, self.now)

    def logged(self, event):
        """Return the log records of an event."""
        return [item for item in self.log if item[2].event is event]

    def _send(self, member, action):
        sender = member.board.identity
        message = action.message
        if self.encode:
            envelope = envelopes.Envelope(
                host=sender.host, address=sender.address, message=message
            )
            data = envelopes.encode(envelope)
            message = envelopes.decode(data).message
            self.bytes[sender.host] += len(data)
            self.bytes[action.host] += len(data)
            self.message_counts[type(message).__name__] += 1
            self.largest = max(self.largest, len(data))
        target = self.members.get(action.host)
        if target is None or member.cut or target.cut:
            return
        distance = NEAR_SECONDS if target.place == member.place else FAR_SECONDS
        delay = distance * self.random.uniform(1, 1.3)
        self._after(delay, self._deliver, target, sender.host, message)

    def _deliver(self, target, host, message):
        if not target.alive or target.cut:
            return
        base.receive(message, target.board, host, self.now)
        self._carry_out(target)

    def _call(self, member, action):
        """Send a call to the store; it fails after the time limit of the adapter."""
        operation = action.operation
        self.store.calls[type(operation).__name__] += 1
        limit = STORE_TIMEOUT_SECONDS
        if isinstance(operation, kvstore.Watch):
            limit += operation.wait_seconds
        failure = result.Err("no answer")
        self._after(limit, self._answer, member, action.call_id, failure)
        if not member.cut:
            self._after(self.store.delay_seconds / 2, self._run_call, member, action)

    def stop_store(self):
        """Stop the store; waiting watches fail immediately."""
        self.store.down = True
        for member, action in self.store.watches:
            failure = result.Err("connection closed")
            self._after(0, self._answer, member, action.call_id, failure)
        self.store.watches.clear()

    def restore(self, key, value):
        """Write an old value to the store, as a restored backup would."""
        self.store.put(key, value)
        self._notify()

    def _run_call(self, member, action):
        operation = action.operation
        if self.store.down:
            return
        if isinstance(operation, kvstore.Watch):
            waiting = (member, action)
            self.store.watches.append(waiting)
            self._after(operation.wait_seconds, self._end_watch, waiting)
            self._notify()
            return
        outcome = result.Ok(self.store.run(operation))
        self._notify()
        if self.store.lost_answers and isinstance(operation, kvstore.CompareAndSwap):
            self.store.lost_answers -= 1
            return
        self._reply(member, action.call_id, outcome)

    def _reply(self, member, call_id, outcome):
        if not (member.cut or self.store.down):
            delay = self.store.delay_seconds / 2
            self._after(delay, self._answer, member, call_id, outcome)

    def _notify(self):
        """Answer the watches for which something has changed."""
        for waiting in list(self.store.watches):
            operation = waiting[1].operation
            if self.store.list_after(operation.prefix, operation.after_revision):
                self._end_watch(waiting)

    def _end_watch(self, waiting):
        if waiting not in self.store.watches:
            return
        self.store.watches.remove(waiting)
        member, action = waiting
        operation = action.operation
        found = self.store.list_after(operation.prefix, operation.after_revision)
        outcome = result.Ok(
            kvstore.Changes(entries=tuple(found), revision=self.store.revision)
        )
        self._reply(member, action.call_id, outcome)

    def _answer(self, member, call_id, outcome):
        if not member.alive:
            return
        event = base.StoreAnswered(call_id=call_id, result=outcome)
        controller.take_store_answer(event, member.board, self.now)
        self._carry_out(member)

    def versions(self, pool):
        """Return the version in force on each live node."""
        return {
            host: member.board.documents[pool].version
            if pool in member.board.documents
            else 0
            for host, member in self.members.items()
            if member.alive
        }

    def ready(self):
        """Return whether all live nodes have a configuration."""
        return all(
            member.board.configuration_ready
            for member in self.members.values()
            if member.alive
        )
