"""Scheduling queue of one endpoint at the node that serves it."""

import collections

import attrs
import result

from hyssopshelf import exceptions
from hyssopshelf.configuration import views
from hyssopshelf.scheduling import estimates, service, turns, work

MINIMUM_RETRY_SECONDS = 0.05
MAXIMUM_RETRY_SECONDS = 30.0

QUEUE_FULL = "queue of the rank is full"
DEADLINE_TOO_CLOSE = "cannot finish by its deadline"
UNDECLARED = "partner or rank is not declared"
NO_CONNECTION_LEFT = "more transaction statements than connections"


@attrs.define(kw_only=True)
class Flow:
    """Waiting work of one partner and rank, oldest first.

    Attributes
    ----------
    in_transaction : OrderedDict of str to Work
        Statements of open transactions by id.
    new : OrderedDict of str to Work
        All other work by id.
    estimate : ServiceEstimate
        Slot time and interval of recent work.
    """

    in_transaction: collections.OrderedDict[str, work.Work] = attrs.field(
        factory=collections.OrderedDict
    )
    new: collections.OrderedDict[str, work.Work] = attrs.field(
        factory=collections.OrderedDict
    )
    estimate: estimates.ServiceEstimate = attrs.field(factory=estimates.ServiceEstimate)
    customer_turns: turns.CustomerTurns = attrs.field(factory=turns.CustomerTurns)

    def __len__(self) -> int:
        """Return the number of waiting work items."""
        return len(self.in_transaction) + len(self.new)

    def queue_of(self, item: work.Work) -> collections.OrderedDict[str, work.Work]:
        """Return the queue of open transactions or that of new work."""
        return self.in_transaction if item.in_transaction else self.new

    def find_next(self, is_ready) -> work.Work | None:
        """Return the work that starts next, None if none of it can."""
        if self.in_transaction:
            return next(iter(self.in_transaction.values()))
        if is_ready is None:
            return self.customer_turns.choose(self.new.values())
        return self.customer_turns.choose(self.new.values(), is_ready)

    def count_ahead(self, customer: str) -> int:
        """Return how many waiting items a new one of a customer has to wait for."""
        if not customer:
            return len(self)
        ahead = turns.count_ahead(self.new.values(), customer)
        return len(self.in_transaction) + ahead


@attrs.define(kw_only=True)
class Running:
    """Work that holds a slot.

    Attributes
    ----------
    item : Work
        The work.
    charge : Charge
        Service charged for it.
    previous_start : (float, float)
        Start state of the estimate before the work started. It is restored if
        the work is requeued.
    """

    item: work.Work
    charge: service.Charge
    previous_start: tuple[float, float]


@attrs.define(kw_only=True)
class EndpointQueue:
    """Queues work for one endpoint and decides the order of service.

    Statements of open transactions are served first, then the most urgent rank
    within the partner shares and rank floors that
    :class:`service.ServiceClocks` enforces. Work is charged its estimated slot
    time when it starts, its elapsed time once it exceeds the estimate, and its
    actual slot time when it finishes.

    Attributes
    ----------
    endpoint : str
        Full name of the endpoint.
    pool : str
        Pool of the endpoint.
    corrections : dict of str to float
        Factor on the share of each partner that compensates for the service
        it gets at other nodes; 1 if absent.
    """

    endpoint: str
    pool: str
    corrections: dict[str, float] = attrs.field(factory=dict)
    _flows: dict[tuple[str, str], Flow] = attrs.field(factory=dict, init=False)
    _waiting: dict[str, work.Work] = attrs.field(factory=dict, init=False)
    _running: dict[str, Running] = attrs.field(factory=dict, init=False)
    _clocks: service.ServiceClocks = attrs.field(
        factory=service.ServiceClocks, init=False
    )
    _view: views.PoolView | None = attrs.field(default=None, init=False)
    _partners: frozenset[str] = attrs.field(default=frozenset(), init=False)

    def admit(
        self, item: work.Work, view: views.PoolView, now: float, *, held: int = 0
    ) -> result.Result[tuple[work.Work, ...], work.Refusal]:
        """Add work to the queue, refuse it, or shed other work for it.

        Parameters
        ----------
        held : int
            Open connections. They can exceed the limit of the view after the
            limit was lowered, and each may carry a transaction.

        Returns
        -------
        Ok(tuple of Work)
            The work was added; the tuple holds the work that was shed to make
            room for it.
        Err(Refusal)
            The work was not added.

        Raises
        ------
        InvariantError
            If work with the same id is waiting or running. A refusal would
            wrongly tell the caller that the statement did not run.
        """
        if item.id in self._waiting or item.id in self._running:
            raise exceptions.InvariantError(
                f"work {item.id} is already queued or running"
            )
        self._use_view(view)
        if item.rank not in view.ranks or item.partner not in self._partners:
            return _refuse(UNDECLARED, MAXIMUM_RETRY_SECONDS)
        flow = self._flows.setdefault((item.partner, item.rank), Flow())
        if item.in_transaction:
            connections = max(view.connections, held)
            return self._admit_in_transaction(item, flow, connections, now)
        wait = self._expected_wait(item, flow, view, now)
        spare = item.deadline - now - flow.estimate.estimate_minimum(now)
        if spare <= 0.0 or wait > spare:
            return _refuse(DEADLINE_TOO_CLOSE, wait - spare)
        shed: tuple[work.Work, ...] = ()
        if self._rank_waiting(item.rank) >= view.ranks[item.rank].queue_limit:
            shed = self._shed_for(item, view, now)
            if not shed:
                return _refuse(QUEUE_FULL, wait)
        self._add(item, now)
        return result.Ok(shed)

    def take(
        self,
        view: views.PoolView,
        now: float,
        *,
        include_new: bool = True,
        is_ready=None,
    ) -> work.Work | None:
        """Start the next work and return it, or None if none can start.

        Parameters
        ----------
        include_new : bool
            Whether new work may start; statements of open transactions always may,
            as they already hold a connection.
        is_ready : callable or None
            Takes a customer and returns whether its new work can start; None if all
            can.
        """
        self._use_view(view)
        if len(self._running) >= view.slots or not self._waiting:
            return None
        for running in self._running.values():
            elapsed = now - running.item.started_at
            if elapsed > running.charge.seconds:
                self._adjust_charge(running.charge, elapsed)
        flows = [key for key, flow in self._flows.items() if flow.in_transaction]
        if not flows and include_new:
            flows = [key for key, flow in self._flows.items() if flow.new]
        if not flows:
            return None
        item = self._choose_item(flows, view, is_ready)
        if item is None:
            return None
        partner, rank = item.partner, item.rank
        flow = self._flows[partner, rank]
        self._remove(item)
        previous_start = flow.estimate.record_start(now)
        item.started_at = now
        charge = self._clocks.start(partner, rank, view)
        seconds = item.estimated_seconds or flow.estimate.mean_seconds
        self._adjust_charge(charge, seconds)
        if item.customer:
            flow.customer_turns.start(item.customer, seconds)
        self._running[item.id] = Running(
            item=item, charge=charge, previous_start=previous_start
        )
        return item

    def _choose_item(self, flows: list, view: views.PoolView, is_ready):
        """Return the next work of the first flow, in order, that has some ready."""
        while flows:
            chosen = self._clocks.choose(flows, view)
            item = self._flows[chosen].find_next(is_ready)
            if item is not None:
                return item
            flows = [flow for flow in flows if flow != chosen]
        return None

    def requeue(self, item: work.Work) -> None:
        """Put work that was taken but could not start at the head of its queue.

        Its charge and the recorded start are undone.
        """
        running = self._running.pop(item.id, None)
        if running is not None:
            self._adjust_charge(running.charge, 0.0)
        if item.id in self._waiting:
            return
        now = item.started_at if item.started_at is not None else item.enqueued_at
        item.started_at = None
        self._add(item, now)
        flow = self._flows[item.partner, item.rank]
        flow.queue_of(item).move_to_end(item.id, last=False)
        if running is not None:
            flow.estimate.undo_start(running.previous_start)

    def finish(self, work_id: str, now: float) -> float:
        """Release the slot of a work item and return its slot time in seconds.

        The result is 0 if the work does not run here.
        """
        running = self._running.pop(work_id, None)
        if running is None:
            return 0.0
        item = running.item
        seconds = max(0.0, now - item.started_at)
        self._adjust_charge(running.charge, seconds)
        flow = self._flows.get((item.partner, item.rank))
        if flow is not None:
            if item.customer:
                flow.customer_turns.correct(
                    item.customer, seconds - flow.estimate.mean_seconds
                )
            flow.estimate.record_finish(seconds, now)
        return seconds

    def expire(self, now: float) -> list[work.Work]:
        """Remove and return waiting work that can no longer meet its deadline."""
        late = [item for item in self._waiting.values() if self._is_late(item, now)]
        for item in late:
            self._remove(item)
        return late

    def discard(self, work_id: str) -> bool:
        """Remove work that is waiting; return whether it was found."""
        item = self._waiting.get(work_id)
        if item is None:
            return False
        self._remove(item)
        return True

    def is_new(self, work_id: str) -> bool:
        """Return whether work that is waiting belongs to no open transaction."""
        item = self._waiting.get(work_id)
        return item is not None and not item.in_transaction

    @property
    def waiting(self) -> int:
        """Return the number of waiting work items."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def waiting_customers(self) -> set[str]:
        """Return the customers that have waiting work."""
        return {item.customer for item in self._waiting.values()}

    @property
    def waiting_partners(self) -> set[str]:
        """Return the partners that have waiting work."""
        return {partner for (partner, _), flow in self._flows.items() if len(flow)}

    def _admit_in_transaction(
        self, item: work.Work, flow: Flow, connections: int, now: float
    ) -> result.Result[tuple[work.Work, ...], work.Refusal]:
        # An open transaction holds a connection and runs one statement at a
        # time, so the number of connections bounds these statements; the queue
        # limit does not apply.
        if item.deadline <= now + flow.estimate.estimate_minimum(now):
            return _refuse(DEADLINE_TOO_CLOSE, MINIMUM_RETRY_SECONDS)
        if (
            sum(len(other.in_transaction) for other in self._flows.values())
            >= connections
        ):
            return _refuse(NO_CONNECTION_LEFT, MAXIMUM_RETRY_SECONDS)
        self._add(item, now)
        return result.Ok(())

    def _shed_for(
        self, item: work.Work, view: views.PoolView, now: float
    ) -> tuple[work.Work, ...]:
        """Shed waiting work of the same rank to make room for ``item``.

        Work that cannot meet its deadline is shed first. Otherwise the newest
        work of the partner that exceeds its part of the queue the most is shed,
        provided that the partner of ``item`` is below its own part. Return the
        work that was removed, which can be none.
        """
        backlogs = {
            partner: flow.new
            for (partner, rank), flow in self._flows.items()
            if rank == item.rank
        }
        late = tuple(
            other
            for backlog in backlogs.values()
            for other in backlog.values()
            if self._is_late(other, now)
        )
        if late:
            for other in late:
                self._remove(other)
            return late
        if item.customer:
            excess_item = turns.find_excess(
                backlogs[item.partner].values(), item.customer
            )
            if excess_item is None:
                return ()
            self._remove(excess_item)
            return (excess_item,)
        limit = view.ranks[item.rank].queue_limit

        def excess(partner: str) -> float:
            part = max(1.0, limit * view.capacity.get(partner, 0.0))
            return len(backlogs[partner]) / part

        worst = max(sorted(backlogs), key=excess)
        if excess(worst) <= 1.0 or excess(item.partner) >= 1.0:
            return ()
        newest = next(reversed(backlogs[worst].values()))
        self._remove(newest)
        return (newest,)

    def _expected_wait(
        self, item: work.Work, flow: Flow, view: views.PoolView, now: float
    ) -> float:
        # Work with fewer items ahead of it than there are slots is always
        # accepted, so that the estimates keep receiving samples.
        ahead = flow.count_ahead(item.customer)
        if ahead < view.slots:
            return 0.0
        floor = view.ranks[item.rank].floor
        guaranteed = floor * view.capacity.get(item.partner, 0.0) * view.slots
        return flow.estimate.estimate_wait(ahead, guaranteed, now)

    def _is_late(self, item: work.Work, now: float) -> bool:
        flow = self._flows[item.partner, item.rank]
        return item.deadline <= now + flow.estimate.estimate_minimum(now)

    def _rank_waiting(self, rank: str) -> int:
        return sum(
            len(flow.new) for (_, other), flow in self._flows.items() if other == rank
        )

    def _add(self, item: work.Work, now: float) -> None:
        key = (item.partner, item.rank)
        flow = self._flows.setdefault(key, Flow())
        waiting = [key for key, other in self._flows.items() if len(other)]
        ranks = {rank for _, rank in waiting}
        if item.rank not in ranks:
            self._clocks.resume_rank(item.rank, ranks, self._view)
        if item.partner not in {partner for partner, _ in waiting}:
            self._clocks.resume_partner(item.partner)
        if not len(flow):
            flow.estimate.resume(now, max(1, self._view.slots))
        flow.queue_of(item)[item.id] = item
        self._waiting[item.id] = item

    def _remove(self, item: work.Work) -> None:
        del self._waiting[item.id]
        del self._flows[item.partner, item.rank].queue_of(item)[item.id]

    def _adjust_charge(self, charge: service.Charge, seconds: float) -> None:
        share = self._view.capacity.get(charge.partner, 0.0)
        share *= self.corrections.get(charge.partner, 1.0)
        self._clocks.adjust_charge(charge, seconds, share, self._view)

    def _use_view(self, view: views.PoolView) -> None:
        """Switch to ``view``; drop the state of partners and ranks that it removed."""
        if view is self._view:
            return
        self._view = view
        self._partners = frozenset(view.capacity) | {key[0] for key in view.kinds}
        for key in [key for key, flow in self._flows.items() if not len(flow)]:
            if key[0] not in self._partners or key[1] not in view.ranks:
                del self._flows[key]
        self._clocks.forget(
            self._partners | {partner for partner, _ in self._flows},
            set(view.ranks) | {rank for _, rank in self._flows},
        )


def _refuse(reason: str, retry_after_seconds: float) -> result.Err[work.Refusal]:
    seconds = min(
        max(retry_after_seconds, MINIMUM_RETRY_SECONDS), MAXIMUM_RETRY_SECONDS
    )
    return result.Err(work.Refusal(reason=reason, retry_after_seconds=seconds))
