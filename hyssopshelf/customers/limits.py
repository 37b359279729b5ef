"""Limits on the operations of a customer that hold over all hosts.

The keeper of a customer grants tokens to the hosts that ask. A host uses them until a
deadline, counted from the sending of its question, so the operations of all hosts in
a window are among the tokens granted in the window and the validity before it. The
keeper counts these, whatever the number of hosts, and never grants more than the
limit and its tolerance allow. A token bucket bounds what it grants at once.

A keeper that follows another one does not know what that one granted. It starts
slowly, so that both together keep the limit.

References
----------
.. [1] Heinanen, Guerin, "A Single Rate Three Color Marker", RFC 2697 (token bucket).
"""

import collections
import math

import attrs

VALIDITY_SHARE = 0.08
"""Validity of granted tokens, as a part of the window."""

WINDOW_SHARE = 0.91
"""Part of what a window allows that a keeper grants; the rest is for the keeper that
follows it."""

SUBSTITUTE_SHARE = 0.07
"""The same of a keeper beside which another one may grant: one that substitutes for
the first keeper, or a first keeper that hears no coordinator."""

CUT_OFF_SECONDS = 1.7
"""Silence of the coordinator after which others may follow another keeper. It chooses
one 1.2 s after it last heard the first; the slow start bridges the rest."""

ALLOWANCE_SHARE = 0.25
"""Part of the tolerated operations that a keeper grants at once beyond the burst."""

SLOW_START_SECONDS = 1.5
SLOW_START_SHARE = 0.4
"""Time for which a new keeper grants a part of the rate only, and that part."""

INITIAL_TOKENS = 2.0
"""Tokens of a new account whose customer another keeper may have served."""

SUBSTITUTE_SECONDS = 1.0
"""Time without a question after which a keeper that substitutes for another one starts
anew; a host avoids a silent keeper for as long."""

RESERVE_SHARE = 0.02
"""Part of what a window allows that is left to each more urgent rank. As urgent
operations leave the window, it only has to cover how unevenly they come."""

COUNT_SECONDS = 0.1
"""Resolution of the count of granted tokens, in seconds."""

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
        return VALIDITY_SHARE * self.window_seconds

    @property
    def counted_seconds(self) -> float:
        """Return the time in which the tokens of one window were granted."""
        return self.window_seconds + self.validity_seconds

    def compute_maximum(self, customer) -> float:
        """Return the operations of a customer that a window tolerates."""
        allowed = customer.rate * self.window_seconds + customer.burst
        return allowed * (1.0 + self.excess_share) + self.excess_operations

    def compute_capacity(self, customer) -> float:
        """Return the operations of a customer that may run at once."""
        return customer.burst + ALLOWANCE_SHARE * self.excess_operations


@attrs.define(kw_only=True)
class Account:
    """Tokens of one customer at its keeper.

    Attributes
    ----------
    tokens : float
        Tokens that may be granted at once.
    created_at, updated_at : float
        Clock times of the start and of the last update, in seconds.
    knows_history : bool
        Whether no other keeper can have granted before the start.
    """

    tokens: float
    created_at: float
    updated_at: float
    knows_history: bool
    _grants: collections.deque = attrs.field(factory=collections.deque, init=False)
    _granted: int = attrs.field(default=0, init=False)

    def grant(
        self,
        customer,
        wanted: int,
        tolerance: Tolerance,
        now: float,
        order: int,
        share: float,
    ):
        """Grant up to a number of tokens.

        Parameters
        ----------
        share : float
            Part of what a window tolerates that may be granted.
        order : int
            Number of ranks that are more urgent than the operations'. A small reserve
            is left to these, so that they get what the customer has when it is short.

        Returns
        -------
        granted : int
            Tokens granted.
        wait : float
            Seconds until the next token, 0 if all were granted.
        """
        maximum = share * tolerance.compute_maximum(customer)
        self._drop_old(now - tolerance.counted_seconds)
        rate = self._find_rate(customer, maximum / tolerance.counted_seconds, now)
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        capacity = min(maximum, tolerance.compute_capacity(customer))
        self.tokens = min(capacity, self.tokens + rate * elapsed)
        reserve = math.ceil(RESERVE_SHARE * order * maximum)
        left = max(0, math.floor(maximum) - self._granted - reserve)
        kept = min(reserve, capacity / 2) if self.knows_history else 0.0
        granted = max(0, min(wanted, math.floor(self.tokens - kept), left))
        if granted:
            self.tokens -= granted
            self._count(granted, now)
        if granted == wanted:
            return granted, 0.0
        if granted == left and self._grants:
            oldest = self._grants[0][0] + tolerance.counted_seconds
            return granted, max(COUNT_SECONDS / 10, oldest - now)
        if rate <= 0.0:
            return granted, tolerance.window_seconds
        return granted, max(COUNT_SECONDS / 10, (1.0 + kept - self.tokens) / rate)

    def _find_rate(self, customer, sustained: float, now: float) -> float:
        age = now - self.created_at
        if self.knows_history:
            return sustained
        if age < SLOW_START_SECONDS:
            return min(sustained, SLOW_START_SHARE * customer.rate)
        return min(sustained, customer.rate)

    def _drop_old(self, before: float) -> None:
        while self._grants and self._grants[0][0] <= before:
            self._granted -= self._grants.popleft()[1]
            # What was granted here fills a whole window by now.
            self.knows_history = True

    def _count(self, granted: int, now: float) -> None:
        self._granted += granted
        # Counted at the end of the interval, so that it is dropped late, never early.
        counted_at = (math.floor(now / COUNT_SECONDS) + 1) * COUNT_SECONDS
        if self._grants and self._grants[-1][0] >= counted_at:
            granted += self._grants.pop()[1]
        self._grants.append((counted_at, granted))


class Keeper:
    """Accounts of the customers whose limits a host keeps.

    Parameters
    ----------
    tolerance : Tolerance
        Accuracy of the limits.
    first_until : float
        Clock time in seconds up to which a new account is the customer's first, as
        after the first start of the whole fleet.
    """

    def __init__(
        self, *, tolerance: Tolerance, first_until: float = float("-inf")
    ) -> None:
        self.tolerance = tolerance
        self.first_until = first_until
        self._accounts: dict[str, Account] = {}

    def grant(
        self,
        customer,
        wanted: int,
        now: float,
        order: int = 0,
        *,
        substitutes: bool = False,
        cut_off: bool = False,
    ) -> tuple[int, float]:
        """Return the tokens granted and the seconds until the next ones.

        Parameters
        ----------
        customer : Customer
            The customer, with the limit in force.
        order : int
            Number of ranks that are more urgent than the operations'.
        substitutes : bool
            Whether the customer's first keeper is another host, which may have granted
            since this one was last asked.
        cut_off : bool
            Whether this host hears no coordinator, so that others may follow another
            keeper.
        """
        if math.isinf(customer.rate):
            return wanted, 0.0
        account = self._accounts.get(customer.name)
        if (
            account is not None
            and substitutes
            and now - account.updated_at > SUBSTITUTE_SECONDS
        ):
            account = None
        if account is None:
            first = now < self.first_until
            capacity = self.tolerance.compute_capacity(customer)
            account = Account(
                tokens=capacity if first else INITIAL_TOKENS,
                created_at=now,
                updated_at=now,
                knows_history=first and not substitutes,
            )
            self._accounts[customer.name] = account
        share = SUBSTITUTE_SHARE if substitutes or cut_off else WINDOW_SHARE
        return account.grant(customer, wanted, self.tolerance, now, order, share)

    def retain(self, is_kept) -> None:
        """Drop the accounts of customers for whose name a function returns false."""
        for name in [name for name in self._accounts if not is_kept(name)]:
            del self._accounts[name]


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
