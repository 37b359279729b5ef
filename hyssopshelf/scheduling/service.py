"""Virtual clocks that decide which partner and rank an endpoint serves next."""

import attrs

from hyssopshelf.configuration import resources, views

PARTNER_WINDOW_SECONDS = 1.0
"""Lead of a partner's clock up to which the most urgent rank goes first whatever
partner it belongs to. Shares hold over seconds; with 0.25 s one long background
statement of a partner made its urgent work wait for up to 0.5 s."""

RANK_WINDOW_SECONDS = 0.25
"""Service that a rank may take ahead of its floor without giving up the claim to
it later. It bounds the urgent burst that no floor slows down."""

FLOOR_LAG_SECONDS = 0.25
"""Service that a rank with waiting work must be behind its floor before it goes
ahead of more urgent work. At 0.05 to 0.1 s, ranks within their floors overtook
urgent work so often that its p99 in a background flood rose by up to 0.4."""

FLOOD_SECONDS = 1.0
"""Service during which a rank has work waiting without a break before it counts
as flooding."""

IDLE_CREDIT_SECONDS = 0.5
"""Service that a rank without waiting work saves up against a more urgent rank
that floods. Without it a rank that uses three quarters of its floor waits as at
a slow server: half its work for over 0.1 s, and the entry limits refuse some.
While nothing more urgent floods, urgent work must not wait for such claims."""

MAXIMUM_LAG_SECONDS = 1.0
"""Largest service that a rank may be owed. A floor that only a partner beyond
its share could use would otherwise build up a claim without bound."""

MINIMUM_SHARE = 0.001
"""Share of a partner that the split does not name; a share divides, so it
must not be 0."""

UNDECLARED_RANK = resources.RankSpec(order=1_000_000, floor=0.0)
"""Stands for a rank that was removed while its work was waiting."""


def rank_spec(view: views.PoolView, rank: str) -> resources.RankSpec:
    """Return the declaration of a rank, the least urgent one if removed."""
    return view.ranks.get(rank, UNDECLARED_RANK)


@attrs.define(kw_only=True)
class Charge:
    """Service charged for one running work item.

    Attributes
    ----------
    partner, rank : str
        Whose work it is.
    owed : bool
        Whether it runs because its rank was behind its floor. Only such
        service counts in full; lent service must not turn into a debt.
    seconds : float
        Slot time charged so far.
    rank_seconds : float
        Part of it that was charged to the clock of the rank.
    """

    partner: str
    rank: str
    behind_floor: bool
    seconds: float = 0.0
    rank_seconds: float = 0.0


@attrs.define(kw_only=True)
class ServiceClocks:
    """Start-time fair queueing over partners, with rank floors.

    A partner's clock advances by slot time divided by its share and the slots,
    so all clocks advance like the wall clock when every partner gets its share.
    A rank's clock does the same with the floor, against the total service.

    Attributes
    ----------
    partner_clocks, rank_clocks : dict of str to float
        Clock of each partner and rank, in seconds.
    start_clock : float
        Largest partner clock at which work was started; partners whose
        queue was empty resume here, so that idle time gives no claim.
    total_clock : float
        Service of the endpoint, in seconds of all its slots.
    waiting_since : dict of str to float
        Total clock at which each rank last began to have waiting work.
    """

    partner_clocks: dict[str, float] = attrs.field(factory=dict)
    rank_clocks: dict[str, float] = attrs.field(factory=dict)
    start_clock: float = 0.0
    total_clock: float = 0.0
    waiting_since: dict[str, float] = attrs.field(factory=dict)

    def resume_partner(self, partner: str) -> None:
        """Bring the clock of a partner up to date whose queue was empty."""
        clock = self.partner_clocks.get(partner, self.start_clock)
        self.partner_clocks[partner] = max(clock, self.start_clock)

    def resume_rank(self, rank: str, waiting: set[str], view: views.PoolView) -> None:
        """Bring the clock of a rank up to date whose queue was empty.

        ``waiting`` holds the ranks that have waiting work.
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

        Ranks behind their floors go first, the most urgent of them before the
        others; then the most urgent rank. Within a rank the partner with the
        lowest clock is served, but if it is more than the window ahead of
        another partner with waiting work, that one is served.
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
        """Return the charge of work that is about to start."""
        self.start_clock = max(self.start_clock, self.partner_clocks[partner])
        return Charge(
            partner=partner, rank=rank, behind_floor=self._is_behind_floor(rank, view)
        )

    def adjust_charge(
        self, charge: Charge, seconds: float, share: float, view: views.PoolView
    ) -> None:
        """Change the slot time charged for a work item to ``seconds``."""
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
        """Drop the clocks of all partners and ranks but the given ones."""
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
        # Floors add up to at most 1, so an owed rank that is more urgent cannot
        # keep a less urgent one from its floor.
        behind_floor = {rank for rank in ranks if self._is_behind_floor(rank, view)}
        return min(
            behind_floor or ranks, key=lambda rank: (rank_spec(view, rank).order, rank)
        )

    def _choose_partner(self, flows) -> str:
        return min(
            {partner for partner, _ in flows},
            key=lambda partner: (self.partner_clocks[partner], partner),
        )
