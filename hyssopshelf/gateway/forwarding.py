"""Pattern: few hosts hold an endpoint's scarce connections, the others forward.

An entry node sends a unit of work, a single statement or the statements of one
transaction, to a holder of connections. The holder queues it by rank like its own
work. Entry and holder each check that the endpoint still leads where that matters.
"""

import asyncio
import itertools

import attrs

from hyssopshelf import clocks, exceptions, logs, messages
from hyssopshelf.gateway import gates, links, statements, states

AVOIDANCE_SECONDS = 1.0
"""Time for which other holders are preferred after one did not answer."""

HELD_SECONDS = 8.0
"""Time after which a holder rolls back a transaction of an entry node that is
silent; above the limits on idle transactions of all known sites."""

ANSWER_MARGIN_SECONDS = 0.02
"""Time that the holder leaves for its answer before the statement's deadline."""

NOT_LEADING = "no longer the valid primary"
"""Reason of a holder that does not send work to a former primary."""

_MARK = b"\0"
"""Stands for the statement's name on the connection in a message; no message of
a line protocol contains it."""

_KIND = exceptions.ErrorKind


@messages.register("gateway.forward")
@attrs.frozen(kw_only=True)
class Forward:
    """An entry node asks a holder to send one message to an endpoint.

    Attributes
    ----------
    unit : int
        Number of the unit of work at the entry node.
    step : int
        Number of the message within it.
    version : int
        Version of the belief in the primary that the work needs, 0 for none.
    remaining : float
        Time to the deadline in seconds.
    values : list of (bytes, bytes) or None
        Values of the session, None if the message does not depend on them.
    shape : (bool, bytes) or None
        Prepared statement that the message runs.
    head, tail : bytes
        The message before and after the statement's name on the connection.
    """

    unit: int
    step: int
    endpoint: str
    database: str
    rank: int
    version: int
    remaining: float
    values: list[tuple[bytes, bytes]] | None
    shape: tuple[bool, bytes] | None
    head: bytes
    tail: bytes


@messages.register("gateway.forwarded")
@attrs.frozen(kw_only=True)
class Forwarded:
    """A holder's answer.

    Attributes
    ----------
    failure : str
        Why there is no reply, empty if there is one.
    sent : bool
        Whether the message may have reached the endpoint.
    """

    unit: int
    step: int
    failure: str = ""
    sent: bool = True
    rows: list[bytes] = attrs.field(factory=list)
    signature: bytes = b""
    error: str = ""
    detail: bytes = b""
    state: bytes = b"I"
    position: tuple[int, int] | None = None


@messages.register("gateway.cancel")
@attrs.frozen(kw_only=True)
class Cancel:
    """An entry node gives a unit of work up; its transaction rolls back."""

    unit: int


class RemoteLink:
    """A unit of work at a holder, used like a connection.

    Parameters
    ----------
    forwarder : Forwarder
        Sends the messages.
    endpoint : Endpoint
        The endpoint.
    holder : (str, str)
        Host and address of the holder.
    rank : int
        Urgency of the work.
    version : int
        Version of the belief in the primary that it needs, 0 for none.
    """

    def __init__(self, *, forwarder, endpoint, holder, rank: int, version: int):
        self.forwarder = forwarder
        self.endpoint = endpoint
        self.holder = holder
        self.rank = rank
        self.version = version
        self.state = states.ConnectionState()
        self.unit = forwarder.start_unit(self)
        self.closed = False
        self.direct = False
        self.held = False
        self.step = 0
        self.waiter: asyncio.Future | None = None

    async def run(self, state, shape, make_message, deadline: float):
        """Send one message through the holder and return its reply."""
        head, _, tail = make_message(_MARK if shape is not None else b"").partition(
            _MARK
        )
        return await self._send(
            values=list(state.values.items()),
            shape=tuple(shape) if shape is not None else None,
            head=head,
            tail=tail,
            deadline=deadline,
        )

    async def exchange(self, data: bytes, replies: int) -> list[statements.Reply]:
        """Send a message that needs no session state."""
        deadline = clocks.read_clock() + HELD_SECONDS
        reply = await self._send(
            values=None, shape=None, head=data, tail=b"", deadline=deadline
        )
        return [reply]

    def close(self) -> None:
        """Give the unit up at the holder."""
        if self.closed:
            return
        self.closed = True
        self.forwarder.end_unit(self)
        if self.held or self.waiter is not None:
            self.forwarder.send(*self.holder, Cancel(unit=self.unit))

    def finish(self) -> None:
        """End the unit after its last reply."""
        if self.held:
            self.close()
        elif not self.closed:
            self.closed = True
            self.forwarder.end_unit(self)

    async def _send(self, *, values, shape, head, tail, deadline: float):
        if self.closed:
            raise links.LinkError("already closed")
        self.step += 1
        self.waiter = asyncio.get_running_loop().create_future()
        remaining = deadline - clocks.read_clock()
        message = Forward(
            unit=self.unit,
            step=self.step,
            endpoint=self.endpoint.id,
            database=self.endpoint.database,
            rank=self.rank,
            version=self.version,
            remaining=max(0.0, remaining - ANSWER_MARGIN_SECONDS),
            values=values,
            shape=shape,
            head=head,
            tail=tail,
        )
        self.forwarder.send(*self.holder, message)
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                answer = await self.waiter
        except TimeoutError as error:
            self.forwarder.avoid(*self.holder)
            self.close()
            raise links.LinkError(
                "no answer of the holder in time", witnessed=False
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.waiter = None
        if answer.failure:
            self.held = False
            self.close()
            raise links.LinkError(answer.failure, sent=answer.sent)
        self.held = answer.state != b"I"
        return statements.Reply(
            rows=answer.rows,
            signature=answer.signature,
            error=_KIND(answer.error) if answer.error else None,
            detail=answer.detail,
            state=answer.state,
            position=(
                statements.LogPosition(*answer.position)
                if answer.position is not None
                else None
            ),
        )


class RemoteGate:
    """The way to an endpoint whose connections other hosts hold.

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

    async def enter(self, rank, deadline, session, link=None, version: int = 0):
        """Choose a holder; the work waits there."""
        if link is not None:
            return gates.Turn(work_id="", link=link)
        holder = self.forwarder.choose_holder(self.endpoint.id)
        if holder is None or self.forwarder.gateway.board.isolated:
            raise links.LinkError("no holder is reached", sent=False)
        remote = RemoteLink(
            forwarder=self.forwarder,
            endpoint=self.endpoint,
            holder=holder,
            rank=rank,
            version=version,
        )
        return gates.Turn(work_id="", link=remote)

    def leave(self, turn: gates.Turn) -> None:
        """Do nothing; the holder counts the slots."""

    def release_link(self, link: RemoteLink) -> None:
        """End a unit of work."""
        link.finish()

    def discard_link(self, link: RemoteLink) -> None:
        """Give a unit of work up."""
        link.close()


@attrs.define(kw_only=True)
class HeldUnit:
    """A unit of an entry node at its holder."""

    gate: gates.Gate
    link: links.Link
    used_at: float


class Forwarder:
    """Both ends of forwarding at one node.

    Parameters
    ----------
    gateway : Gateway
        The gateway of this node.
    host : str
        Name of this host.
    send, reset : callable
        Take host, address and message; the address of a stuck connection.
    """

    def __init__(self, *, gateway, host: str, send, reset) -> None:
        self.gateway = gateway
        self.host = host
        self.send = send
        self.reset = reset
        self.holders: dict[str, list[tuple[str, str]]] = {}
        self._units: dict[int, RemoteLink] = {}
        self._numbers = itertools.count(1)
        self._avoided: dict[str, float] = {}
        self._held: dict[tuple[str, int], HeldUnit] = {}
        self._tasks: dict[tuple[str, int], asyncio.Task] = {}

    def is_forwarded(self, endpoint: str) -> bool:
        """Return whether other hosts hold the endpoint's connections."""
        holders = self.holders.get(endpoint)
        return bool(holders) and all(host != self.host for host, _ in holders)

    def choose_holder(self, endpoint: str) -> tuple[str, str] | None:
        """Return a holder that answers, in turn, None without one."""
        now = clocks.read_clock()
        holders = self.holders.get(endpoint, [])
        usable = [h for h in holders if self._avoided.get(h[0], 0.0) <= now]
        candidates = usable or holders
        if not candidates:
            return None
        return candidates[next(self._numbers) % len(candidates)]

    def avoid(self, host: str, address: str) -> None:
        """Prefer other holders for a time, and connect to this one anew."""
        self.reset(address)
        self._avoided[host] = clocks.read_clock() + AVOIDANCE_SECONDS
        logs.write_request(logs.LogEvent.HOLDER_AVOIDED, {"holder": host})

    def start_unit(self, link: RemoteLink) -> int:
        """Register a unit of work; return its number."""
        number = next(self._numbers)
        self._units[number] = link
        return number

    def end_unit(self, link: RemoteLink) -> None:
        """Forget a unit of work."""
        self._units.pop(link.unit, None)

    def receive_forwarded(self, message: Forwarded) -> None:
        """Hand an answer to the unit that waits for it."""
        link = self._units.get(message.unit)
        if link is None or link.step != message.step or link.waiter is None:
            return
        if not link.waiter.done():
            link.waiter.set_result(message)

    def receive_unsent(self, message) -> None:
        """End a unit whose message did not leave this node."""
        if isinstance(message, Forward):
            self.receive_forwarded(
                Forwarded(
                    unit=message.unit,
                    step=message.step,
                    failure="holder is not reached",
                    sent=False,
                )
            )

    def receive_forward(self, message: Forward, host: str, address: str) -> None:
        """Start the work that an entry node asks for."""
        key = (host, message.unit)
        task = asyncio.get_running_loop().create_task(
            self._serve(message, key, address)
        )
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._forget_task(key, task))

    def receive_cancel(self, message: Cancel, host: str) -> None:
        """Stop the work of a unit; its connection is closed."""
        key = (host, message.unit)
        task = self._tasks.get(key)
        if task is not None:
            task.cancel()
        held = self._held.pop(key, None)
        if held is not None:
            held.gate.discard_link(held.link)

    def expire(self, now: float) -> None:
        """Roll back transactions of entry nodes that are silent."""
        for key, held in list(self._held.items()):
            if now - held.used_at > HELD_SECONDS and key not in self._tasks:
                del self._held[key]
                held.gate.discard_link(held.link)

    def _forget_task(self, key, task) -> None:
        if self._tasks.get(key) is task:
            del self._tasks[key]

    async def _serve(self, message: Forward, key, address: str) -> None:
        try:
            answer = await self._run(message, key)
        except gates.RefusalError as refusal:
            answer = Forwarded(
                unit=message.unit, step=message.step, error=refusal.kind.value
            )
        except links.LinkError as error:
            answer = Forwarded(
                unit=message.unit,
                step=message.step,
                failure=error.reason,
                sent=error.sent,
            )
        self.send(key[0], address, answer)

    async def _run(self, message: Forward, key) -> Forwarded:
        """Send the message to the endpoint and return the answer."""
        gateway = self.gateway
        deadline = clocks.read_clock() + message.remaining
        shape = statements.Shape(*message.shape) if message.shape is not None else None
        state = states.SessionState(values=dict(message.values or ()))
        held = self._held.pop(key, None)
        if held is not None:
            gate, link = held.gate, held.link
        else:
            endpoint = gateway.board.endpoints.get(message.endpoint)
            if endpoint is None or message.step != 1:
                raise links.LinkError("unit is not known", sent=False)
            gate, link = gateway.get_local_gate(endpoint), None
        try:
            if link is None:
                turn = await gateway.enter_gate(
                    gate, message.rank, deadline, state, version=message.version
                )
            else:
                turn = await gate.enter(message.rank, deadline, state, link)
        except BaseException as error:
            if link is not None:
                gate.discard_link(link)
            if isinstance(error, gates.PrimaryChangedError):
                raise links.LinkError(NOT_LEADING, sent=False) from error
            if isinstance(error, links.LinkError):
                raise links.LinkError(error.reason, sent=False) from error
            raise
        link = turn.link
        if message.values is None:
            state.values.update(link.state.values)
        reply = None
        try:
            if message.version and not self._leads(message):
                raise links.LinkError(NOT_LEADING, sent=False)
            reply = await link.run(
                state, shape, lambda name: message.head + name + message.tail, deadline
            )
        finally:
            gate.leave(turn)
            self._settle(key, gate, link, reply, in_transaction=held is not None)
        return Forwarded(
            unit=message.unit,
            step=message.step,
            rows=reply.rows,
            signature=reply.signature,
            error=reply.error.value if reply.error else "",
            detail=reply.detail,
            state=reply.state,
            position=tuple(reply.position) if reply.position is not None else None,
        )

    def _settle(self, key, gate, link, reply, in_transaction: bool) -> None:
        """Keep, return or close a connection after a message of a unit."""
        if reply is None:
            if in_transaction or link.closed:
                gate.discard_link(link)
            else:
                gate.release_link(link)
        elif reply.error is _KIND.UNPREPARED:
            gate.discard_link(link)
        elif reply.state == b"I":
            gate.release_link(link)
        else:
            self._held[key] = HeldUnit(
                gate=gate, link=link, used_at=clocks.read_clock()
            )

    def _leads(self, message: Forward) -> bool:
        """Return whether the endpoint leads under the version that work needs."""
        board = self.gateway.board
        grant = board.primary_grants.get(message.database)
        return (
            grant is not None
            and grant.version == message.version
            and grant.endpoint == message.endpoint
            and grant.valid_until > clocks.read_clock()
        )
