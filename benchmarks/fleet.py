"""Simulates the membership protocol of many nodes on a virtual clock.

All nodes run in one process. Messages are encoded and decoded as between processes
and arrive after a random delay. The caller sets message loss, pauses and partitions.
"""

import gc
import heapq
import random
import time
from collections.abc import Callable

import attrs

from hyssopshelf import base, blackboard, envelopes, kvstore, node, peer_events
from hyssopshelf.membership import hosts

DELAY_SECONDS = (0.0005, 0.012)
"""Smallest and largest one-way delay: within a region, and between regions."""


@attrs.define(kw_only=True)
class Member:
    """A simulated node with its counters.

    Attributes
    ----------
    up : bool
        False after a crash.
    paused_until : float
        Virtual time at which a pause ends, in seconds.
    busy_seconds : float
        Processor time of event handling, encoding and decoding.
    logged : list
        Time, event and fields of each log action.
    """

    board: blackboard.Blackboard
    up: bool = True
    paused_until: float = 0.0
    bytes_sent: int = 0
    messages_sent: int = 0
    busy_seconds: float = 0.0
    logged: list[tuple] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Return the name of the host."""
        return self.board.identity.host


@attrs.define(kw_only=True)
class Fleet:
    """The members, the network between them and the virtual clock.

    Attributes
    ----------
    loss : float
        Probability that the network drops a message.
    connected : callable
        Returns whether the network delivers messages from one host to another.
    steps : tuple of callable
        Functions that each node runs on every tick.
    now : float
        Virtual time in seconds.
    """

    random: random.Random
    loss: float = 0.0
    connected: Callable[[str, str], bool] = lambda sender, receiver: True
    steps: tuple = (hosts.step,)
    members: dict[str, Member] = attrs.field(factory=dict)
    now: float = 0.0
    _heap: list = attrs.field(factory=list)
    _count: int = 0

    def start(
        self,
        name: str,
        *,
        place: str = "p0",
        region: str = "r0",
        incarnation: int = 1,
        seeds: tuple[str, ...] = (),
    ) -> Member:
        """Add a node with port 7100 and start its ticks at a random phase."""
        identity = blackboard.Identity(
            host=name,
            address=f"{name}:7100",
            place=place,
            region=region,
            incarnation=incarnation,
        )
        board = blackboard.Blackboard(
            identity=identity, random=random.Random(self.random.random())
        )
        board.membership.seeds = seeds
        member = Member(board=board)
        self.members[name] = member
        offset = self.random.random() * node.TICK_SECONDS
        self._push(self.now + offset, self._tick, member)
        return member

    def fill_host_tables(self, entries: tuple[kvstore.HostEntry, ...]) -> None:
        """Enter all hosts into the table of each member, as after a completed join."""
        for member in self.members.values():
            for entry in entries:
                record = blackboard.HostRecord(
                    name=entry.name,
                    address=entry.address,
                    place=entry.place,
                    region=entry.region,
                    incarnation=1,
                )
                member.board.hosts[entry.name] = record

    def stop(self, name: str) -> None:
        """Crash a node; its pending messages and ticks are dropped."""
        self.members[name].up = False

    def pause(self, name: str, seconds: float) -> None:
        """Pause a node; its messages and ticks are handled when the pause ends."""
        self.members[name].paused_until = self.now + seconds

    def handle(self, member: Member, event: base.Event) -> None:
        """Let a node handle an event, then carry out the actions it returns."""
        started = time.process_time()
        board = member.board
        node._measure_pause(board, self.now)
        if isinstance(event, base.Ticked):
            for step in self.steps:
                step(board, self.now)
            board.ticked_at = self.now
            board.pause_seconds = 0.0
        else:
            base.handle(event, board, self.now)
        actions, board.actions = board.actions, []
        for action in actions:
            if isinstance(action, base.SendPeer):
                self._send(member, action)
            elif isinstance(action, base.Log):
                member.logged.append((self.now, action.event, action.fields))
        member.busy_seconds += time.process_time() - started

    def run(self, seconds: float) -> None:
        """Advance the virtual clock and handle the events that fall due."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, function, member, *arguments = heapq.heappop(self._heap)
            if not member.up:
                continue
            if self.now < member.paused_until:
                self._push(member.paused_until, function, member, *arguments)
                continue
            function(member, *arguments)
        self.now = until

    def _push(self, at: float, function, member: Member, *arguments) -> None:
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, function, member, *arguments))

    def _tick(self, member: Member) -> None:
        self.handle(member, base.Ticked())
        self._push(self.now + node.TICK_SECONDS, self._tick, member)

    def _send(self, member: Member, action: base.SendPeer) -> None:
        identity = member.board.identity
        envelope = envelopes.Envelope(
            host=identity.host, address=identity.address, message=action.message
        )
        data = envelopes.encode(envelope)
        member.bytes_sent += len(data)
        member.messages_sent += 1
        name = action.host.partition(":")[0]
        receiver = self.members.get(name)
        if receiver is None or not self.connected(identity.host, name):
            return
        if self.random.random() < self.loss:
            return
        at = self.now + self.random.uniform(*DELAY_SECONDS)
        self._push(at, self._deliver, receiver, data)

    def _deliver(self, member: Member, data: bytes) -> None:
        started = time.process_time()
        envelope = envelopes.decode(data)
        member.busy_seconds += time.process_time() - started
        event = peer_events.PeerReceived(host=envelope.host, message=envelope.message)
        self.handle(member, event)


def make_entries(count: int, places: int) -> tuple[kvstore.HostEntry, ...]:
    """Return entries of the host list, with the hosts spread evenly over places."""
    return tuple(
        kvstore.HostEntry(
            name=f"h{number:04}",
            address=f"h{number:04}:7100",
            place=f"p{number % places}",
            region=f"r{number % places // 3}",
        )
        for number in range(count)
    )


def make_fleet(count: int, *, seed: int, places: int = 1, loss: float = 0.0) -> Fleet:
    """Return a fleet in which every member knows all hosts."""
    fleet = Fleet(random=random.Random(seed), loss=loss)
    entries = make_entries(count, places)
    for entry in entries:
        fleet.start(entry.name, place=entry.place, region=entry.region)
    fleet.fill_host_tables(entries)
    # Garbage collections that scan the tables of all nodes would take far longer
    # than in a process with one node and distort the measured processor time.
    gc.freeze()
    return fleet
