"""Token buckets that bound retries and the bytes of control messages."""

import attrs

DEPOSIT_PER_REQUEST = 0.1
"""Tokens that each request deposits; retries then add at most 10% of load."""

MAXIMUM_RETRY_TOKENS = 10.0
"""Capacity of the bucket; it bounds the burst of retries after an outage."""


@attrs.define(kw_only=True)
class RetryBudget:
    """Bounds the retries of one hop to a fraction of its requests.

    Attributes
    ----------
    tokens : float
        Retries available. The bucket starts full, so that a node that has
        just started can retry through a single fault.
    """

    tokens: float = MAXIMUM_RETRY_TOKENS

    def deposit(self, now: float) -> None:
        """Add the tokens of one request."""
        self.tokens = min(MAXIMUM_RETRY_TOKENS, self.tokens + DEPOSIT_PER_REQUEST)

    def try_withdraw(self, now: float) -> bool:
        """Withdraw one retry; return False if none is available."""
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


@attrs.define(kw_only=True)
class ByteBudget:
    """Bounds the rate at which a node sends bytes of control messages.

    Attributes
    ----------
    bytes_per_second : float
        Refill rate; the capacity is the refill of one second.
    """

    bytes_per_second: float
    _bytes: float = attrs.field(default=0.0, init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)

    def try_take(self, size: int, now: float) -> bool:
        """Take ``size`` bytes; return False if fewer are available."""
        if self._refilled_at is None:
            self._bytes = self.bytes_per_second
        else:
            refill = (now - self._refilled_at) * self.bytes_per_second
            self._bytes = min(self.bytes_per_second, self._bytes + max(0.0, refill))
        self._refilled_at = now
        if size > self._bytes:
            return False
        self._bytes -= size
        return True
