"""Simulated platform: a key-value store with faults and a delayed host list."""

import random
from collections.abc import Callable

import attrs
import result

from benchmarks.faults import clocks, histories, network
from hyssopshelf import kvstore
from hyssopshelf.configuration import declarations, resources

NAME = "store"
"""Name of the store as a party of the network."""

HOST_LIST_NAME = "hostlist"
"""Name of the host list as a party of the network."""

CALL_SECONDS = 0.002
"""Service time of a call without a fault."""

TIMEOUT_SECONDS = 2.0
"""Timeout after which the outcome of an unanswered call is unknown."""


@attrs.define(kw_only=True)
class FakeStore:
    """A key-value store with revisions, leases and watches.

    Attributes
    ----------
    down : bool
        Calls are neither executed nor answered.
    slow_seconds : float
        Time added to each call.
    loss_rate : float
        Fraction of the answers that are lost after the call took effect.
    """

    loop: clocks.EventLoop
    network: network.Network
    random: random.Random
    history: histories.History
    down: bool = False
    slow_seconds: float = 0.0
    loss_rate: float = 0.0
    calls: int = 0
    revision: int = 0
    entries: dict[str, kvstore.Entry] = attrs.field(factory=dict)
    _leases: dict[int, float] = attrs.field(factory=dict)
    _lease_by_key: dict[str, int] = attrs.field(factory=dict)
    _watches: list = attrs.field(factory=list)

    def call(self, host: str, operation, answer: Callable) -> None:
        """Execute a call of a host; ``answer`` receives a ``result.Result``."""
        done = False

        def finish(value) -> None:
            nonlocal done
            if not done:
                done = True
                answer(value)

        def reply(value) -> None:
            if self.down or self.random.random() < self.loss_rate:
                return
            if self.network.is_cut(NAME, host):
                return
            delay = self.network.draw_delay(NAME, host)
            self.loop.call_later(delay, finish, result.Ok(value))

        def arrive() -> None:
            if self.down or self.network.is_cut(host, NAME):
                return
            self.calls += 1
            self._serve(operation, reply)

        wait = getattr(operation, "wait_seconds", 0.0) + TIMEOUT_SECONDS
        delay = self.network.draw_delay(host, NAME)
        self.loop.call_later(delay + CALL_SECONDS + self.slow_seconds, arrive)
        self.loop.call_later(wait, finish, result.Err("no answer in time"))

    def write(self, key: str, value: bytes, lease: int = 0) -> kvstore.Entry:
        """Write a key and answer the watches that wait for it."""
        self.revision += 1
        entry = kvstore.Entry(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        self._lease_by_key[key] = lease
        self._record(key, value)
        waiting, self._watches = self._watches, []
        for prefix, after, reply in waiting:
            if key.startswith(prefix) and entry.revision > after:
                reply(kvstore.Changes(entries=(entry,), revision=self.revision))
            else:
                self._watches.append((prefix, after, reply))
        return entry

    def _record(self, key: str, value: bytes) -> None:
        if not key.startswith("configuration/"):
            return
        document = declarations.decode_document(value)
        leaving = set()
        for resource in document.resources:
            if resource.kind is resources.ResourceKind.POOL:
                leaving.update(
                    f"{document.pool}/{database.name}/{endpoint.name}"
                    for database in resource.spec.databases
                    for endpoint in database.endpoints
                    if endpoint.leaving
                )
        self.history.accepted.append(
            histories.ConfigurationAccepted(
                pool=document.pool,
                version=document.version,
                at=self.loop.now,
                leaving=frozenset(leaving),
                change_ids=document.change_ids,
            )
        )

    def _serve(self, operation, reply: Callable) -> None:
        self._expire()
        if isinstance(operation, kvstore.Get):
            reply(self.entries.get(operation.key))
        elif isinstance(operation, kvstore.ListPrefix):
            reply(self._list(operation.prefix, 0))
        elif isinstance(operation, kvstore.CompareAndSwap):
            reply(self._swap(operation))
        elif isinstance(operation, kvstore.GrantLease):
            lease = self.random.getrandbits(32) + 1
            self._leases[lease] = self.loop.now + operation.time_to_live_seconds
            reply(lease)
        elif isinstance(operation, kvstore.RevokeLease):
            self._leases.pop(operation.lease, None)
            self._expire()
            reply(None)
        else:
            self._watch(operation, reply)

    def _swap(self, operation: kvstore.CompareAndSwap) -> kvstore.Swapped:
        current = self.entries.get(operation.key)
        held = current.revision if current else 0
        if held != operation.revision:
            return kvstore.Swapped(succeeded=False, current=current)
        entry = self.write(operation.key, operation.value, operation.lease)
        return kvstore.Swapped(succeeded=True, current=entry)

    def _watch(self, operation: kvstore.Watch, reply: Callable) -> None:
        changed = self._list(operation.prefix, operation.after_revision)
        if changed:
            reply(kvstore.Changes(entries=changed, revision=self.revision))
            return
        watch = (operation.prefix, operation.after_revision, reply)
        self._watches.append(watch)

        def end() -> None:
            if watch in self._watches:
                self._watches.remove(watch)
                reply(kvstore.Changes(entries=(), revision=self.revision))

        self.loop.call_later(operation.wait_seconds, end)

    def _list(self, prefix: str, after: int) -> tuple[kvstore.Entry, ...]:
        return tuple(
            entry
            for entry in self.entries.values()
            if entry.key.startswith(prefix) and entry.revision > after
        )

    def _expire(self) -> None:
        for lease in [k for k, end in self._leases.items() if end <= self.loop.now]:
            del self._leases[lease]
        for key, lease in list(self._lease_by_key.items()):
            if lease and lease not in self._leases:
                del self._lease_by_key[key]
                self.entries.pop(key, None)


@attrs.define(kw_only=True)
class FakeHostList:
    """The platform's host list, which is served with a delay.

    Attributes
    ----------
    lag_seconds : float
        Age of the list that readers receive.
    """

    loop: clocks.EventLoop
    network: network.Network
    lag_seconds: float = 3.0
    _versions: list[tuple[float, tuple]] = attrs.field(factory=list)

    def publish(self, hosts: tuple[kvstore.HostEntry, ...]) -> None:
        """Replace the list; readers see it after ``lag_seconds``."""
        self._versions.append((self.loop.now, hosts))

    def read(self, host: str, answer: Callable[[tuple], None]) -> None:
        """Send the list to a host; there is no answer over a cut link."""
        if not self.network.connects(host, HOST_LIST_NAME):
            return
        visible = self._versions[0][1]
        for at, hosts in self._versions:
            if at + self.lag_seconds <= self.loop.now:
                visible = hosts
        delay = self.network.draw_delay(host, HOST_LIST_NAME)
        self.loop.call_later(2 * delay, answer, visible)
