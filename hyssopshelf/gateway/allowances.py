"""Tokens of customers' limits: asks keepers for them and answers other hosts.

An operation uses a token of its host. Without one the host asks the customer's keeper
once for all operations that wait, and some in advance. A keeper that does not answer
is followed by the next one.
"""

import asyncio
import collections

import attrs

from hyssopshelf import background, clocks, exceptions, logs, numbering
from hyssopshelf.customers import keepers, limits
from hyssopshelf.gateway import forward_messages

KEEPER_TIMEOUT_SECONDS = 0.15
"""Time for which a keeper's answer is awaited; a round trip between regions takes
24 ms."""

HOLDERS_WAIT_SECONDS = 0.1
"""Time between two looks for keepers while none are known, in seconds."""

FIRST_START_SECONDS = 20.0
"""Time after the first start of the fleet within which no other host has kept a
limit, in seconds."""

LOG_INTERVAL_SECONDS = 1.0
"""Time between two lines about the same customer's limit."""

_KIND = exceptions.ErrorKind


@attrs.define(kw_only=True)
class CustomerState:
    """Tokens of one customer at this host and the operations that wait for some.

    Attributes
    ----------
    refused : int
        Operations beyond the limit since the last log line.
    """

    allowance: limits.HostAllowance = attrs.field(factory=limits.HostAllowance)
    waiters: collections.deque = attrs.field(factory=collections.deque)
    asking: bool = False
    refused: int = 0
    logged_at: float = float("-inf")


class Allowances:
    """Takes tokens for the operations of this host, and keeps limits for others.

    Parameters
    ----------
    gateway : Gateway
        Its forwarder knows the hosts that may keep limits.
    host : str
        Name of this host.
    send : callable
        Takes host, address and message.
    tolerance : Tolerance
        Accuracy with which limits are kept.
    find_coordinator : callable
        Returns (host, address) of the coordinator or None. It keeps all limits in a
        fleet so small that all hosts hold connections.
    measure_silence : callable
        Returns the seconds since this host last heard a coordinator.
    first_start : bool
        Whether the whole fleet starts for the first time, so that no other host has
        kept a limit before.
    """

    def __init__(
        self,
        *,
        gateway,
        host: str,
        send,
        tolerance,
        find_coordinator,
        measure_silence,
        first_start: bool = False,
    ):
        self.gateway = gateway
        self.host = host
        self.send = send
        self.tolerance = tolerance
        self.find_coordinator = find_coordinator
        self.measure_silence = measure_silence
        first_until = float("-inf")
        if first_start:
            first_until = clocks.read_clock() + FIRST_START_SECONDS
        self.keeper = limits.Keeper(tolerance=tolerance, first_until=first_until)
        self._states: dict[tuple[str, int], CustomerState] = {}
        self._asked: dict[int, asyncio.Future] = {}
        self._sequence = numbering.start_count()
        self._ranked: tuple = ()
        self._tasks = background.TaskSet()

    async def take(
        self, customer, order: int, deadline: float
    ) -> exceptions.ErrorKind | None:
        """Take the token for one operation.

        Parameters
        ----------
        customer : Customer
            The customer, with the limit in force.
        order : int
            Number of ranks that are more urgent than the operation's.
        deadline : float
            Clock time until which the token may be awaited, in seconds.

        Returns
        -------
        ErrorKind or None
            None if there was a token; else why the operation must not run.
        """
        if customer.rate == float("inf"):
            return None
        key = (customer.name, order)
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = CustomerState()
        now = clocks.read_clock()
        if not state.waiters and state.allowance.use(now):
            return None
        if state.allowance.is_exhausted(now):
            self._record_refusal(customer, state, now)
            return _KIND.LIMIT_REACHED
        waiter = asyncio.get_running_loop().create_future()
        state.waiters.append(waiter)
        if not state.asking:
            state.asking = True
            self._tasks.start(self._ask(key, state, deadline))
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                kind = await waiter
        except TimeoutError:
            kind = _KIND.UNAVAILABLE
        finally:
            if waiter.cancelled() and waiter in state.waiters:
                # A token for it would be lost.
                state.waiters.remove(waiter)
        if kind is None and not self.gateway.may_start_work():
            return _KIND.UNAVAILABLE
        if kind is _KIND.LIMIT_REACHED:
            self._record_refusal(customer, state, clocks.read_clock())
        return kind

    def receive_ask(
        self, message: forward_messages.AskTokens, host: str, address: str
    ) -> None:
        """Grant tokens to another host."""
        granted, wait = self._grant(message.customer, message.wanted, message.order)
        answer = forward_messages.GrantTokens(
            sequence=message.sequence, granted=granted, wait=wait
        )
        self.send(host, address, answer)

    def receive_grant(self, message: forward_messages.GrantTokens) -> None:
        """Pass a keeper's answer to the question that waits for it."""
        waiter = self._asked.pop(message.sequence, None)
        if waiter is not None and not waiter.done():
            waiter.set_result((message.granted, message.wait))

    def forget_customers(self, names) -> None:
        """Drop the state of all customers but the named ones."""
        self.keeper.retain(names.__contains__)
        for key, state in list(self._states.items()):
            if key[0] not in names and not state.waiters:
                del self._states[key]

    def count_waiting(self) -> int:
        """Return the number of operations that wait for a token."""
        return sum(len(state.waiters) for state in self._states.values())

    def _grant(self, name: str, wanted: int, order: int) -> tuple[int, float]:
        configuration = self.gateway.board.configuration
        directory = configuration.customers if configuration is not None else None
        customer = directory.by_name.get(name) if directory is not None else None
        if customer is None:
            return 0, LOG_INTERVAL_SECONDS
        return self.keeper.grant(
            customer,
            wanted,
            clocks.read_clock(),
            order,
            substitutes=not self._is_first_keeper(name),
            cut_off=self.measure_silence() > limits.CUT_OFF_SECONDS,
        )

    def _is_first_keeper(self, name: str) -> bool:
        """Return whether no other host comes before this one as a customer's keeper."""
        ranked = self._find_keepers(name)
        return not ranked or ranked[0][0] == self.host

    async def _ask(
        self, key: tuple[str, int], state: CustomerState, deadline: float
    ) -> None:
        """Ask for tokens until no operation waits, or the keeper has none left."""
        try:
            while state.waiters:
                now = clocks.read_clock()
                validity = self.tolerance.validity_seconds
                wanted = state.allowance.compute_wanted(
                    len(state.waiters), validity, now
                )
                answer = await self._ask_keepers(*key, wanted, deadline)
                if answer is None:
                    self._answer_all(state, _KIND.UNAVAILABLE)
                    return
                granted, wait = answer
                answered_at = clocks.read_clock()
                # The keeper granted after the question was sent.
                state.allowance.add(granted, wait, now + validity, answered_at)
                while state.waiters and state.allowance.use(answered_at):
                    self._answer(state.waiters.popleft(), None)
                if wait > 0.0:
                    self._answer_all(state, _KIND.LIMIT_REACHED)
        finally:
            state.asking = False
            self._answer_all(state, _KIND.UNAVAILABLE)

    async def _ask_keepers(
        self, name: str, order: int, wanted: int, deadline: float
    ) -> tuple[int, float] | None:
        """Return the answer of the first keeper that gives one."""
        while not (ranked := self._rank_keepers(name)):
            if clocks.read_clock() >= deadline:
                return None
            await self.gateway.wait_for_change(
                min(deadline, clocks.read_clock() + HOLDERS_WAIT_SECONDS)
            )
        for host, address in ranked:
            if host == self.host:
                return self._grant(name, wanted, order)
            sequence = next(self._sequence)
            waiter = asyncio.get_running_loop().create_future()
            self._asked[sequence] = waiter
            message = forward_messages.AskTokens(
                sequence=sequence, customer=name, wanted=wanted, order=order
            )
            self.send(host, address, message)
            try:
                async with asyncio.timeout(KEEPER_TIMEOUT_SECONDS):
                    return await waiter
            except TimeoutError:
                logs.write_request(
                    logs.LogEvent.KEEPER_AVOIDED, {"keeper": host, "customer": name}
                )
                self.gateway.forwarder.avoid(host, address)
            finally:
                self._asked.pop(sequence, None)
        return None

    def _rank_keepers(self, name: str) -> list[tuple[str, str]]:
        """Return the keepers of a customer, those that answer first."""
        forwarder = self.gateway.forwarder
        ranked = self._find_keepers(name)
        return sorted(ranked, key=lambda holder: forwarder.is_avoided(holder[0]))

    def _find_keepers(self, name: str) -> list[tuple[str, str]]:
        """Return the keepers of a customer in their order.

        When the holders have changed, accounts of customers that have another first
        keeper now are dropped.
        """
        forwarder = self.gateway.forwarder
        changed = not self._ranked or self._ranked[0] is not forwarder.holders
        if changed:
            found = {
                host: (host, address) for host, address in forwarder.list_holders()
            }
            self._ranked = (forwarder.holders, found, {})
            self.keeper.retain(self._is_first_keeper)
        _, found, kept = self._ranked
        if not found:
            record = self.find_coordinator()
            return [record] if record is not None else []
        if name not in kept:
            kept[name] = [found[h] for h in keepers.rank_keepers(name, found)]
        return kept[name]

    def _record_refusal(self, customer, state: CustomerState, now: float) -> None:
        """Count an operation beyond the limit; log it once in an interval."""
        self.gateway.metrics.limited[customer.name] += 1
        state.refused += 1
        if now - state.logged_at < LOG_INTERVAL_SECONDS:
            return
        logs.write(
            logs.LogEvent.LIMIT_REACHED,
            {
                "customer": customer.name,
                "rate": customer.rate,
                "burst": customer.burst,
                "refused": state.refused,
            },
        )
        state.logged_at, state.refused = now, 0

    def _answer_all(self, state: CustomerState, kind) -> None:
        while state.waiters:
            self._answer(state.waiters.popleft(), kind)

    def _answer(self, waiter: asyncio.Future, kind) -> None:
        if not waiter.done():
            waiter.set_result(kind)
