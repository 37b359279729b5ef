"""Partner shares across the serving nodes of a pool.

Serving nodes exchange the recent slot time of each partner and rank and how much
each partner had to wait. Each node adjusts the partner weights of its own queues
until the backlogged partners get their shares of the pool's total service. See
docs/scheduling.md.
"""

import math

import attrs

from hyssopshelf import base, envelopes
from hyssopshelf.scheduling import budgets

PERIOD_SECONDS = 1.0
ROUNDING_SECONDS = 1e-6
"""Tolerance for sums of ticks that fall short of a period by rounding errors."""

SMOOTHING_SECONDS = 5.0
"""Time constant of the usage averages; shares hold over seconds to minutes."""

BYTES_PER_SECOND = 400.0
"""Part of the scheduling budget of 1 KB/s; billing has the rest."""

STALE_SECONDS = 30.0
"""Age at which the report of a peer is dropped. If a pool has more peers than the
byte budget covers, the reports kept are a random sample of them."""

PEERS_REFRESH_SECONDS = 5.0

WAITING_FRACTION = 0.3
"""Fraction of time with waiting work from which a partner counts as backlogged."""

MINIMUM_WAITING = 1e-4
"""Average waiting fraction below which the entry of a partner is dropped."""

GAIN_PER_SECOND = 0.15
"""Gain of the correction loop. With the averaging delay of 5 s it converges in
about 20 s without overshooting by more than the share tolerance."""

MAXIMUM_CORRECTION = 4.0
"""Bound of a correction and of its inverse. A partner that gets its share at other
endpoints keeps part of each endpoint, as its work here may be urgent."""


@envelopes.register("scheduling.usage")
@attrs.frozen(kw_only=True)
class UsageReport:
    """Report of the recent usage of a pool at one serving node.

    Attributes
    ----------
    pool : str
        Name of the pool.
    partners, ranks : tuple of str
        Rows and columns of ``milli_slots``.
    milli_slots : tuple of int
        Thousandths of a slot in use, row by row.
    waiting : tuple of int
        Percent of the time in which each partner had waiting work.
    """

    pool: str
    partners: tuple[str, ...]
    ranks: tuple[str, ...]
    milli_slots: tuple[int, ...]
    waiting: tuple[int, ...]


@attrs.define(kw_only=True)
class PeerUsage:
    """Last report of a peer and the time at which it was received."""

    report: UsageReport
    received_at: float


@attrs.define(kw_only=True)
class PoolUsage:
    """Usage of one pool, as known at this node.

    Attributes
    ----------
    slots_used : dict of (str, str) to float
        Moving average of the slots in use at this node by partner and rank.
    waiting : dict of str to float
        Moving average of the fraction of time with waiting work at this node,
        by partner.
    peers : dict of str to PeerUsage
        Last report by host.
    corrections : dict of str to float
        Factor on the share of each partner at this node.
    unsent : list of str
        Peers that were not sent a report in the current cycle.
    hosts : tuple of str
        Hosts that serve the pool.
    """

    slots_used: dict[tuple[str, str], float] = attrs.field(factory=dict)
    waiting: dict[str, float] = attrs.field(factory=dict)
    peers: dict[str, PeerUsage] = attrs.field(factory=dict)
    corrections: dict[str, float] = attrs.field(factory=dict)
    unsent: list[str] = attrs.field(factory=list)
    hosts: tuple[str, ...] = ()
    hosts_read_at: float = float("-inf")


@attrs.define(kw_only=True)
class UsageState:
    """Usage of the pools that the node serves.

    ``counted`` holds the slot seconds by pool, partner and rank since the start,
    ``averaged`` their values at the last average.
    """

    pools: dict[str, PoolUsage] = attrs.field(factory=dict)
    counted: dict[tuple[str, str, str], float] = attrs.field(factory=dict)
    averaged: dict[tuple[str, str, str], float] = attrs.field(factory=dict)
    averaged_at: float | None = None
    sampled_at: float | None = None
    budget: budgets.ByteBudget = attrs.field(
        factory=lambda: budgets.ByteBudget(bytes_per_second=BYTES_PER_SECOND)
    )


def record_usage(
    board, pool: str, partner: str, rank: str, slot_seconds: float
) -> None:
    """Count slot time, in seconds, that a statement used at this node."""
    key = (pool, partner, rank)
    counted = board.usage.counted
    counted[key] = counted.get(key, 0.0) + slot_seconds


def fleet_usage(board, pool: str, now: float) -> dict[tuple[str, str], float]:
    """Return the slots in use in a pool by partner and rank, as known at this node."""
    state = board.usage.pools.get(pool)
    if state is None:
        return {}
    total = dict(state.slots_used)
    for peer in _recent_peers(state, now):
        report = peer.report
        pairs = [(p, r) for p in report.partners for r in report.ranks]
        for key, milli_slots in zip(pairs, report.milli_slots, strict=False):
            total[key] = total.get(key, 0.0) + milli_slots / 1000.0
    return total


def step(board, now: float) -> None:
    """Sample waiting work; once a second update averages, corrections and reports."""
    state = board.usage
    _sample_waiting(board, now)
    if state.averaged_at is None:
        state.averaged_at = now
        return
    elapsed = now - state.averaged_at
    if elapsed < PERIOD_SECONDS - ROUNDING_SECONDS:
        return
    state.averaged_at = now
    served = {queue.pool for queue in board.endpoint_queues.values()}
    for name in list(state.pools):
        if name not in served or name not in board.pools:
            del state.pools[name]
    _average_usage(board, elapsed)
    for name in sorted(state.pools):
        _update_corrections(board, name, elapsed, now)
    for name in board.random.sample(sorted(state.pools), len(state.pools)):
        _send_reports(board, name, now)


@base.receive.register
def receive_usage(message: UsageReport, board, host: str, now: float) -> None:
    """Store the usage report of a peer if this node serves the pool."""
    state = board.usage.pools.get(message.pool)
    if state is not None:
        state.peers[host] = PeerUsage(report=message, received_at=now)


def _sample_waiting(board, now: float) -> None:
    state = board.usage
    elapsed = 0.0 if state.sampled_at is None else max(0.0, now - state.sampled_at)
    state.sampled_at = now
    weight = 1.0 - math.exp(-elapsed / SMOOTHING_SECONDS)
    backlogged: dict[str, set[str]] = {}
    for queue in board.endpoint_queues.values():
        backlogged.setdefault(queue.pool, set()).update(queue.waiting_partners)
    for pool, partners in backlogged.items():
        usage = state.pools.setdefault(pool, PoolUsage())
        for partner in partners | usage.waiting.keys():
            average = usage.waiting.get(partner, 0.0)
            sample = 1.0 if partner in partners else 0.0
            usage.waiting[partner] = average + weight * (sample - average)
            if usage.waiting[partner] < MINIMUM_WAITING:
                del usage.waiting[partner]


def _average_usage(board, elapsed: float) -> None:
    state = board.usage
    weight = 1.0 - math.exp(-elapsed / SMOOTHING_SECONDS)
    for key in list(state.counted):
        pool, partner, rank = key
        view = board.pools.get(pool)
        usage = state.pools.get(pool)
        if usage is None or view is None or rank not in view.ranks:
            del state.counted[key]
            state.averaged.pop(key, None)
            if usage is not None:
                usage.slots_used.pop((partner, rank), None)
            continue
        sample = (state.counted[key] - state.averaged.get(key, 0.0)) / elapsed
        state.averaged[key] = state.counted[key]
        average = usage.slots_used.get((partner, rank), 0.0)
        usage.slots_used[partner, rank] = average + weight * (sample - average)


def _recent_peers(state: PoolUsage, now: float) -> list[PeerUsage]:
    for host in [
        host
        for host, peer in state.peers.items()
        if now - peer.received_at > STALE_SECONDS
    ]:
        del state.peers[host]
    return list(state.peers.values())


def _update_corrections(board, pool: str, elapsed: float, now: float) -> None:
    """Adjust the corrections towards the shares of the backlogged partners."""
    state = board.usage.pools[pool]
    view = board.pools[pool]
    used: dict[str, float] = dict.fromkeys(view.capacity, 0.0)
    for (partner, _), slots in fleet_usage(board, pool, now).items():
        used[partner] = used.get(partner, 0.0) + slots
    waiting = dict(state.waiting)
    for peer in _recent_peers(state, now):
        report = peer.report
        for partner, percent in zip(report.partners, report.waiting, strict=False):
            waiting[partner] = max(waiting.get(partner, 0.0), percent / 100.0)
    backlogged = {
        partner
        for partner, share in view.capacity.items()
        if share > 0.0 and waiting.get(partner, 0.0) >= WAITING_FRACTION
    }
    total = sum(used[partner] for partner in backlogged)
    shares = sum(view.capacity[partner] for partner in backlogged)
    change = min(1.0, GAIN_PER_SECOND * elapsed)
    log_corrections = {
        partner: math.log(state.corrections.get(partner, 1.0)) for partner in used
    }
    for partner in used:
        if partner in backlogged and len(backlogged) > 1 and total > 0.0:
            target = view.capacity[partner] / shares
            error = (target - used[partner] / total) / target
            log_corrections[partner] += change * max(-1.0, min(1.0, error))
        else:
            log_corrections[partner] *= 1.0 - change
    bound = math.log(MAXIMUM_CORRECTION)
    state.corrections = {
        partner: math.exp(max(-bound, min(bound, value)))
        for partner, value in log_corrections.items()
    }
    for queue in board.endpoint_queues.values():
        if queue.pool == pool:
            queue.corrections = state.corrections


def _make_report(board, pool: str) -> UsageReport:
    state = board.usage.pools[pool]
    partners = tuple(sorted(set(state.waiting) | {p for p, _ in state.slots_used}))
    ranks = tuple(sorted({rank for _, rank in state.slots_used}))
    return UsageReport(
        pool=pool,
        partners=partners,
        ranks=ranks,
        milli_slots=tuple(
            round(1000.0 * state.slots_used.get((partner, rank), 0.0))
            for partner in partners
            for rank in ranks
        ),
        waiting=tuple(round(100.0 * state.waiting.get(p, 0.0)) for p in partners),
    )


def _send_reports(board, pool: str, now: float) -> None:
    """Send the usage report to as many peers as the byte budget allows."""
    state = board.usage.pools[pool]
    if now - state.hosts_read_at >= PEERS_REFRESH_SECONDS:
        state.hosts_read_at = now
        state.hosts = serving_hosts(board, pool)
        for host in state.peers.keys() - set(state.hosts):
            del state.peers[host]
    peers = [host for host in state.hosts if host != board.identity.host]
    if not peers:
        return
    report = _make_report(board, pool)
    size = encoded_bytes(board, report)
    for _ in peers:
        if not state.unsent:
            state.unsent = board.random.sample(peers, len(peers))
        if not board.usage.budget.try_take(size, now):
            return
        board.count("usage_bytes_sent", size)
        board.act(base.SendPeer(host=state.unsent.pop(), message=report))


def serving_hosts(board, pool: str) -> tuple[str, ...]:
    """Return the hosts that serve endpoints of a pool, sorted by name."""
    hosts = {
        board.placement.get(f"{pool}/{database.name}/{endpoint.name}")
        for database in board.pools[pool].databases.values()
        for endpoint in database.endpoints
    }
    return tuple(sorted(host for host in hosts if host))


def encoded_bytes(board, message: object) -> int:
    """Return the encoded size of a message with its envelope, in bytes."""
    identity = board.identity
    envelope = envelopes.Envelope(
        host=identity.host, address=identity.address, message=message
    )
    return len(envelopes.encode(envelope))
