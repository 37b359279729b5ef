"""Virtual clocks that select the partner and rank that an endpoint serves next."""

import attrs

from hyssopshelf.configuration import resources, views

PARTNER_WINDOW_SECONDS = 1.0
"""Lead of a partner's clock up to which the most urgent rank is served first,
regardless of the partner. Shares hold over seconds; with 0.25 s one long background
statement of a partner delayed its urgent work by up to 0.5 s."""

RANK_WINDOW_SECONDS = 0.25
"""Maximum lead of a rank's clock over the total clock. Service beyond it does not
count against the floor later. It bounds the urgent burst that no floor delays."""

FLOOR_LAG_SECONDS = 0.25
"""Lag of a rank behind its floor at which it is served before more urgent work. At
0.05 to 0.1 s, ranks within their floors overtook urgent work so often that its p99
in a background flood rose by up to 0.4."""

FLOOD_SECONDS = 1.0
"""Service during which a rank must have waiting work without interruption before
it counts as flooding."""

IDLE_CREDIT_SECONDS = 0.5
"""Credit that a rank gets for idle time while a more urgent rank floods. Without it
a rank that uses three quarters of its floor waits as on a slow server: half its
work for over 0.1 s, and the entry limits refuse some. No credit is given while
nothing more urgent floods, as urgent work would wait for it."""

MAXIMUM_LAG_SECONDS = 1.0
"""Maximum lag of a rank behind its floor. Without it the lag would grow without
bound if only a partner beyond its share has work of the rank."""

MINIMUM_SHARE = 0.001
"""Lower bound of a share, used for a partner that the split does not name. Slot time
is divided by the share, so it must not be 0."""

UNDECLARED_RANK = resources.RankSpec(order=1_000_000, floor=0.0)
"""Specification of a rank that was removed while its work was waiting."""


def rank_spec(view: views.PoolView, rank: str) -> resources.RankSpec:
    """Return the specification of a rank; a removed rank is the least urgent."""
    return view.ranks.get(rank, UNDECLARED_RANK)


@attrs.define(kw_only=True)
class Charge:
    """Service charged for one running work item.

    Attributes
    ----------
    partner, rank : str
        Partner and rank of the work.
    behind_floor : bool
        Whether the rank was behind its floor when the work started. Only then
        is the service charged in full to the clock of the rank; otherwise use
        of idle capacity would count against the floor later.
    seconds : float
        Slot time charged so far.
    rank_seconds : float
        Part of ``seconds`` that was charged to the clock of the rank.
    """

    partner: str
    rank: str
    behind_floor: bool
    seconds: float = 0.0
    rank_seconds: float = 0.0


@attrs.define(kw_only=True)
class ServiceClocks:
    """Start-time fair queueing over partners, with rank floors.

    The clock of a partner advances by slot time divided by its share and the
    number of slots, so all clocks advance at the rate of real time when every
    partner gets its share. The clock of a rank advances in the same way with its
    floor and is compared with the total service.

    Attributes
    ----------
    partner_clocks, rank_clocks : dict of str to float
        Clock of each partner and rank, in seconds.
    start_clock : float
        Highest partner clock at which work was started. Partners whose queue
        was empty resume here, so that idle time earns no credit.
    total_clock : float
        Service of the endpoint, in seconds during which all its slots are used.
    waiting_since : dict of str to float
        Total clock at which the queue of each rank last became non-empty.
    """

    partner_clocks: dict[str, float] = attrs.field(factory=dict)
    rank_clocks: dict[str, float] = attrs.field(factory=dict)
    start_clock: float = 0.0
    total_clock: float = 0.0
    waiting_since: dict[str, float] = attrs.field(factory=dict)

    def resume_partner(self, partner: str) -> None:
        """Advance the clock of a partner whose queue was empty to the start clock."""
        clock = self.partner_clocks.get(partner, self.start_clock)
        self.partner_clocks[partner] = max(clock, self.start_clock)

    def resume_rank(self, rank: str, waiting: set[str], view: views.PoolView) -> None:
        """Advance the clock of a rank whose queue was empty to the total clock.

        The clock stays behind by the idle credit if a more urgent rank of
        ``waiting``, the ranks that have waiting work, floods.
        """
        order = rank_spec(view, rank).order
        flooded = any(
            rank_spec(view, other).order < order
            and self.total_clock - self.waiting_since[other] >= FLOOD_SECONDS
            for other in waiting
        )
        credit = IDLE_CREDIT_SECONDS if flooded else 0.0
        clock = self.rank_clocks.get(rank, float("-inf"))
        self.rank_clocks[rank] = max(clock, self.total_clock - credit)
        self.waiting_since[rank] = self.total_clock

    def choose(
        self, flows: list[tuple[str, str]], view: views.PoolView
    ) -> tuple[str, str]:
        """Return the (partner, rank) to serve among those with waiting work.

        The most urgent rank behind its floor is chosen, or the most urgent rank
        if none is. Within it the partner with the lowest clock is served. If that
        clock is more than the window ahead of the lowest clock of any partner
        with waiting work, the partner with the lowest clock is served instead.
        """
        chosen = self._choose_rank(flows, view)
        partner = self._choose_partner(flow for flow in flows if flow[1] == chosen)
        behind = self._choose_partner(flows)
        lead = self.partner_clocks[partner] - self.partner_clocks[behind]
        if lead <= PARTNER_WINDOW_SECONDS:
            return partner, chosen
        own = [flow for flow in flows if flow[0] == behind]
        return behind, self._choose_rank(own, view)

    def start(self, partner: str, rank: str, view: views.PoolView) -> Charge:
        """Return a new charge for work that is about to start."""
        self.start_clock = max(self.start_clock, self.partner_clocks[partner])
        return Charge(
            partner=partner, rank=rank, behind_floor=self._is_behind_floor(rank, view)
        )

    def adjust_charge(
        self, charge: Charge, seconds: float, share: float, view: views.PoolView
    ) -> None:
        """Set the slot time charged for a work item to ``seconds``."""
        change = seconds - charge.seconds
        charge.seconds = seconds
        if change == 0.0:
            return
        slots = max(view.slots, 1)
        share = max(share, MINIMUM_SHARE)
        self.partner_clocks[charge.partner] = (
            self.partner_clocks.get(charge.partner, self.start_clock)
            + change / share / slots
        )
        self.total_clock += change / slots
        floor = rank_spec(view, charge.rank).floor
        if floor > 0.0:
            self._adjust_rank_charge(charge, change, floor * slots)

    def forget(self, partners: set[str], ranks: set[str]) -> None:
        """Drop the clocks of all partners and ranks except the given ones."""
        for name in self.partner_clocks.keys() - partners:
            del self.partner_clocks[name]
        for name in self.rank_clocks.keys() - ranks:
            del self.rank_clocks[name]
            self.waiting_since.pop(name, None)

    def _adjust_rank_charge(self, charge: Charge, change: float, rate: float) -> None:
        clock = self.rank_clocks.get(charge.rank, self.total_clock)
        if not charge.behind_floor:
            if change > 0.0:
                room = self.total_clock + RANK_WINDOW_SECONDS - clock
                change = min(change, max(0.0, room * rate))
            else:
                change = max(change, -charge.rank_seconds)
        charge.rank_seconds += change
        clock += change / rate
        self.rank_clocks[charge.rank] = max(
            clock, self.total_clock - MAXIMUM_LAG_SECONDS
        )

    def _is_behind_floor(self, rank: str, view: views.PoolView) -> bool:
        return (
            rank_spec(view, rank).floor > 0.0
            and self.total_clock - self.rank_clocks[rank] >= FLOOR_LAG_SECONDS
        )

    def _choose_rank(self, flows: list[tuple[str, str]], view: views.PoolView) -> str:
        ranks = {rank for _, rank in flows}
        # Floors add up to at most 1, so a more urgent rank behind its floor
        # cannot keep a less urgent one from its own floor.
        behind_floor = {rank for rank in ranks if self._is_behind_floor(rank, view)}
        return min(
            behind_floor or ranks, key=lambda rank: (rank_spec(view, rank).order, rank)
        )

    def _choose_partner(self, flows) -> str:
        return min(
            {partner for partner, _ in flows},
            key=lambda partner: (self.partner_clocks[partner], partner),
        )
