"""Virtual time: an event queue and clocks that run at their own rates."""

import heapq
from collections.abc import Callable

import attrs


@attrs.define(kw_only=True)
class EventLoop:
    """A queue of callbacks in the order of virtual time.

    Attributes
    ----------
    now : float
        Virtual time in seconds. The fakes call it true time; no node sees it.
    """

    now: float = 0.0
    _queue: list = attrs.field(factory=list, init=False)
    _sequence: int = attrs.field(default=0, init=False)

    def call_at(self, time: float, callback: Callable, *arguments) -> None:
        """Run a callback at a time; equal times run in the order of the calls."""
        self._sequence += 1
        entry = (max(time, self.now), self._sequence, callback, arguments)
        heapq.heappush(self._queue, entry)

    def call_later(self, delay: float, callback: Callable, *arguments) -> None:
        """Run a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback, *arguments)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due before a time."""
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
        Seconds that this clock advances in one second of true time.
    origin : float
        Reading at true time 0.
    """

    loop: EventLoop
    rate: float = 1.0
    origin: float = 0.0

    def read(self) -> float:
        """Return the reading of the clock in seconds."""
        return self.origin + self.loop.now * self.rate

    def to_true_delay(self, seconds: float) -> float:
        """Return the true duration of a duration on this clock."""
        return seconds / self.rate
