"""The queue of one endpoint at its serving node."""

import attrs
import result

from hyssopshelf.configuration import views
from hyssopshelf.scheduling import work


@attrs.define(kw_only=True)
class EndpointQueue:
    """Order of service at one endpoint: strict rank order.

    Attributes
    ----------
    endpoint : str
        Full name of the endpoint.
    pool : str
        Pool of the endpoint.
    """

    endpoint: str
    pool: str
    _waiting: dict[str, work.Work] = attrs.field(factory=dict, init=False)
    _running: dict[str, work.Work] = attrs.field(factory=dict, init=False)

    def admit(
        self, item: work.Work, view: views.PoolView, now: float
    ) -> result.Result[tuple[work.Work, ...], work.Refusal]:
        """Add work to the queue.

        Returns
        -------
        Ok(tuple of Work)
            The work was added; the tuple holds work that was shed for it.
        Err(Refusal)
            The work was not added.
        """
        rank = view.ranks[item.rank]
        waiting = sum(1 for other in self._waiting.values() if other.rank == item.rank)
        if waiting >= rank.queue_limit:
            return result.Err(
                work.Refusal(reason="queue is full", retry_after_seconds=1.0)
            )
        self._waiting[item.id] = item
        return result.Ok(())

    def take(self, view: views.PoolView, now: float) -> work.Work | None:
        """Start the next work if a slot is free; return None otherwise."""
        if len(self._running) >= view.slots or not self._waiting:
            return None
        item = min(
            self._waiting.values(),
            key=lambda other: (
                not other.in_transaction,
                view.ranks[other.rank].order,
                other.enqueued_at,
            ),
        )
        del self._waiting[item.id]
        item.started_at = now
        self._running[item.id] = item
        return item

    def put_back(self, item: work.Work) -> None:
        """Return work that was taken but could not start to the queue."""
        self._running.pop(item.id, None)
        item.started_at = None
        self._waiting[item.id] = item

    def finish(self, work_id: str, now: float) -> float:
        """Release the slot of a work item and return its slot time in seconds."""
        item = self._running.pop(work_id, None)
        return now - item.started_at if item is not None else 0.0

    def expire(self, now: float) -> list[work.Work]:
        """Remove and return waiting work that can no longer meet its deadline."""
        late = [item for item in self._waiting.values() if item.deadline <= now]
        for item in late:
            del self._waiting[item.id]
        return late

    def discard(self, work_id: str) -> bool:
        """Remove waiting work; return whether it was waiting."""
        return self._waiting.pop(work_id, None) is not None

    @property
    def waiting(self) -> int:
        """Return the number of waiting work items."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)
