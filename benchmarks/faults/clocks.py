"""Virtual time: an event loop and clocks with different rates and origins."""

import heapq
from collections.abc import Callable

import attrs


@attrs.define(kw_only=True)
class EventLoop:
    """A queue of callbacks ordered by virtual time.

    Attributes
    ----------
    now : float
        Virtual time in seconds, the true time of the simulation. Nodes only see
        the skewed clocks.
    """

    now: float = 0.0
    _queue: list = attrs.field(factory=list, init=False)
    _sequence: int = attrs.field(default=0, init=False)

    def call_at(self, time: float, callback: Callable, *arguments) -> None:
        """Schedule a callback; those of equal time run in the order of scheduling."""
        self._sequence += 1
        entry = (max(time, self.now), self._sequence, callback, arguments)
        heapq.heappush(self._queue, entry)

    def call_later(self, delay: float, callback: Callable, *arguments) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Run all callbacks due up to and including ``end``; advance to it."""
        while self._queue and self._queue[0][0] <= end:
            time, _, callback, arguments = heapq.heappop(self._queue)
            self.now = time
            callback(*arguments)
        self.now = max(self.now, end)


@attrs.frozen(kw_only=True)
class SkewedClock:
    """A monotonic clock with its own rate and origin.

    Attributes
    ----------
    rate : float
        Seconds by which this clock advances per second of true time.
    origin : float
        Reading at true time 0, in seconds.
    """

    loop: EventLoop
    rate: float = 1.0
    origin: float = 0.0

    def read(self) -> float:
        """Return the reading of the clock in seconds."""
        return self.origin + self.loop.now * self.rate

    def to_true_delay(self, seconds: float) -> float:
        """Convert a duration on this clock to true time, in seconds."""
        return seconds / self.rate
