"""Token buckets for retries and for the bytes of control messages."""

import attrs

DEPOSIT_PER_REQUEST = 0.1
"""Retries earned by a request, so that retries add at most 10% of load."""

MAXIMUM_RETRY_TOKENS = 10.0
"""Largest number of saved retries; it bounds the burst after an outage."""


@attrs.define(kw_only=True)
class RetryBudget:
    """Retries that one hop may still send.

    Attributes
    ----------
    tokens : float
        Retries saved; full at the start, so that a node that has just
        started can ride out a single fault.
    """

    tokens: float = MAXIMUM_RETRY_TOKENS

    def deposit(self, now: float) -> None:
        """Add the part of a retry that a request earns."""
        self.tokens = min(MAXIMUM_RETRY_TOKENS, self.tokens + DEPOSIT_PER_REQUEST)

    def try_withdraw(self, now: float) -> bool:
        """Take one retry; return False if none is left."""
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


@attrs.define(kw_only=True)
class ByteBudget:
    """Bytes of control messages that a node may still send.

    Attributes
    ----------
    bytes_per_second : float
        Rate at which bytes are earned; one second of them can be saved.
    """

    bytes_per_second: float
    _bytes: float = attrs.field(default=0.0, init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)

    def try_take(self, size: int, now: float) -> bool:
        """Take ``size`` bytes; return False if they are not there."""
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
