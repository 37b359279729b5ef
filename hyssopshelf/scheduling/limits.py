"""Adaptive concurrency limits on outstanding statements at the entry node.

Each limit belongs to one partner and rank of a pool. It grows additively and
decreases multiplicatively (AIMD) on the overload that serving nodes report.
"""

import attrs
import result

from hyssopshelf.scheduling import work

INITIAL_LIMIT = 64.0
MAXIMUM_LIMIT = 1024.0

MINIMUM_LIMIT = 4.0
"""Statements that are always admitted. A limited rank then still has work
waiting at the serving nodes to use its floor, and its limit can recover."""

DECREASE_FACTOR = 0.7
"""Factor applied to a limit on a signal of overload."""

MINIMUM_ROUND_SECONDS = 0.1
"""Minimum time between two decreases. Answers in flight at a decrease still report
the old overload; counting them again would collapse the limit."""

IDLE_SECONDS = 60.0
"""Time without traffic after which the state of a limit is dropped."""

UNDECLARED = "pool, partner or rank is not declared"
LIMITED = "limit of outstanding statements reached"


@attrs.define(kw_only=True)
class Limit:
    """Limit on the outstanding statements of one partner and rank in a pool.

    Attributes
    ----------
    largest : float
        Number of statements that may be outstanding.
    outstanding : int
        Statements admitted and not yet released.
    decreased_at, used_at : float
        Times of the last decrease and of the last statement or answer.
    queueing_seconds : float
        Moving average of the queueing time that answers report.
    """

    maximum: float = INITIAL_LIMIT
    outstanding: int = 0
    decreased_at: float = float("-inf")
    used_at: float = float("-inf")
    queueing_seconds: float = 0.0


Key = tuple[str, str, str]


@attrs.define(kw_only=True)
class LimitState:
    """Limits of an entry node by pool, partner and rank."""

    limits: dict[Key, Limit] = attrs.field(factory=dict)
    pruned_at: float = float("-inf")


def admit(
    board, pool: str, partner: str, rank: str, now: float
) -> result.Result[None, work.Refusal]:
    """Count a statement as outstanding or refuse it.

    After ``Ok`` the caller must call :func:`release` once when the statement
    ends.
    """
    view = board.pools.get(pool)
    if view is None or rank not in view.ranks or not _is_declared(view, partner):
        return result.Err(
            work.Refusal(reason=UNDECLARED, retry_after_seconds=IDLE_SECONDS)
        )
    limit = board.admission.limits.setdefault((pool, partner, rank), Limit())
    limit.used_at = now
    if limit.outstanding >= limit.maximum:
        board.count("limits_refused")
        seconds = max(limit.queueing_seconds, MINIMUM_ROUND_SECONDS)
        return result.Err(work.Refusal(reason=LIMITED, retry_after_seconds=seconds))
    limit.outstanding += 1
    return result.Ok(None)


def release(board, pool: str, partner: str, rank: str, now: float) -> None:
    """Count an admitted statement as no longer outstanding."""
    limit = board.admission.limits.get((pool, partner, rank))
    if limit is not None:
        limit.outstanding = max(0, limit.outstanding - 1)
        limit.used_at = now


def record_answer(
    board,
    pool: str,
    partner: str,
    rank: str,
    refused: bool,
    queueing_seconds: float,
    now: float,
) -> None:
    """Adapt a limit to the answer of a serving node.

    A refusal, or an average queueing time above the target of the rank, is a
    signal of overload and decreases a limit by a factor. Any other answer
    increases it, by about one statement for each full round of outstanding ones.
    """
    view = board.pools.get(pool)
    limit = board.admission.limits.get((pool, partner, rank))
    if view is None or limit is None or rank not in view.ranks:
        return
    limit.used_at = now
    if not refused:
        # Refused work reports a queueing time of 0, which would lower the average.
        limit.queueing_seconds += 0.1 * (queueing_seconds - limit.queueing_seconds)
    target = view.ranks[rank].target_seconds
    if not refused and limit.queueing_seconds <= target:
        if limit.outstanding * 2 >= limit.maximum:
            limit.maximum = min(MAXIMUM_LIMIT, limit.maximum + 1.0 / limit.maximum)
        return
    round_seconds = max(target, MINIMUM_ROUND_SECONDS)
    if now - limit.decreased_at < round_seconds:
        return
    limit.decreased_at = now
    # A full queue is caused by the rank itself. A slow queue can be caused by
    # less urgent work that occupies the slots, so that work is limited first.
    victim = (
        limit if refused else _find_least_urgent(board, view, (pool, partner, rank))
    )
    # The decrease starts from the outstanding statements, so that it is
    # effective even if the limit is far above the traffic.
    victim.maximum = max(
        MINIMUM_LIMIT, min(victim.maximum, max(victim.outstanding, 1)) * DECREASE_FACTOR
    )
    board.count("limits_cut")


def step(board, now: float) -> None:
    """Drop the state of limits that are no longer in use."""
    state = board.admission
    if now - state.pruned_at < 1.0:
        return
    state.pruned_at = now
    for key in [
        key
        for key, limit in state.limits.items()
        if limit.outstanding == 0 and now - limit.used_at > IDLE_SECONDS
    ]:
        del state.limits[key]


def _is_declared(view, partner: str) -> bool:
    return partner in view.capacity or any(other == partner for other, _ in view.kinds)


def _find_least_urgent(board, view, key: Key) -> Limit:
    """Return the limit of the partner's least urgent rank that can be decreased.

    Only ranks less urgent than that of ``key`` and that rank itself qualify.
    """
    pool, partner, rank = key
    order = view.ranks[rank].order
    for other, _ in sorted(view.ranks.items(), key=lambda pair: -pair[1].order):
        limit = board.admission.limits.get((pool, partner, other))
        if view.ranks[other].order <= order:
            break
        if limit and limit.outstanding and limit.maximum > MINIMUM_LIMIT:
            return limit
    return board.admission.limits[key]
