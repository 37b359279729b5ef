"""Turns of customers whose work of one rank waits for the same endpoint.

Start-time fair queueing by slot time: a customer with much waiting work delays each
other customer by about one item.

References
----------
.. [1] Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM '96.
"""

import attrs

MAXIMUM_CLOCKS = 512
"""Clocks above which those that are behind the turn are dropped."""


@attrs.define(kw_only=True)
class CustomerTurns:
    """Virtual clocks of the customers of one rank.

    Attributes
    ----------
    start_clock : float
        Start of the last work that got its turn, in seconds of slot time.
    clocks : dict of str to float
        End of each customer's service so far; at least ``start_clock`` for one that
        waits, so that idle time earns no credit.
    """

    start_clock: float = 0.0
    clocks: dict[str, float] = attrs.field(factory=dict)

    def choose(self, waiting, is_ready=None):
        """Return the next work, None if none is ready.

        Parameters
        ----------
        waiting : iterable of Work
            Work in the order of its arrival.
        is_ready : callable or None
            Takes a customer and returns whether its work can start; None for all.
        """
        best = None
        best_clock = 0.0
        seen = set()
        for item in waiting:
            customer = item.customer
            if not customer:
                return item
            if customer in seen:
                continue
            seen.add(customer)
            clock = max(self.clocks.get(customer, 0.0), self.start_clock)
            if best is not None and clock >= best_clock:
                continue
            if is_ready is None or is_ready(customer):
                best, best_clock = item, clock
        return best

    def start(self, customer: str, seconds: float) -> None:
        """Charge the expected slot time of work that starts."""
        clock = max(self.clocks.get(customer, 0.0), self.start_clock)
        self.start_clock = clock
        self.clocks[customer] = clock + seconds
        if len(self.clocks) > MAXIMUM_CLOCKS:
            self.clocks = {
                name: clock
                for name, clock in self.clocks.items()
                if clock > self.start_clock
            }

    def correct(self, customer: str, seconds: float) -> None:
        """Add what the slot time differs from the expected one."""
        if customer in self.clocks:
            self.clocks[customer] += seconds


def count_ahead(waiting, customer: str) -> int:
    """Return how many waiting items get their turn before a new one.

    Parameters
    ----------
    waiting : iterable of Work
        Waiting work of the rank.
    customer : str
        Customer of the new item.
    """
    counts: dict[str, int] = {}
    for item in waiting:
        counts[item.customer] = counts.get(item.customer, 0) + 1
    own = counts.pop(customer, 0)
    return own + sum(min(count, own + 1) for count in counts.values())


def find_excess(waiting, customer: str):
    """Return the newest item of the customer with the most waiting work.

    None if that customer has no more than the given one would have with one more.
    """
    counts: dict[str, int] = {}
    newest = {}
    for item in waiting:
        counts[item.customer] = counts.get(item.customer, 0) + 1
        newest[item.customer] = item
    if not counts:
        return None
    worst = max(sorted(counts), key=counts.__getitem__)
    if counts[worst] <= counts.get(customer, 0) + 1:
        return None
    return newest[worst]
