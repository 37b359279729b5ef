"""The coordinator: grants the use of primaries to members and sends them documents."""

import asyncio
import zlib

import attrs
import msgpack

from hyssopshelf import clocks, logs
from hyssopshelf.authority import (
    allocation,
    assignments,
    exchange,
    grants,
    member,
    timing,
)

SUCCESSOR_COUNT = 3
"""Number of members that are named to take over first."""

OBSERVATION_RETENTION_SECONDS = 3.0
"""Age above which an observation of a primary's log is no longer passed on."""


class Coordinator:
    """Answers the members' pings while this node coordinates.

    Grants need authority: the store or a majority of the members confirmed this node
    recently. Changes of assignments need a recent confirmation by the store.

    Parameters
    ----------
    identity : MemberRecord
        This node.
    local_member : Member
        This node's member; it holds assignments and documents.
    record : CoordinatorRecord
        The record in the store that makes this node the coordinator.
    revision : int
        Its revision; every change of assignments is conditional on it.
    store : object
        Client of the store.
    send : callable
        Takes host, address and message.
    interim : bool
        Whether a majority chose this node while the store was unreachable; it
        grants the last known assignments and changes none.
    """

    def __init__(
        self, *, identity, local_member, record, revision, store, send, interim=False
    ) -> None:
        self.identity = identity
        self.local_member = local_member
        self.record = record
        self.revision = revision
        self.store = store
        self.send = send
        self.grant_table = grants.GrantTable()
        self.interim = interim
        self.revoked: set[str] = set()
        self.active = True
        self.resigning = False
        self.store_contact_at = clocks.read_clock()
        self.shares: dict[str, dict[str, int]] = {}
        self.chosen_holders: dict[str, list[str]] = {}
        self.holders: dict[str, list[tuple[str, str]]] = {}
        self.holders_version = 0
        self.members_changed = False
        self._published_at = float("-inf")
        self._compressed: dict[str, tuple[int, bytes]] = {}
        self._observations: dict[str, tuple[int, float, int, int]] = {}
        self._registering: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._had_authority = True

    def has_authority(self, now: float) -> bool:
        """Return whether this node may grant the use of primaries."""
        return self.active and self.grant_table.has_authority(now)

    def may_change(self, now: float) -> bool:
        """Return whether the store confirmed this node recently enough for a change.

        Half of the authority's validity is left for the change itself.
        """
        return (
            self.active
            and not self.interim
            and now < self.grant_table.confirmed_at + timing.AUTHORITY_SECONDS / 2
        )

    def receive_ping(self, ping: exchange.Ping, host: str, address: str) -> None:
        """Record a member's ping and answer it, with a grant if this node may.

        A host that is not registered yet gets an answer without a grant, and is
        registered.
        """
        now = clocks.read_clock()
        known = self.grant_table.members.get(host)
        if known is None:
            self._register(ping, host, address)
            self._answer(ping, host, address, now, grant=False)
            return
        if known.incarnation != ping.incarnation:
            # The member's process was restarted.
            self.add_member(make_record(ping, host, address))
            known = self.grant_table.members[host]
        known.address = address
        if ping.stamp and ping.held > timing.RECONNECT_SECONDS:
            # The member has not received recent answers: the connection may be stuck.
            self.local_member.reset(address)
        follows = ping.epoch == self.record.epoch
        self.grant_table.record_ping(known, ping, follows, now)
        if ping.shares_version == allocation.hash_shares(self.shares.get(host)):
            known.sent_shares = self.shares.get(host)
        self._record_observations(ping, now)
        grant = follows and self.has_authority(now)
        if grant:
            self.grant_table.record_grant(known, now)
        self._answer(ping, host, address, now, grant=grant)

    def renew_own_grants(self) -> None:
        """Renew the grants of this node's own member while it has authority."""
        now = clocks.read_clock()
        authority = self.has_authority(now)
        if authority != self._had_authority:
            self._had_authority = authority
            event = (
                logs.LogEvent.AUTHORITY_REGAINED
                if authority
                else logs.LogEvent.AUTHORITY_LOST
            )
            logs.write(
                event,
                {
                    "epoch": self.record.epoch,
                    "confirmed_age": round(now - self.grant_table.confirmed_at, 3),
                    "members": len(self.grant_table.members),
                },
            )
        if not authority:
            return
        until = self.grant_table.find_authority_end()
        self.local_member.answered_at = now
        self.local_member.apply_grants(until, tuple(self.revoked))
        found = self._collect_observations(now)
        member.merge_observations(self.local_member.gateway.board, found, now)

    def announce(self) -> None:
        """Ask all members to ping now."""
        message = exchange.Announce(
            epoch=self.record.epoch, incarnation=self.identity.incarnation
        )
        for state in self.grant_table.members.values():
            self.send(state.host, state.address, message)

    def stop(self, reason: str) -> None:
        """Stop coordinating and cancel the coordinator's tasks."""
        if not self.active:
            return
        self.active = False
        for task in self._tasks:
            task.cancel()
        logs.write(
            logs.LogEvent.COORDINATION_ENDED,
            {"epoch": self.record.epoch, "reason": reason},
        )

    def find_successors(self, now: float) -> tuple[str, ...]:
        """Return the hosts that should take over first, in this order.

        Small hosts and those in this node's place come last.
        """
        alive = [
            state
            for state in self.grant_table.members.values()
            if now - state.heard_at < timing.SILENCE_SECONDS and not state.draining
        ]
        alive.sort(
            key=lambda state: (
                state.capacity <= allocation.SMALL_CAPACITY,
                state.place == self.identity.place,
                state.host,
            )
        )
        return tuple(state.host for state in alive[:SUCCESSOR_COUNT])

    def run_in_background(self, work) -> None:
        """Run a coroutine until this node stops coordinating."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _answer(self, ping, host: str, address: str, now: float, grant: bool) -> None:
        document_cache = self.local_member.document_cache
        newer = self.local_member.assignments
        pong = exchange.Pong(
            sequence=ping.sequence,
            epoch=self.record.epoch,
            authoritative=grant,
            resigning=self.resigning,
            stamp=now,
            store_age=max(0.0, now - self.store_contact_at),
            released=tuple(self.revoked),
            assignments=(
                assignments.encode(newer)
                if ping.assignments_version < newer.version
                else None
            ),
            configuration=self._pick_configuration(ping),
            configuration_version=document_cache.configuration_version,
            registry=(
                self._compress(
                    "registry", document_cache.registry_version, document_cache.registry
                )
                if ping.registry_version != document_cache.registry_version
                else None
            ),
            registry_version=document_cache.registry_version,
            members=(
                document_cache.members
                if ping.members_version != document_cache.members_version
                else None
            ),
            members_version=document_cache.members_version,
            successors=self.find_successors(now),
            observations=self._collect_observations(now),
            shares=self._pick_shares(host),
            holders=(
                self.holders if ping.holders_version != self.holders_version else None
            ),
            holders_version=self.holders_version,
        )
        self.send(host, address, pong)

    def _pick_configuration(self, ping: exchange.Ping) -> bytes | None:
        """Return the configuration for a member that has an older one.

        A large one is left out unless the member asks for it; on a narrow link it
        would delay the answers to other pings.
        """
        document_cache = self.local_member.document_cache
        if ping.configuration_version >= document_cache.configuration_version:
            return None
        data = self._compress(
            "configuration",
            document_cache.configuration_version,
            document_cache.configuration,
        )
        if data is None or ping.wants_configuration:
            return data
        return data if len(data) <= timing.SMALL_DOCUMENT_BYTES else None

    def publish_configuration(self) -> None:
        """Announce a new configuration; send a large one to a member of each place.

        That member, the largest host of its place, relays it there.
        """
        document_cache = self.local_member.document_cache
        data = self._compress(
            "configuration",
            document_cache.configuration_version,
            document_cache.configuration,
        )
        if data is not None and len(data) > timing.SMALL_DOCUMENT_BYTES:
            now = clocks.read_clock()
            relays: dict[str, grants.MemberState] = {}
            for state in self.grant_table.members.values():
                if now - state.heard_at > timing.SILENCE_SECONDS:
                    continue
                best = relays.get(state.place)
                if best is None or state.capacity > best.capacity:
                    relays[state.place] = state
            message = exchange.Document(
                epoch=self.record.epoch,
                version=document_cache.configuration_version,
                data=data,
                relay=True,
            )
            for state in relays.values():
                self.send(state.host, state.address, message)
        self.announce()

    def _compress(self, name: str, version: int, data: bytes | None) -> bytes | None:
        if data is None:
            return None
        kept = self._compressed.get(name)
        if kept is None or kept[0] != version:
            kept = (version, zlib.compress(data, 1))
            self._compressed[name] = kept
        return kept[1]

    def _record_observations(self, ping: exchange.Ping, now: float) -> None:
        if not ping.stamp:
            return
        # On this node's clock the ping was sent after ``stamp + held``.
        sent_after = min(now, ping.stamp + ping.held)
        for database, (version, term, number, age) in ping.observations.items():
            at = sent_after - age
            kept = self._observations.get(database)
            if kept is None or (version, at) > kept[:2]:
                self._observations[database] = (version, at, term, number)

    def _collect_observations(self, now: float) -> dict[str, tuple]:
        found = member.collect_observations(self.local_member.gateway.board, now)
        for database, (version, at, term, number) in self._observations.items():
            age = round(now - at, 4)
            if age > OBSERVATION_RETENTION_SECONDS:
                continue
            own = found.get(database)
            if own is None or (own[0], -own[3]) < (version, -age):
                found[database] = (version, term, number, age)
        return found

    def allocate_connections(self) -> None:
        """Allocate each endpoint's connections to the nodes and apply the own share.

        Members get theirs with the answers to their pings.
        """
        local_member = self.local_member
        gateway = local_member.gateway
        now = clocks.read_clock()
        candidates = [
            allocation.HolderCandidate(
                host=self.identity.host,
                address=self.identity.address,
                place=self.identity.place,
                region=gateway.board.region,
                capacity=local_member.capacity,
                demand=gateway.measure_demand(reset=False),
            )
        ]
        candidates += [
            allocation.HolderCandidate(
                host=state.host,
                address=state.address,
                place=state.place,
                region=gateway.board.regions.get(state.place, ""),
                capacity=state.capacity,
                demand=state.demand,
            )
            for state in self.grant_table.members.values()
            if now - state.heard_at < timing.SILENCE_SECONDS and not state.draining
        ]
        self.shares, chosen = allocation.allocate_all(
            gateway.list_limits(), candidates, self.chosen_holders
        )
        self.chosen_holders = chosen
        addresses = {candidate.host: candidate.address for candidate in candidates}
        holders = {
            endpoint: [(host, addresses[host]) for host in hosts]
            for endpoint, hosts in chosen.items()
        }
        if holders != self.holders:
            self.holders = holders
            self.holders_version = zlib.crc32(repr(sorted(holders.items())).encode())
            local_member.apply_holders(holders, self.holders_version)
            logs.write(
                logs.LogEvent.HOLDERS_CHOSEN,
                {"endpoints": len(holders), "nodes": len(candidates)},
            )
        gateway.apply_shares(self.shares[self.identity.host])

    def _pick_shares(self, host: str) -> dict[str, int] | None:
        """Return a member's shares of connections unless it was sent them already."""
        current = self.shares.get(host)
        state = self.grant_table.members.get(host)
        if current is None or state is None or state.sent_shares == current:
            return None
        return current

    def _register(self, ping: exchange.Ping, host: str, address: str) -> None:
        """Register a host that pings and is not a member yet."""
        if host in self._registering or self.interim:
            return
        self._registering.add(host)
        record = make_record(ping, host, address)
        self.run_in_background(self._write_member(record))

    async def _write_member(self, record: assignments.MemberRecord) -> None:
        try:
            written = await self.store.change(
                {assignments.COORDINATOR_KEY: self.revision},
                {assignments.MEMBER_PREFIX + record.host: assignments.encode(record)},
            )
        finally:
            self._registering.discard(record.host)
        if written.is_err():
            return
        self.add_member(record)
        self.announce()

    def add_member(self, record: assignments.MemberRecord) -> None:
        """Add a registered member; a new incarnation holds no grant.

        For a known incarnation only the address is updated.
        """
        before = self.grant_table.members.get(record.host)
        if before is not None and before.incarnation == record.incarnation:
            before.address = record.address
            return
        self.grant_table.members[record.host] = grants.MemberState(
            host=record.host,
            address=record.address,
            incarnation=record.incarnation,
            place=record.place,
            capacity=record.capacity or grants.DEFAULT_CAPACITY,
            heard_at=clocks.read_clock(),
        )
        logs.write(
            logs.LogEvent.MEMBER_ADDED,
            {"member": record.host, "incarnation": record.incarnation},
        )
        self.publish_members()

    async def remove_silent_members(self) -> None:
        """Remove the registrations of members that have stopped pinging.

        A member whose grants may still be valid stays registered.
        """
        now = clocks.read_clock()
        silent = [
            state
            for state in self.grant_table.members.values()
            if now - state.heard_at > timing.MEMBER_TIMEOUT_SECONDS
            and now > self.grant_table.find_grant_expiry(state)
        ]
        if not silent or not self.may_change(now):
            return
        keys = tuple(assignments.MEMBER_PREFIX + state.host for state in silent)
        removed = await self.store.change(
            {assignments.COORDINATOR_KEY: self.revision}, {}, keys
        )
        if removed.is_err():
            return
        for state in silent:
            if self.grant_table.members.get(state.host) is state:
                del self.grant_table.members[state.host]
            logs.write(
                logs.LogEvent.MEMBER_REMOVED,
                {"member": state.host, "silent": round(now - state.heard_at, 2)},
            )
        self.publish_members()

    def publish_members(self) -> None:
        """Update the list of members that answers to pings carry.

        Within ``MEMBER_LIST_SECONDS`` of the last update it only notes that the list
        has changed.
        """
        now = clocks.read_clock()
        if now < self._published_at + timing.MEMBER_LIST_SECONDS:
            self.members_changed = True
            return
        self._published_at = now
        self.members_changed = False
        records = [self.identity] + [
            assignments.MemberRecord(
                host=state.host,
                address=state.address,
                incarnation=state.incarnation,
                place=state.place,
                capacity=state.capacity,
            )
            for state in sorted(self.grant_table.members.values(), key=lambda s: s.host)
        ]
        self.local_member.members = {record.host: record for record in records}
        data = msgpack.packb({"members": [attrs.asdict(record) for record in records]})
        document_cache = self.local_member.document_cache
        document_cache.members, document_cache.members_version = (
            zlib.compress(data, 1),
            zlib.crc32(data),
        )


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
