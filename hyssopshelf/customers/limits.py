"""Limits on the operations of a customer that hold over all hosts.

The keeper of a customer has a token bucket and grants tokens to the hosts that ask.
A host uses them until a deadline, counted from the sending of its question. In any
window, the operations of all hosts are at most

    burst + allowance + rate * (window + validity),

so the validity follows from the tolerated excess, and not from the number of hosts.

References
----------
.. [1] Heinanen, Guerin, "A Single Rate Three Color Marker", RFC 2697 (token bucket).
"""

import math

import attrs

VALIDITY_SHARE = 0.8
"""Part of the tolerated excess that tokens of the window before may use; the rest
is left for a keeper that is replaced."""

ALLOWANCE_SHARE = 0.5
"""Part of the tolerated operations that a keeper adds to the burst. The other part is
what a new keeper starts with while its predecessor may still grant."""

PREFETCH_SHARE = 0.75
"""Part of the operations expected within the validity that a host asks for at once."""

RATE_SECONDS = 1.0
"""Time constant of the average rate of a customer at a host, in seconds."""


@attrs.frozen(kw_only=True)
class Tolerance:
    """Accuracy with which limits are kept, as the operator states it.

    Attributes
    ----------
    window_seconds : float
        Length of the sliding window in which operations are counted.
    excess_share : float
        Tolerated excess, as a share of what the limit allows in a window.
    excess_operations : float
        Further operations tolerated in a window.
    """

    window_seconds: float = 5.0
    excess_share: float = 0.1
    excess_operations: float = 20.0

    @property
    def validity_seconds(self) -> float:
        """Return the time for which granted tokens may be used."""
        return VALIDITY_SHARE * self.excess_share * self.window_seconds

    @property
    def allowance(self) -> float:
        """Return the operations that are added to each burst."""
        return math.floor(ALLOWANCE_SHARE * self.excess_operations)

    @property
    def initial_tokens(self) -> float:
        """Return the tokens of a new bucket."""
        return math.floor((1.0 - ALLOWANCE_SHARE) * self.excess_operations)


@attrs.define(kw_only=True)
class Bucket:
    """Tokens of one customer at its keeper.

    Attributes
    ----------
    tokens : float
        Tokens at ``updated_at``.
    updated_at : float
        Clock time of the last update, in seconds.
    """

    tokens: float
    updated_at: float

    def take(
        self, wanted: int, rate: float, capacity: float, now: float
    ) -> tuple[int, float]:
        """Take up to a number of tokens.

        Parameters
        ----------
        rate : float
            Tokens a second that the bucket gains.
        capacity : float
            Tokens that it holds at most.

        Returns
        -------
        granted : int
            Tokens taken.
        wait : float
            Seconds until the next token, 0 if all were granted.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(capacity, self.tokens + rate * elapsed)
        self.updated_at = max(self.updated_at, now)
        granted = max(0, min(wanted, math.floor(self.tokens)))
        self.tokens -= granted
        if granted == wanted:
            return granted, 0.0
        return granted, (1.0 - self.tokens) / rate if rate > 0.0 else math.inf


class Keeper:
    """Buckets of the customers whose limits a host keeps.

    Parameters
    ----------
    tolerance : Tolerance
        Accuracy of the limits.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        self._buckets: dict[str, Bucket] = {}

    def grant(self, customer, wanted: int, now: float) -> tuple[int, float]:
        """Return the tokens granted and the seconds until the next ones.

        Parameters
        ----------
        customer : Customer
            The customer, with the limit in force.
        """
        if math.isinf(customer.rate):
            return wanted, 0.0
        capacity = customer.burst + self.tolerance.allowance
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            # The keeper before this one may have granted a whole burst just now.
            tokens = min(capacity, self.tolerance.initial_tokens)
            bucket = Bucket(tokens=tokens, updated_at=now)
            self._buckets[customer.name] = bucket
        return bucket.take(wanted, customer.rate, capacity, now)

    def forget(self, names) -> None:
        """Drop the buckets of all customers but the named ones."""
        for name in self._buckets.keys() - set(names):
            del self._buckets[name]


@attrs.define(kw_only=True)
class HostAllowance:
    """Tokens of one customer at a host that uses them.

    Attributes
    ----------
    tokens : int
        Tokens that are left.
    valid_until : float
        Clock time until which they may be used, in seconds.
    exhausted_until : float
        Clock time until which the keeper has no tokens, in seconds.
    rate : float
        Average operations a second at this host.
    """

    tokens: int = 0
    valid_until: float = float("-inf")
    exhausted_until: float = float("-inf")
    rate: float = 0.0
    _asked_at: float = attrs.field(default=float("-inf"), init=False)
    _used: int = attrs.field(default=0, init=False)

    def use(self, now: float) -> bool:
        """Use a token; return whether there was a valid one."""
        if self.tokens <= 0 or now >= self.valid_until:
            return False
        self.tokens -= 1
        self._used += 1
        return True

    def is_exhausted(self, now: float) -> bool:
        """Return whether the keeper is known to have no tokens."""
        return now < self.exhausted_until

    def compute_wanted(self, waiting: int, validity: float, now: float) -> int:
        """Return how many tokens to ask for: those needed now and some in advance.

        Parameters
        ----------
        waiting : int
            Operations that wait for a token.
        validity : float
            Time for which the tokens may be used, in seconds.
        """
        elapsed = now - self._asked_at
        if elapsed > 0.0:
            sample = (self._used + waiting) / elapsed
            weight = 1.0 - math.exp(-elapsed / RATE_SECONDS)
            self.rate += weight * (sample - self.rate)
        self._asked_at, self._used = now, 0
        return waiting + int(PREFETCH_SHARE * self.rate * validity)

    def add(self, granted: int, wait: float, valid_until: float, now: float) -> None:
        """Replace the tokens by granted ones.

        Parameters
        ----------
        wait : float
            Seconds until the keeper has more, 0 if it granted all.
        """
        self.tokens = granted
        self.valid_until = valid_until
        if wait > 0.0:
            self.exhausted_until = now + wait
