"""Sets the delay and the budget of hedges: second attempts of late reads.

An answer can be lost in the network. A read may run twice, so a hedge saves the
wait for the statement's timeout. The budget keeps hedges from multiplying the load
when all answers are late.
"""

import attrs

MINIMUM_DELAY_SECONDS = 0.12
"""Shortest hedge delay; above a round trip between regions plus the longest usual
execution time."""

LATENCY_FACTOR = 6.0
"""Hedge delay as a multiple of the endpoint's average latency; execution times vary
by a factor of about five."""

BUDGET_SHARE = 0.08
"""Hedges per read in the long run; in the known faults 2 to 5% of the requests lost
their answer."""

BUDGET_BURST = 12.0
"""Hedges that may be made in one burst."""


@attrs.define(kw_only=True)
class HedgeBudget:
    """Token bucket that limits hedges.

    Attributes
    ----------
    tokens : float
        Hedges that may be made now.
    """

    tokens: float = BUDGET_BURST

    def deposit(self) -> None:
        """Add the tokens that one read earns."""
        self.tokens = min(BUDGET_BURST, self.tokens + BUDGET_SHARE)

    def try_withdraw(self) -> bool:
        """Take the token for one hedge; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def find_hedge_delay(latency: float) -> float:
    """Return how long to wait for an answer before a hedge, in seconds."""
    return max(MINIMUM_DELAY_SECONDS, LATENCY_FACTOR * latency)
