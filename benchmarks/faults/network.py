"""Simulated network with partitions, delays, loss and duplicated messages.

A party is the name of a host, an endpoint, a caller, the store or the host
list. Nodes exchange single messages; data and control connections use ordered
channels, as websockets provide them.
"""

import random
from collections import Counter, deque
from collections.abc import Callable

import attrs

from benchmarks.faults import clocks

UNSENT_SECONDS = 1.0
"""Timeout after which a node may learn that a message could not be sent."""

RESEND_SECONDS = 0.2
"""Period at which a channel retries delivery over a cut link."""


@attrs.define(kw_only=True)
class Network:
    """Delivers messages between parties with a delay that depends on the link.

    Attributes
    ----------
    places : dict of str to str
        Place of each party. Links of a party without a place have the delay
        ``caller_seconds``.
    delay_rate, duplicate_rate, loss_rate : float
        Fractions of the single messages that are delayed, duplicated or lost.
    """

    loop: clocks.EventLoop
    random: random.Random
    places: dict[str, str] = attrs.field(factory=dict)
    local_seconds: float = 0.0005
    region_seconds: float = 0.010
    caller_seconds: float = 0.003
    delay_rate: float = 0.0
    longest_delay_seconds: float = 2.0
    duplicate_rate: float = 0.0
    loss_rate: float = 0.0
    _cuts: Counter = attrs.field(factory=Counter, init=False)

    def cut(self, sender: str, receiver: str) -> None:
        """Stop delivery in one direction; cuts of a link are counted."""
        self._cuts[sender, receiver] += 1

    def heal(self, sender: str, receiver: str) -> None:
        """Remove one cut of a link."""
        self._cuts[sender, receiver] -= 1

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether delivery in one direction is cut."""
        return self._cuts[sender, receiver] > 0

    def connects(self, first: str, second: str) -> bool:
        """Return whether both directions between two parties are open."""
        return not (self.is_cut(first, second) or self.is_cut(second, first))

    def draw_delay(self, sender: str, receiver: str) -> float:
        """Return the delay of one delivery in seconds."""
        here, there = self.places.get(sender), self.places.get(receiver)
        if here is None or there is None:
            base = self.caller_seconds
        else:
            base = self.local_seconds if here == there else self.region_seconds
        return base * self.random.uniform(1.0, 1.3)

    def send(
        self,
        sender: str,
        receiver: str,
        deliver: Callable[[], None],
        report_unsent: Callable[[], None],
    ) -> None:
        """Send a single message.

        It may be delayed, duplicated, lost or reported as unsent.
        """
        if self.is_cut(sender, receiver):
            if self.random.random() < 0.5:
                self.loop.call_later(UNSENT_SECONDS, report_unsent)
            return
        if self.random.random() < self.loss_rate:
            return
        copies = 2 if self.random.random() < self.duplicate_rate else 1
        for _ in range(copies):
            delay = self.draw_delay(sender, receiver)
            if self.random.random() < self.delay_rate:
                longest = self.random.choice((0.1, 1.0)) * self.longest_delay_seconds
                delay += self.random.uniform(0.0, longest)
            self.loop.call_later(delay, self._arrive, sender, receiver, deliver)

    def _arrive(self, sender: str, receiver: str, deliver: Callable) -> None:
        if not self.is_cut(sender, receiver):
            deliver()


@attrs.define(kw_only=True)
class Channel:
    """One direction of an ordered connection.

    As a transport retransmits lost packets, data sent before or during a cut is
    delivered in order after the cut, unless the channel is closed first.
    """

    network: Network
    sender: str
    receiver: str
    closed: bool = False
    _waiting: deque = attrs.field(factory=deque, init=False)
    _ready_at: float = attrs.field(default=0.0, init=False)
    _resending: bool = attrs.field(default=False, init=False)

    def send(self, deliver: Callable[[], None]) -> None:
        """Deliver after everything sent earlier on this channel."""
        loop = self.network.loop
        delay = self.network.draw_delay(self.sender, self.receiver)
        self._ready_at = max(self._ready_at, loop.now + delay)
        self._waiting.append((self._ready_at, deliver))
        loop.call_at(self._ready_at, self._deliver_due)

    def close(self) -> None:
        """Close the channel and discard what has not been delivered."""
        self.closed = True
        self._waiting.clear()

    def _deliver_due(self) -> None:
        loop = self.network.loop
        while self._waiting and self._waiting[0][0] <= loop.now:
            if self.network.is_cut(self.sender, self.receiver):
                if not self._resending:
                    self._resending = True
                    loop.call_later(RESEND_SECONDS, self._resend)
                return
            _, deliver = self._waiting.popleft()
            deliver()

    def _resend(self) -> None:
        self._resending = False
        self._deliver_due()
