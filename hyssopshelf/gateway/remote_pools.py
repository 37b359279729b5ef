"""Connections and pools of endpoints that other hosts hold, for the entry node.

They have the interface of an endpoint's own connections and pools, so that routing
and transactions do not depend on where a connection is.
"""

import asyncio
import functools
import typing

from hyssopshelf import clocks, exceptions
from hyssopshelf.balancing import spillover
from hyssopshelf.gateway import (
    connection_pools,
    endpoint_connections,
    forward_messages,
    session_state,
    statements,
)

PINNED_SECONDS = 8.0
"""Time after which a holder rolls back a transaction of an entry node that is
silent; above the limit on idle transactions at every known site."""

ANSWER_MARGIN_SECONDS = 0.02
"""Time left for the holder's answer to arrive before the statement's deadline."""

NOT_PRIMARY_REASON = "no longer the valid primary"
"""Failure that a holder reports instead of sending work to a former primary."""

STOPPING_REASON = "the holder is stopping"
"""Failure that a holder reports of work that it does not run, or gives up, because its
process is about to end."""

NODE_FAULTS = frozenset({NOT_PRIMARY_REASON, STOPPING_REASON})
"""Failures for which the endpoint is not at fault."""

_NAME_PLACEHOLDER = b"\0"
"""Stands for the prepared statement's name on the connection in a message; no
message of a line protocol contains it."""

_KIND = exceptions.ErrorKind


class RemoteConnection:
    """Runs a unit of work at a holder; has the interface of a connection.

    Parameters
    ----------
    forwarder : Forwarder
        Sends the messages.
    endpoint : Endpoint
        The endpoint.
    holder : (str, str)
        Host and address of the holder.
    rank : int
        Urgency of the work, 0 first.
    version : int
        Version of the primary grant that it needs, 0 for none.
    customer : str
        Customer that it belongs to, empty without customers.

    Attributes
    ----------
    ended : str
        Why the holder has ended the unit between two messages, empty if it has not.
    """

    def __init__(
        self,
        *,
        forwarder,
        endpoint,
        holder,
        rank: int,
        version: int,
        customer: str = "",
    ):
        self.forwarder = forwarder
        self.endpoint = endpoint
        self.holder = holder
        self.rank = rank
        self.version = version
        self.customer = customer
        self.state = session_state.ConnectionState()
        self.unit = forwarder.start_unit(self)
        self.closed = False
        self.direct = False
        self.pinned = False
        self.ended = ""
        self.queued_seconds = 0.0
        self.step = 0
        self.waiter: asyncio.Future | None = None

    async def run(self, state, shape, build_message, deadline: float):
        """Send one message through the holder and return its reply."""
        head, _, tail = build_message(
            _NAME_PLACEHOLDER if shape is not None else b""
        ).partition(_NAME_PLACEHOLDER)
        return await self._send(
            values=list(state.values.items()),
            shape=tuple(shape) if shape is not None else None,
            head=head,
            tail=tail,
            deadline=deadline,
        )

    async def exchange(self, data: bytes, replies: int) -> list[statements.Reply]:
        """Send a message that needs no session state."""
        deadline = clocks.read_clock() + PINNED_SECONDS
        reply = await self._send(
            values=None, shape=None, head=data, tail=b"", deadline=deadline
        )
        return [reply]

    def receive(self, answer: forward_messages.Forwarded) -> None:
        """Take an answer of the holder.

        A failure may come without a message that waits for it, or as the answer to an
        earlier one: then the holder has ended the unit and runs no more of it.
        """
        waiting = self.waiter is not None and not self.waiter.done()
        if waiting and (answer.step == self.step or answer.failure):
            self.waiter.set_result(answer)
        elif answer.failure:
            self.ended = answer.failure

    def close(self) -> None:
        """End the unit, also at the holder if it is open there."""
        if self.closed:
            return
        self.closed = True
        self.forwarder.end_unit(self)
        if self.pinned or self.waiter is not None:
            self.forwarder.send(*self.holder, forward_messages.Cancel(unit=self.unit))

    def finish(self) -> None:
        """End the unit after its last reply."""
        if self.pinned:
            self.close()
        elif not self.closed:
            self.closed = True
            self.forwarder.end_unit(self)

    async def _send(self, *, deadline: float, **content) -> statements.Reply:
        if self.closed:
            raise endpoint_connections.EndpointConnectionError("already closed")
        if self.ended:
            self._fail(self.ended, sent=False)
        self.step += 1
        answer = await self._ask(deadline, content)
        while answer.failure == STOPPING_REASON and not answer.sent:
            if self.step > 1 or not self._move():
                break
            answer = await self._ask(deadline, content)
        if answer.failure:
            self._fail(answer.failure, sent=answer.sent)
        self.pinned = answer.state != b"I"
        self.queued_seconds = record_load(answer, self.endpoint.id, self.forwarder)
        return statements.Reply(
            rows=answer.rows,
            signature=answer.signature,
            error=_KIND(answer.error) if answer.error else None,
            detail=(
                self._name_holder(answer.reason).encode()
                if answer.reason
                else answer.detail
            ),
            state=answer.state,
            position=(
                statements.LogPosition(*answer.position)
                if answer.position is not None
                else None
            ),
        )

    async def _ask(self, deadline: float, content: dict) -> forward_messages.Forwarded:
        """Send a message to the holder and return its answer."""
        self.waiter = asyncio.get_running_loop().create_future()
        remaining = deadline - clocks.read_clock()
        message_class = forward_messages.Forward
        if self.customer:
            message_class = forward_messages.CustomerForward
            content = {**content, "customer": self.customer}
        message = message_class(
            unit=self.unit,
            step=self.step,
            endpoint=self.endpoint.id,
            database=self.endpoint.database,
            rank=self.rank,
            version=self.version,
            remaining=max(0.0, remaining - ANSWER_MARGIN_SECONDS),
            **content,
        )
        self.forwarder.send(*self.holder, message)
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await self.waiter
        except TimeoutError as error:
            self.forwarder.avoid(*self.holder)
            self.close()
            raise endpoint_connections.EndpointConnectionError(
                "no answer of the holder in time", endpoint_fault=False
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.waiter = None

    def _move(self) -> bool:
        """Turn to a holder that is not stopping; return whether there is one."""
        self.forwarder.avoid_stopping(self.holder[0])
        holder = self.forwarder.choose_holder(self.endpoint.id, self.customer)
        if holder is None or not self.forwarder.is_usable(holder[0]):
            return False
        self.forwarder.end_unit(self)
        self.holder = holder
        self.unit = self.forwarder.start_unit(self)
        return True

    def _fail(self, failure: str, *, sent: bool) -> typing.NoReturn:
        """End the unit, of which the holder keeps nothing, and raise an error."""
        self.pinned = False
        self.close()
        raise endpoint_connections.EndpointConnectionError(
            self._name_holder(failure),
            sent=sent,
            endpoint_fault=failure not in NODE_FAULTS,
        )

    def _name_holder(self, reason: str) -> str:
        """Add to a reason where the log tells more."""
        return f"{reason} (holder {self.holder[0]}, unit {self.unit})"


class RemotePool:
    """Replaces the pool of an endpoint whose connections other hosts hold.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    forwarder : Forwarder
        Chooses holders.
    """

    def __init__(self, *, endpoint, forwarder) -> None:
        self.endpoint = endpoint
        self.forwarder = forwarder
        self.codec = forwarder.gateway.endpoint_codec

    async def acquire(
        self,
        rank,
        deadline,
        session,
        connection=None,
        version: int = 0,
        customer: str = "",
    ):
        """Choose a holder, in whose queue the work then waits."""
        if connection is not None:
            return connection_pools.Checkout(work_id="", connection=connection)
        holder = self.forwarder.choose_holder(self.endpoint.id, customer)
        if holder is None or self.forwarder.gateway.board.isolated:
            raise endpoint_connections.EndpointConnectionError(
                "no holder is reached", sent=False
            )
        remote = RemoteConnection(
            forwarder=self.forwarder,
            endpoint=self.endpoint,
            holder=holder,
            rank=rank,
            version=version,
            customer=customer,
        )
        return connection_pools.Checkout(work_id="", connection=remote)

    def release_slot(self, checkout: connection_pools.Checkout) -> None:
        """Do nothing; the holder counts the slots."""

    def release_connection(self, connection: RemoteConnection) -> None:
        """End a unit of work after its last reply."""
        connection.finish()

    def discard_connection(self, connection: RemoteConnection) -> None:
        """Cancel a unit of work."""
        connection.close()


@functools.singledispatch
def record_load(answer: forward_messages.Forwarded, endpoint: str, forwarder) -> float:
    """Record the load that an answer reports; return the seconds in the queue."""
    return 0.0


@record_load.register
def _record_reported_load(
    answer: forward_messages.LoadedForwarded, endpoint: str, forwarder
) -> float:
    forwarder.gateway.board.reported_waits[endpoint] = spillover.ReportedWait(
        seconds=answer.wait / 1000, at=clocks.read_clock()
    )
    return answer.queued / 1000
