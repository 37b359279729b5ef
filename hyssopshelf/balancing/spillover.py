"""Whether work leaves its failure domain or region, and how much of it.

Traffic between failure domains takes longer and is paid for; the price of a unit of
work is stated as a delay. Leaving pays while the expected response time of the local
endpoint exceeds that of a remote one by more than the price. How much leaves is a
fraction that moves slowly, so that two domains do not swap their load, and that is
bounded, so that a full domain does not overload its neighbours.
"""

import attrs

DECAY_SECONDS = 0.5
"""Time in which a reported wait loses half of its weight."""

RISE_PER_SECOND = 0.5
FALL_PER_SECOND = 1.0
"""Greatest change of the fraction that leaves, a second. A queue of some hundred
milliseconds is answered within the objective of urgent work."""

MAXIMUM_FRACTION = 0.6
"""Greatest fraction that leaves while a local endpoint serves at all."""

SCALE_SECONDS = 0.1
"""Saving, in seconds, at which half of the maximum fraction leaves."""

MAXIMUM_STEP_SECONDS = 0.5
"""Longest time that one change of the fraction accounts for."""


@attrs.frozen(kw_only=True)
class Prices:
    """Delay that callers accept to keep the bytes of a unit of work local.

    Attributes
    ----------
    place_seconds : float
        To keep it in the failure domain.
    region_seconds : float
        To keep it in the region.
    """

    place_seconds: float = 0.002
    region_seconds: float = 0.03


@attrs.frozen(kw_only=True)
class ReportedWait:
    """Wait for a slot that a holder reported with an answer.

    Attributes
    ----------
    seconds : float
        Expected wait of new work there.
    at : float
        Clock time of the report, in seconds.
    """

    seconds: float
    at: float

    def estimate(self, now: float) -> float:
        """Return the expected wait now; an old report counts for less."""
        return self.seconds * 0.5 ** (max(0.0, now - self.at) / DECAY_SECONDS)


@attrs.define(kw_only=True)
class Spillover:
    """Fraction of the work of one database that leaves this host's region.

    Attributes
    ----------
    fraction : float
        Fraction that leaves now.
    active : bool
        Whether leaving pays at present, for the log.
    """

    fraction: float = 0.0
    active: bool = False
    _updated_at: float | None = attrs.field(default=None, init=False)
    _credit: float = attrs.field(default=0.0, init=False)

    def update(self, saving: float, now: float) -> None:
        """Move the fraction towards what a saving is worth.

        Parameters
        ----------
        saving : float
            Expected local response time less the remote one and the price of leaving,
            in seconds.
        """
        gain = max(0.0, saving)
        target = MAXIMUM_FRACTION * gain / (gain + SCALE_SECONDS)
        elapsed = 0.0
        if self._updated_at is not None:
            elapsed = min(MAXIMUM_STEP_SECONDS, max(0.0, now - self._updated_at))
        self._updated_at = now
        change = max(
            -FALL_PER_SECOND * elapsed,
            min(RISE_PER_SECOND * elapsed, target - self.fraction),
        )
        self.fraction = min(MAXIMUM_FRACTION, max(0.0, self.fraction + change))
        self.active = self.fraction > 0.0

    def draw(self) -> bool:
        """Return whether the next unit of work leaves; spreads them evenly."""
        self._credit += self.fraction
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def compute_price(prices: Prices, *, same_place: bool, same_region: bool) -> float:
    """Return the price of the way to an endpoint, in seconds."""
    if same_place:
        return 0.0
    return prices.place_seconds if same_region else prices.region_seconds


def order(local: list, remote: list, spill: Spillover, now: float) -> list:
    """Return candidates in the order in which work tries them.

    Parameters
    ----------
    local, remote : list of (float, object)
        Cost with the price of the way, and candidate, the cheapest first. Remote is
        another region; work that has no local candidate leaves.
    """
    if not local or not remote:
        return [candidate for _, candidate in (local or remote)]
    spill.update(local[0][0] - remote[0][0], now)
    first, second = (remote, local) if spill.draw() else (local, remote)
    return [candidate for _, candidate in (*first, *second)]
