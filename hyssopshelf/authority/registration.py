"""Registration of members with the coordinator, and the list of members."""

import asyncio
import zlib

import attrs
import msgpack

from hyssopshelf import clocks, logs
from hyssopshelf.authority import assignments, exchange, grants, timing

REGISTRATION_BATCH = 30
"""Members that are registered by one transaction; the store accepts 32 entries."""

REMOVAL_BATCH = 15
"""Members whose registration is removed by one transaction, each under a condition."""

REGISTRATION_PAUSE_SECONDS = 0.05
"""Pause in which hosts that start at the same time are collected for one transaction,
in seconds."""

FIRST_LIST_SECONDS = 3.0
"""Time after its first ping at which a member is sent the list of members, in seconds.
When a whole fleet starts, what clients need goes first."""


class MemberRegistry:
    """Adds and removes members for one coordinator.

    Parameters
    ----------
    coordinator : Coordinator
        Its grant table holds the members.

    Attributes
    ----------
    changed : bool
        Whether the list of members has changed since it was published.
    """

    def __init__(self, *, coordinator) -> None:
        self.coordinator = coordinator
        self.changed = False
        self._published_at = float("-inf")
        self._unregistered: dict[str, assignments.MemberRecord] = {}

    def register(self, ping: exchange.Ping, host: str, address: str) -> None:
        """Register a host that pings and is not a member yet."""
        if self.coordinator.interim:
            return
        if not self._unregistered:
            self.coordinator.run_in_background(self._write_members())
        self._unregistered[host] = make_record(ping, host, address)

    def register_again(self) -> None:
        """Register all members in a store that may have lost their registrations."""
        if not self._unregistered:
            self.coordinator.run_in_background(self._write_members())
        identity = self.coordinator.identity
        self._unregistered[identity.host] = identity
        for state in self.coordinator.grant_table.members.values():
            self._unregistered[state.host] = assignments.MemberRecord(
                host=state.host,
                address=state.address,
                incarnation=state.incarnation,
                place=state.place,
                capacity=state.capacity,
            )

    async def _write_members(self) -> None:
        """Write the collected registrations, many in one transaction."""
        while self._unregistered:
            await asyncio.sleep(REGISTRATION_PAUSE_SECONDS)
            batch = list(self._unregistered.values())[:REGISTRATION_BATCH]
            written = await self.coordinator.store.change(
                {assignments.COORDINATOR_KEY: self.coordinator.revision},
                {
                    assignments.MEMBER_PREFIX + record.host: assignments.encode(record)
                    for record in batch
                },
            )
            for record in batch:
                # A host whose registration failed pings again.
                self._unregistered.pop(record.host, None)
                if written.is_ok() and record.host != self.coordinator.identity.host:
                    self.add(record)
                    self._mark_registered(record.host)
                    self.coordinator.announce_to(record.host, record.address)

    def _mark_registered(self, host: str) -> None:
        """Note that a write of a registration succeeded.

        It has another revision, so no earlier removal takes effect any more.
        """
        state = self.coordinator.grant_table.members[host]
        state.registered = True
        state.revision = state.removed_revision = 0

    def add(self, record: assignments.MemberRecord, *, registered: bool = True) -> None:
        """Add a member; a new incarnation holds no grant.

        For a known incarnation only the address is updated, an earlier one is ignored.

        Parameters
        ----------
        registered : bool
            Whether the store has the registration of a host that is not known yet.
        """
        before = self.coordinator.grant_table.members.get(record.host)
        if before is not None and record.incarnation in before.former_incarnations:
            return
        if before is not None and before.incarnation == record.incarnation:
            before.address = record.address
            return
        former_incarnations, revision, removed_revision = frozenset(), 0, 0
        if before is not None:
            former_incarnations = before.former_incarnations | {before.incarnation}
            registered = before.registered
            revision = before.revision
            removed_revision = before.removed_revision
        self.coordinator.grant_table.members[record.host] = grants.MemberState(
            host=record.host,
            address=record.address,
            incarnation=record.incarnation,
            place=record.place,
            capacity=record.capacity or grants.DEFAULT_CAPACITY,
            heard_at=clocks.read_clock(),
            list_due_at=clocks.read_clock() + FIRST_LIST_SECONDS,
            former_incarnations=former_incarnations,
            registered=registered,
            revision=revision,
            removed_revision=removed_revision,
        )
        logs.write(
            logs.LogEvent.MEMBER_ADDED,
            {"member": record.host, "incarnation": record.incarnation},
        )
        self.publish()

    def add_predecessor(self, current: assignments.CoordinatorRecord) -> None:
        """Add the earlier coordinator, whose own grants may still be valid."""
        self.add(
            assignments.MemberRecord(
                host=current.host,
                address=current.address,
                incarnation=current.incarnation,
            ),
            registered=False,
        )

    def add_unlisted(self, records) -> None:
        """Add members that an earlier coordinator may have granted something.

        The store may have lost their registrations, or an interim coordinator may have
        granted something to members that had been removed.
        """
        known = self.coordinator.grant_table.members.keys()
        own = self.coordinator.identity.host
        for record in records:
            if record.host not in known | {own}:
                self.add(record, registered=False)

    async def read(self) -> bool:
        """Read the registrations; return whether the store answered."""
        page = await self.coordinator.store.list(assignments.MEMBER_PREFIX)
        if page.is_err():
            return False
        for entry in page.ok_value.entries:
            record = assignments.decode_member(entry.value)
            if record.host == self.coordinator.identity.host:
                continue
            # A known member may have been restarted after it registered.
            if record.host not in self.coordinator.grant_table.members:
                self.add(record)
            state = self.coordinator.grant_table.members[record.host]
            state.revision = entry.revision
            if entry.revision != state.removed_revision:
                state.registered = True
        return True

    def _list_silent(self) -> list[grants.MemberState]:
        """Return the members that have stopped pinging and hold no valid grant."""
        now = clocks.read_clock()
        table = self.coordinator.grant_table
        return [
            state
            for state in table.members.values()
            if now - state.heard_at > timing.MEMBER_TIMEOUT_SECONDS
            and now > table.find_grant_expiry(state)
        ]

    async def remove_silent(self) -> None:
        """Remove the registrations of members that have stopped pinging.

        A member whose grants may still be valid stays registered.
        """
        silent = self._list_silent()
        if not silent or not self.coordinator.may_change(clocks.read_clock()):
            return
        if not all(state.revision for state in silent):
            for state in silent:
                state.revision = 0
            if not await self.read():
                return
        while silent := self._list_silent()[:REMOVAL_BATCH]:
            if not self.coordinator.may_change(clocks.read_clock()):
                break
            if not await self._remove(silent):
                break
        self.publish()

    async def _remove(self, silent: list[grants.MemberState]) -> bool:
        """Remove members; return whether the store has done it.

        From the start of the call a member is granted nothing until it has been
        registered again. Each registration is removed under the condition that it has
        not been written since, so a late removal has no effect after that.
        """
        keys = {}
        for state in silent:
            state.registered = False
            # One without a revision was not in the store when it was read; if it has
            # been written since, the next read adds it again.
            if state.revision:
                state.removed_revision = state.revision
                keys[assignments.MEMBER_PREFIX + state.host] = state.revision
        if keys:
            expected = {assignments.COORDINATOR_KEY: self.coordinator.revision, **keys}
            removed = await self.coordinator.store.change(expected, {}, tuple(keys))
            if removed.is_err():
                for state in silent:
                    # The next attempt reads which of them are left.
                    state.revision = 0
                return False
        now = clocks.read_clock()
        for state in silent:
            if state.registered:
                continue  # It was registered again after the removal.
            if self.coordinator.grant_table.members.get(state.host) is state:
                del self.coordinator.grant_table.members[state.host]
                # If the host returns, its first answer must not wait for an attempt of
                # the connection to the process that has ended.
                self.coordinator.local_member.reset(state.address)
            logs.write(
                logs.LogEvent.MEMBER_REMOVED,
                {"member": state.host, "silent": round(now - state.heard_at, 2)},
            )
        return True

    def publish(self) -> None:
        """Update the list of members that answers to pings carry.

        Within ``MEMBER_LIST_SECONDS`` of the last update it only notes that the list
        has changed. The list has no incarnations, so a restart does not change it.
        """
        now = clocks.read_clock()
        if now < self._published_at + timing.MEMBER_LIST_SECONDS:
            self.changed = True
            return
        self._published_at = now
        self.changed = False
        records = [attrs.evolve(self.coordinator.identity, incarnation=0)] + [
            assignments.MemberRecord(
                host=state.host,
                address=state.address,
                incarnation=0,
                place=state.place,
                capacity=state.capacity,
            )
            for state in sorted(
                self.coordinator.grant_table.members.values(), key=lambda s: s.host
            )
        ]
        self.coordinator.local_member.members = {
            record.host: record for record in records
        }
        data = msgpack.packb({"members": [attrs.asdict(record) for record in records]})
        document_cache = self.coordinator.local_member.document_cache
        document_cache.members, document_cache.members_version = (
            zlib.compress(data, 1),
            zlib.crc32(data),
        )

    def pick_list(self, ping: exchange.Ping, host: str, now: float) -> bytes | None:
        """Return the list of members for a member that needs it now.

        Successors need the newest list, others one of some age.
        """
        document_cache = self.coordinator.local_member.document_cache
        state = self.coordinator.grant_table.members.get(host)
        if state is None or ping.members_version == document_cache.members_version:
            return None
        pause = timing.MEMBER_LIST_SECONDS_PER_MEMBER * len(
            self.coordinator.grant_table.members
        )
        if host not in self.coordinator.successors and now < state.list_due_at:
            return None
        state.list_due_at = now + pause
        return document_cache.members


def make_record(
    ping: exchange.Ping, host: str, address: str
) -> assignments.MemberRecord:
    """Make the registration record of the member that sent a ping."""
    return assignments.MemberRecord(
        host=host,
        address=address,
        incarnation=ping.incarnation,
        place=ping.place,
        capacity=ping.capacity,
    )
