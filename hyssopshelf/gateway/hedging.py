"""Pattern: a read whose answer is late is offered again, within a budget.

An answer can be lost on its way. A read may run twice, so a hedge saves the
wait for the statement's timeout. The budget keeps hedges from multiplying
the load when everything is late.
"""

import attrs

MINIMUM_DELAY_SECONDS = 0.12
"""Shortest wait before a hedge; above a round trip between regions with the
longest usual work."""

LATENCY_FACTOR = 6.0
"""Factor on the endpoint's average latency; work times spread by about five."""

BUDGET_SHARE = 0.08
"""Hedges for each read in the long run; answers were lost for 2 to 5% of the
requests in the known troubles."""

BUDGET_BURST = 12.0
"""Hedges that may come together."""


@attrs.define(kw_only=True)
class HedgeBudget:
    """Tokens for hedges.

    Attributes
    ----------
    tokens : float
        Hedges that may be made now.
    """

    tokens: float = BUDGET_BURST

    def deposit(self) -> None:
        """Count a read."""
        self.tokens = min(BUDGET_BURST, self.tokens + BUDGET_SHARE)

    def try_withdraw(self) -> bool:
        """Return whether a hedge may be made, and count it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def find_hedge_delay(latency: float) -> float:
    """Return how long to wait for an answer before a hedge, in seconds."""
    return max(MINIMUM_DELAY_SECONDS, LATENCY_FACTOR * latency)
