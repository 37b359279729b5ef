"""Pattern: a read whose answer is late is offered again, within a budget.

An answer can be lost on its way. A read may run twice, so a second offer saves the
wait for the statement's timeout. The budget keeps second offers from multiplying
the load when everything is late.
"""

import attrs

SHORTEST_SECONDS = 0.12
"""Shortest wait before a second offer; above a round trip between regions with the
longest usual work."""

LATENCY_FACTOR = 6.0
"""Factor on the endpoint's average latency; work times spread by about five."""

BUDGET_SHARE = 0.08
"""Second offers for each read in the long run; answers were lost for 2 to 5% of the
requests in the known troubles."""

BUDGET_BURST = 12.0
"""Second offers that may come together."""


@attrs.define(kw_only=True)
class HedgeBudget:
    """Tokens for second offers.

    Attributes
    ----------
    tokens : float
        Second offers that may be made now.
    """

    tokens: float = BUDGET_BURST

    def earn(self) -> None:
        """Count a read."""
        self.tokens = min(BUDGET_BURST, self.tokens + BUDGET_SHARE)

    def spend(self) -> bool:
        """Return whether a second offer may be made, and count it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def find_patience(latency: float) -> float:
    """Return how long to wait for an answer before a second offer, in seconds."""
    return max(SHORTEST_SECONDS, LATENCY_FACTOR * latency)
