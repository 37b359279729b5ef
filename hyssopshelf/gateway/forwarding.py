"""Forwards work to the few hosts that hold an endpoint's scarce connections.

The client's node (entry node) sends a unit of work, a single statement or the
statements of one transaction, to a holder, which queues it by rank like its own
work. Both check that the endpoint is still the primary if the work needs it.
"""

import asyncio
import itertools

from hyssopshelf import background, clocks, exceptions, logs, numbering
from hyssopshelf.balancing import holders as customer_holders
from hyssopshelf.gateway import (
    connection_pools,
    endpoint_connections,
    forward_messages,
    forwarded_steps,
    remote_pools,
    session_state,
    statements,
)

AVOIDANCE_SECONDS = 1.0
"""Time for which other holders are preferred after one did not answer."""

STOPPING_SECONDS = 3.0
"""Time for which other holders are preferred after one refused work because it stops:
about as long as its process still lives, until the coordinator has replaced it."""

QUIET_SECONDS = 0.2
"""Time without forwarded work after which a stopping holder may end; the entry nodes
have learned of other holders by then."""

FAILED_REASON = "the holder failed"
"""Failure that a holder reports after an unexpected error."""

_KIND = exceptions.ErrorKind


class Forwarder:
    """Forwards units of work to holders and runs those that other nodes forward.

    Parameters
    ----------
    gateway : Gateway
        The gateway of this node.
    host : str
        Name of this host.
    send, reset : callable
        Take host, address and message; the address whose connection to close.
    """

    def __init__(self, *, gateway, host: str, send, reset) -> None:
        self.gateway = gateway
        self.host = host
        self.send = send
        self.reset = reset
        self.holders: dict[str, list[tuple[str, str]]] = {}
        self._units: dict[int, remote_pools.RemoteConnection] = {}
        self._counter = numbering.start_count()
        self._turns = itertools.count()
        self._avoided: dict[str, float] = {}
        self._stopping: dict[str, float] = {}
        self._assigned: dict[str, tuple] = {}
        self._pinned: dict[tuple[str, int], forwarded_steps.PinnedUnit] = {}
        self._running: dict[tuple[str, int], forwarded_steps.RunningStep] = {}
        self._cancelled = forwarded_steps.CancelledUnits()
        self._latest_units: dict[str, int] = {}
        self._received_at = float("-inf")

    def is_forwarded(self, endpoint: str) -> bool:
        """Return whether other hosts hold the endpoint's connections."""
        holders = self.holders.get(endpoint)
        return bool(holders) and all(host != self.host for host, _ in holders)

    def list_holders(self) -> set[tuple[str, str]]:
        """Return host and address of all hosts that hold connections for others."""
        return {holder for found in self.holders.values() for holder in found}

    def is_avoided(self, host: str) -> bool:
        """Return whether a host did not answer just now."""
        return self._avoided.get(host, 0.0) > clocks.read_clock()

    def is_usable(self, host: str) -> bool:
        """Return whether another host answers, and starts work, as far as is known."""
        stopping = self._stopping.get(host, 0.0) > clocks.read_clock()
        return host != self.host and not stopping and not self.is_avoided(host)

    def is_working(self) -> bool:
        """Return whether this node runs work or keeps transactions for others.

        Others that have sent work just now may still send more.
        """
        if self._running or self._pinned:
            return True
        return clocks.read_clock() < self._received_at + QUIET_SECONDS

    def choose_holder(
        self, endpoint: str, customer: str = ""
    ) -> tuple[str, str] | None:
        """Return the next holder, preferably one not avoided; None without one.

        The work of a customer goes to the holders that serve it.
        """
        candidates = self.list_choices(endpoint, customer)
        if not candidates:
            return None
        return candidates[next(self._turns) % len(candidates)]

    def list_choices(self, endpoint: str, customer: str = "") -> list[tuple[str, str]]:
        """Return the holders among which work at an endpoint is spread."""
        holders = self.holders.get(endpoint, [])
        usable = [h for h in holders if self.is_usable(h[0])]
        candidates = usable or holders
        if candidates and customer and self.gateway.has_customers():
            order, count = self._list_customer_holders(endpoint, holders, customer)
            serving = [order[name] for name in order]
            candidates = [h for h in serving if h in candidates][:count]
        return candidates

    def _list_customer_holders(self, endpoint: str, found: list, customer: str):
        """Return a customer's holders by name, in order, and how many serve it."""
        configuration = self.gateway.board.configuration
        key = (configuration.version, tuple(found))
        kept = self._assigned.get(endpoint)
        if kept is None or kept[0] != key:
            shares = configuration.customers.compute_shares()
            assigned = customer_holders.assign(
                endpoint, [host for host, _ in found], shares
            )
            kept = (key, assigned, shares)
            for removed in self._assigned.keys() - self.holders.keys():
                del self._assigned[removed]
            self._assigned[endpoint] = kept
        by_name = dict(zip((host for host, _ in found), found, strict=True))
        order = kept[1].get(customer) or list(by_name)
        count = customer_holders.count_holders(kept[2].get(customer, 0.0), len(found))
        return {name: by_name[name] for name in order}, count

    def avoid(self, host: str, address: str) -> None:
        """Prefer other holders for a time, and reconnect to this one."""
        self.reset(address)
        self._avoided[host] = clocks.read_clock() + AVOIDANCE_SECONDS
        logs.write_request(logs.LogEvent.HOLDER_AVOIDED, {"holder": host})

    def avoid_stopping(self, host: str) -> None:
        """Prefer other holders to one that starts no more work."""
        self._stopping[host] = clocks.read_clock() + STOPPING_SECONDS

    def start_unit(self, remote: remote_pools.RemoteConnection) -> int:
        """Register a unit of work; return its number."""
        number = next(self._counter)
        self._units[number] = remote
        return number

    def end_unit(self, remote: remote_pools.RemoteConnection) -> None:
        """Forget a unit of work."""
        self._units.pop(remote.unit, None)

    def receive_forwarded(self, message: forward_messages.Forwarded) -> None:
        """Pass an answer to the unit that waits for it."""
        remote = self._units.get(message.unit)
        if remote is not None:
            remote.receive(message)

    def receive_unsent(self, message) -> None:
        """Fail a unit whose message could not be sent."""
        if isinstance(message, forward_messages.Forward):
            self.receive_forwarded(
                forwarded_steps.make_failure(
                    message.unit, message.step, "holder is not reached", sent=False
                )
            )

    def receive_forward(
        self,
        message: forward_messages.Forward,
        host: str,
        address: str,
        waited_since: float | None = None,
    ) -> None:
        """Start the work that an entry node forwards, unless it is too late for it.

        Parameters
        ----------
        waited_since : float or None
            Clock time since which the message may have waited to be read.
        """
        self._end_former_units(host, address, message.unit)
        now = self._received_at = clocks.read_clock()
        key = (host, message.unit)
        if not self.gateway.may_start_work():
            self._discard_pinned(key)
            self._refuse(key, message.step, message.endpoint, address)
            return
        if key in self._cancelled:
            reason = forwarded_steps.CANCELLED_REASON
            self._refuse(key, message.step, message.endpoint, address, reason)
            return
        # Work at a primary must not run after its client may have got an answer.
        since = waited_since if message.version else None
        deadline = clocks.find_deadline(message.remaining, now, since)
        running = forwarded_steps.RunningStep(
            message=message, address=address, received_at=now, deadline=deadline
        )
        running.task = asyncio.get_running_loop().create_task(self._serve(running, key))
        self._running[key] = running
        running.task.add_done_callback(lambda _: self._forget_step(key, running))

    def receive_cancel(self, message: forward_messages.Cancel, host: str) -> None:
        """Stop the work of a unit; its connection is closed."""
        key = (host, message.unit)
        if key not in self._running and key not in self._pinned:
            self._cancelled.add(key, clocks.read_clock())
        self._end_unit(key)

    def advance_stop(self, now: float) -> None:
        """Give up the work of other nodes as the schedule of a stop asks for.

        Their clients get an answer that says what became of it. A unit for which that
        fails does not keep it from the others.
        """
        schedule = self.gateway.stop
        if schedule.may_start(now):
            return
        for running in self._running.values():
            if not running.sent or now >= schedule.answer_by:
                background.call_logged(running.interrupt)
        for key, pinned in list(self._pinned.items()):
            if key not in self._running:
                background.call_logged(self._hand_back, key, pinned)

    def cancel_units(self) -> None:
        """Tell the holders to end what this node has open there."""
        for remote in list(self._units.values()):
            background.call_logged(remote.close)

    def _hand_back(self, key, pinned: forwarded_steps.PinnedUnit) -> None:
        """End a unit between two messages and tell its entry node."""
        self._discard_pinned(key)
        self._refuse(key, pinned.step, pinned.pool.endpoint.id, pinned.address)

    def _refuse(
        self,
        key,
        step: int,
        endpoint: str,
        address: str,
        reason: str = remote_pools.STOPPING_REASON,
    ) -> None:
        """Tell an entry node that this holder runs no more of a unit."""
        host, unit = key
        answer = forwarded_steps.make_failure(unit, step, reason, sent=False)
        forwarded_steps.log_failure(answer, endpoint, host)
        self.send(host, address, answer)

    def _end_unit(self, key: tuple[str, int]) -> None:
        running = self._running.get(key)
        if running is not None:
            running.task.cancel()
        self._discard_pinned(key)

    def _discard_pinned(self, key: tuple[str, int]) -> None:
        pinned = self._pinned.pop(key, None)
        if pinned is not None:
            pinned.pool.discard_connection(pinned.connection)

    def _end_former_units(self, host: str, address: str, unit: int) -> None:
        """End the units of an earlier process of an entry node.

        It does not matter for consistency, as their numbers are not used again; their
        connections are scarce. The connection to that process is not used any more.
        """
        latest = self._latest_units.get(host, 0)
        self._latest_units[host] = max(latest, unit)
        if not latest or not numbering.is_earlier_process(latest, unit):
            return
        self.reset(address)
        for key in {*self._pinned, *self._running}:
            if key[0] == host and numbering.is_earlier_process(key[1], unit):
                self._end_unit(key)

    def expire(self, now: float) -> None:
        """Close the connections of transactions whose entry node is silent."""
        for key, pinned in list(self._pinned.items()):
            if (
                now - pinned.used_at > remote_pools.PINNED_SECONDS
                and key not in self._running
            ):
                self._discard_pinned(key)

    def _forget_step(self, key, running: forwarded_steps.RunningStep) -> None:
        if self._running.get(key) is running:
            del self._running[key]

    async def _serve(self, running: forwarded_steps.RunningStep, key) -> None:
        message = running.message
        try:
            async with asyncio.timeout(None) as running.time_limit:
                answer = await self._run(running, key)
        except connection_pools.RefusalError as refusal:
            if refusal.is_late() and running.has_waited():
                answer = forwarded_steps.make_failure(
                    message.unit,
                    message.step,
                    forwarded_steps.PAUSED_REASON,
                    sent=False,
                )
            else:
                answer = self._make_answer(
                    message, 0.0, error=refusal.kind.value, reason=refusal.reason
                )
        except endpoint_connections.EndpointConnectionError as error:
            answer = forwarded_steps.make_failure(
                message.unit, message.step, error.reason, sent=error.sent
            )
        except Exception as error:
            failure, sent = remote_pools.STOPPING_REASON, running.sent
            if not running.is_interrupted():
                background.log_failure(self._run, error)
                failure, sent = FAILED_REASON, True
            answer = forwarded_steps.make_failure(
                message.unit, message.step, failure, sent=sent
            )
        finally:
            # An interruption comes too late from here on.
            running.time_limit = None
        if answer.failure or answer.reason:
            forwarded_steps.log_failure(answer, message.endpoint, key[0])
        self.send(key[0], running.address, answer)

    async def _run(
        self, running: forwarded_steps.RunningStep, key
    ) -> forward_messages.Forwarded:
        """Send the message to the endpoint and return the answer."""
        gateway, message = self.gateway, running.message
        started_at = clocks.read_clock()
        deadline = self.gateway.cap_deadline(running.deadline)
        state = session_state.SessionState(values=dict(message.values or ()))
        pinned = self._pinned.pop(key, None)
        if pinned is not None:
            pool, connection = pinned.pool, pinned.connection
        else:
            endpoint = gateway.board.endpoints.get(message.endpoint)
            if endpoint is None or message.step != 1:
                raise endpoint_connections.EndpointConnectionError(
                    "unit is not known", sent=False
                )
            pool, connection = gateway.get_local_pool(endpoint), None
        try:
            checkout = await self._acquire(message, pool, connection, state, deadline)
        except BaseException as error:
            if connection is not None:
                pool.discard_connection(connection)
            if isinstance(error, connection_pools.PrimaryChangedError):
                raise endpoint_connections.EndpointConnectionError(
                    remote_pools.NOT_PRIMARY_REASON, sent=False
                ) from error
            if isinstance(error, endpoint_connections.EndpointConnectionError):
                raise endpoint_connections.EndpointConnectionError(
                    error.reason, sent=False
                ) from error
            raise
        connection = checkout.connection
        queued = clocks.read_clock() - started_at
        if message.values is None:
            state.values.update(connection.state.values)
        reply = valid_reply = None
        try:
            if not self.gateway.may_start_work():
                raise endpoint_connections.EndpointConnectionError(
                    remote_pools.STOPPING_REASON, sent=False
                )
            self._check_primary(message, sent=False)
            forwarded_steps.check_deadline(deadline)
            running.sent = True
            reply = await self._send_to_endpoint(message, connection, state, deadline)
            self._check_primary(message, sent=True)
            valid_reply = reply
        finally:
            pool.release_slot(checkout)
            in_transaction = pinned is not None
            if reply is not None:
                in_transaction = reply.state != b"I"
            self._finish_step(
                key, running, pool, connection, valid_reply, in_transaction
            )
        return self._make_answer(
            message,
            queued,
            rows=reply.rows,
            signature=reply.signature,
            error=reply.error.value if reply.error else "",
            detail=reply.detail,
            state=reply.state,
            position=tuple(reply.position) if reply.position is not None else None,
        )

    async def _acquire(
        self, message: forward_messages.Forward, pool, connection, state, deadline
    ) -> connection_pools.Checkout:
        """Wait for a slot and a connection, no longer than the entry node waits.

        The queue removes work a little after its deadline; the entry node would not
        learn that it was not sent.
        """
        customer = forwarded_steps.find_customer(message)
        if connection is None:
            work = self.gateway.acquire_from(
                pool,
                message.rank,
                deadline,
                state,
                version=message.version,
                customer=customer,
            )
        else:
            work = pool.acquire(
                message.rank, deadline, state, connection, customer=customer
            )
        try:
            async with asyncio.timeout(max(0.0, deadline - clocks.read_clock())):
                return await work
        except TimeoutError as error:
            raise connection_pools.RefusalError(
                _KIND.REFUSED, connection_pools.LATE_REASON
            ) from error

    def _make_answer(
        self, message: forward_messages.Forward, queued: float, **fields
    ) -> forward_messages.Forwarded:
        """Return an answer, with this holder's load if the fleet balances by it."""
        fields |= {"unit": message.unit, "step": message.step}
        if self.gateway.board.prices is None:
            return forward_messages.Forwarded(**fields)
        wait = self.gateway.estimate_wait(message.endpoint)
        return forward_messages.LoadedForwarded(
            wait=round(1000 * wait), queued=round(1000 * queued), **fields
        )

    async def _send_to_endpoint(
        self, message: forward_messages.Forward, connection, state, deadline
    ):
        """Send the message; a release of the primary waits for its answer."""
        shape = statements.Shape(*message.shape) if message.shape is not None else None
        if message.version:
            self.gateway.start_write(message.database, message.version)
        try:
            return await connection.run(
                state, shape, lambda name: message.head + name + message.tail, deadline
            )
        finally:
            if message.version:
                self.gateway.end_write(message.database, message.version)

    def _finish_step(
        self, key, running, pool, connection, reply, in_transaction: bool
    ) -> None:
        """Pin, release or close the connection after a message of a unit."""
        if reply is None:
            if in_transaction or connection.closed:
                pool.discard_connection(connection)
            else:
                pool.release_connection(connection)
        elif reply.error is _KIND.UNPREPARED:
            pool.discard_connection(connection)
        elif reply.state == b"I":
            pool.release_connection(connection)
        else:
            self._pinned[key] = forwarded_steps.PinnedUnit(
                pool=pool,
                connection=connection,
                step=running.message.step,
                address=running.address,
                used_at=clocks.read_clock(),
            )

    def _check_primary(self, message: forward_messages.Forward, sent: bool) -> None:
        """Raise EndpointConnectionError without a grant that the work needs.

        The entry node need not have one, so this is checked before the message is
        sent and before its answer is passed on.
        """
        if not message.version:
            return
        grant = self.gateway.board.primary_grants.get(message.database)
        if (
            grant is None
            or grant.version != message.version
            or grant.endpoint != message.endpoint
            or not grant.is_valid(clocks.read_clock(), direct=True)
        ):
            raise endpoint_connections.EndpointConnectionError(
                remote_pools.NOT_PRIMARY_REASON, sent=sent
            )
