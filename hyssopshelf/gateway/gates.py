"""The way to one endpoint: queue, slots and pooled connections."""

import asyncio
import itertools

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import catalog, links, states
from hyssopshelf.scheduling import queues, work

OPEN_SECONDS = 0.5
"""Time for a new connection: a handshake takes about 12 ms and a round trip
between regions 24 ms; a full queue of slots may come before it."""

REFUSED_PAUSE_SECONDS = 0.2
"""Pause after an endpoint refused a connection because it has too many."""

IDLE_SECONDS = 5.0
"""Time after which an unused connection is closed. An endpoint counts connections
of a host that lost power for some seconds, so the rest of its limit must do for the
restart."""

EXPIRY_SECONDS = 0.05
"""Time between two searches for waiting work that is too late, in seconds."""

_ids = itertools.count(1)


class RefusalError(Exception):
    """The work did not run and is not waiting any more.

    Parameters
    ----------
    kind : ErrorKind
        Kind for the caller.
    reason : str
        Explanation for the log.
    """

    def __init__(self, kind: exceptions.ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason


class SupersededError(Exception):
    """The work waits no more because its endpoint is replaced as the primary."""


@attrs.define(kw_only=True)
class Turn:
    """A slot of an endpoint, with the connection that uses it."""

    work_id: str
    link: links.Link | None


class Gate:
    """Queue, slots and connections of one endpoint at this node.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    wire : object
        Codec of its protocol.
    view : PoolView
        Ranks, slots and connections in force.
    """

    def __init__(self, *, endpoint, wire, view) -> None:
        self.endpoint = endpoint
        self.wire = wire
        self.view = view
        self.queue = queues.EndpointQueue(endpoint=endpoint.id, pool=view.pool)
        self.idle: list[links.Link] = []
        self.open_links: set[links.Link] = set()
        self.opening = 0
        self.refused_until = 0.0
        self.handshakes = 0
        self.peak = 0
        self.closed = False
        self._waiters: dict[str, asyncio.Future] = {}
        self._expiry: asyncio.TimerHandle | None = None

    def estimate_wait(self, latency: float) -> float:
        """Return the expected wait of new work in seconds."""
        ahead = self.queue.waiting + self.queue.running
        if ahead < self.view.slots:
            return 0.0
        return (ahead + 1 - self.view.slots) * latency / self.view.slots

    def measure_demand(self, *, reset: bool) -> int:
        """Return the peak of connections in use and wanted."""
        usable = sum(1 for link in self.idle if not link.closed)
        current = len(self.open_links) - usable + self.queue.waiting
        peak = max(self.peak, current)
        if reset:
            self.peak = current
        return peak

    async def enter(
        self,
        rank: int,
        deadline: float,
        session: states.SessionState,
        link: links.Link | None = None,
        version: int = 0,
    ) -> Turn:
        """Wait for a slot and a connection.

        ``version`` is for gates of other hosts' connections; the caller checks it.

        Raises
        ------
        RefusalError
            If the work cannot start in time.
        LinkError
            If no connection could be opened.
        """
        now = clocks.read_clock()
        item = work.Work(
            id=str(next(_ids)),
            partner=catalog.PARTNER,
            rank=catalog.name_rank(rank),
            deadline=deadline,
            enqueued_at=now,
            in_transaction=link is not None,
        )
        held = len(self.open_links)
        admitted = self.queue.admit(item, self.view, now, held=held)
        if admitted.is_err():
            raise RefusalError(exceptions.ErrorKind.REFUSED, admitted.err_value.reason)
        for shed in admitted.ok_value:
            self._refuse(shed, "shed for other work")
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[item.id] = waiter
        busy = len(self.open_links) - len(self.idle) + self.queue.waiting
        self.peak = max(self.peak, busy)
        self.pump()
        if not waiter.done():
            self._schedule_expiry()
        try:
            await waiter
        except asyncio.CancelledError:
            if _is_started(waiter):
                if link is None:
                    self.opening -= 1
                self.leave(Turn(work_id=item.id, link=None))
            else:
                self.queue.discard(item.id)
            raise
        finally:
            self._waiters.pop(item.id, None)
        turn = Turn(work_id=item.id, link=link)
        if link is None:
            try:
                turn.link = await self._find_link(session)
            except BaseException:
                self.leave(turn)
                raise
        return turn

    def leave(self, turn: Turn) -> None:
        """Give the slot back."""
        self.queue.finish(turn.work_id, clocks.read_clock())
        self.pump()

    def claim_idle(self) -> links.Link | None:
        """Return an idle connection, None without one."""
        while self.idle:
            link = self.idle.pop()
            if not link.closed:
                return link
            self.open_links.discard(link)
        return None

    def adopt_link(self, link: links.Link) -> None:
        """Count a connection that was opened outside the queue."""
        self.open_links.add(link)

    def release_link(self, link: links.Link) -> None:
        """Give a connection back to the pool."""
        if link.closed or self.closed or self.endpoint.leaving:
            self.discard_link(link)
            return
        self.idle.append(link)
        self.pump()

    def discard_link(self, link: links.Link) -> None:
        """Close a connection and forget it."""
        link.close()
        self.open_links.discard(link)
        if link in self.idle:
            self.idle.remove(link)
        self.pump()

    def pump(self) -> None:
        """Start waiting work while slots and connections are free."""
        now = clocks.read_clock()
        while True:
            fresh = self._count_room(now) > 0
            item = self.queue.take(self.view, now, include_new=fresh)
            if item is None:
                return
            waiter = self._waiters.get(item.id)
            if waiter is None or waiter.done():
                self.queue.finish(item.id, now)
                continue
            if not item.in_transaction:
                self.opening += 1
            waiter.set_result(None)

    def close_surplus(self, now: float) -> None:
        """Close unused connections beyond the share, and long unused ones."""
        self.close_idle(self.view.connections, now)
        self.close_idle(1, now - IDLE_SECONDS)

    def close_idle(self, kept: int, before: float) -> None:
        """Close unused connections beyond a number."""
        self.idle = [link for link in self.idle if not link.closed]
        for link in list(self.idle):
            if len(self.open_links) <= kept or link.used_at > before:
                continue
            self.discard_link(link)

    def shut(self) -> None:
        """Refuse waiting work and close unused connections."""
        self.closed = True
        for item_id, waiter in list(self._waiters.items()):
            if not waiter.done() and self.queue.discard(item_id):
                waiter.set_exception(
                    RefusalError(exceptions.ErrorKind.UNAVAILABLE, "endpoint is gone")
                )
        for link in list(self.idle):
            self.discard_link(link)

    def _count_room(self, now: float) -> int:
        """Return for how many new work items there is a connection.

        ``opening`` counts work that was started and has not taken its connection
        yet, out of the idle ones or a new one.
        """
        idle = sum(1 for link in self.idle if not link.closed)
        new = 0
        if now >= self.refused_until:
            new = max(0, self.view.connections - len(self.open_links))
        return idle + new - self.opening

    async def _find_link(self, session: states.SessionState) -> links.Link:
        """Return the idle connection that fits best, or a new one.

        The caller has reserved it by ``opening``.
        """
        try:
            best = None
            best_cost = 0
            # The last used ones first, so that a surplus stays unused and is closed.
            for link in reversed(self.idle):
                if link.closed:
                    continue
                cost = states.estimate_cost(link.state, session)
                if best is None or cost < best_cost:
                    best, best_cost = link, cost
                    if cost == 0:
                        break
            if best is not None:
                self.idle.remove(best)
                return best
            return await self._open_link()
        finally:
            self.opening -= 1

    async def _open_link(self) -> links.Link:
        self.handshakes += 1
        marker = links.Link(endpoint=self.endpoint, wire=self.wire)
        self.open_links.add(marker)
        try:
            link = await links.open_link(self.endpoint, self.wire, OPEN_SECONDS)
        except links.LinkError as error:
            if error.reason == exceptions.ErrorKind.FULL.value:
                self.refused_until = clocks.read_clock() + REFUSED_PAUSE_SECONDS
            raise
        finally:
            self.open_links.discard(marker)
        self.open_links.add(link)
        return link

    def _refuse(self, item: work.Work, reason: str) -> None:
        waiter = self._waiters.get(item.id)
        if waiter is not None and not waiter.done():
            waiter.set_exception(RefusalError(exceptions.ErrorKind.REFUSED, reason))

    def _schedule_expiry(self) -> None:
        if self._expiry is None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(EXPIRY_SECONDS, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        for item in self.queue.expire(clocks.read_clock()):
            self._refuse(item, "cannot start before its deadline")
        self.pump()
        if self.queue.waiting:
            self._schedule_expiry()


def _is_started(waiter: asyncio.Future) -> bool:
    """Return whether work was started, not refused or still waiting."""
    return waiter.done() and not waiter.cancelled() and waiter.exception() is None
