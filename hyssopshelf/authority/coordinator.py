"""The coordinator: grants the use of primaries to members and sends them documents."""

import zlib

import msgpack

from hyssopshelf import background, clocks, logs
from hyssopshelf.authority import (
    allocation,
    assignments,
    exchange,
    grants,
    member,
    registration,
    renewal,
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

    Attributes
    ----------
    recorder : AssignmentRecorder or None
        Writes the assignments; None until they are loaded.
    recovering : bool
        Whether the assignments may be older than what was granted last; none is passed
        on until they have been recovered.
    recalled : dict of str to Recalled
        Answers to the question which assignments members know, by host.
    predecessor : str
        Host of the coordinator before, empty if there was none or it was this host.
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
        self._compressed: dict[str, tuple[int, bytes]] = {}
        self._observations: dict[str, tuple[int, float, int, int]] = {}
        self.successors: tuple[str, ...] = ()
        self.successors_version = 0
        self._direct: dict[str, tuple[str, ...] | None] = {}
        self._encoded_holders = encode_holders({})
        self.registry = registration.MemberRegistry(coordinator=self)
        self.recorder = None
        self.recovering = False
        self.recalled: dict[str, exchange.Recalled] = {}
        self.predecessor = ""
        self._requested_at = float("-inf")
        self._tasks = background.TaskSet(on_failure=self._stop_after_failure)
        self._had_authority = True
        self._admitting: set[str] = set()

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

        A host without a certain registration gets an answer without a grant, and is
        registered.
        """
        now = clocks.read_clock()
        known = self.grant_table.members.get(host)
        if known is None:
            self.registry.register(ping, host, address)
            self._answer(ping, host, address, now, grant=False)
            return
        if ping.incarnation in known.former_incarnations:
            return
        if known.incarnation != ping.incarnation:
            # The process was restarted; the connection to the former one pauses
            # between its attempts, the longer the host was away.
            self.local_member.reset(address)
            self.registry.add(registration.make_record(ping, host, address))
            known = self.grant_table.members[host]
        known.address = address
        if not known.registered:
            self.registry.register(ping, host, address)
        if ping.stamp and ping.held > timing.RECONNECT_SECONDS:
            # The member has not received recent answers: the connection may be stuck.
            self.local_member.reset(address)
        follows = ping.epoch == self.record.epoch
        self.grant_table.record_ping(known, ping, follows, now)
        if ping.shares_version == allocation.hash_shares(self.shares.get(host)):
            known.sent_shares = self.shares.get(host)
        self._record_observations(ping, now)
        self._request_configuration(ping, host, address, now)
        withheld = host in self.record.withheld
        if withheld and follows:
            self._admit(host)
        grant = (
            known.registered
            and follows
            and self.has_authority(now)
            and not self.recovering
            and not withheld
        )
        if grant:
            databases = self._direct.get(host, ())
            if databases is None:
                databases = self.local_member.assignments.databases
            self.grant_table.record_grant(known, databases, now)
        self._answer(ping, host, address, now, grant=grant)

    def _admit(self, host: str) -> None:
        """Start to grant something to a host that was lost and has returned."""
        if host not in self._admitting:
            self._admitting.add(host)
            self.run_in_background(renewal.admit(self, host))

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

    def publish_assignments(self) -> None:
        """Put changed assignments in force at this node and ask all members to ping."""
        self.allocate_connections()
        self.renew_own_grants()
        self.announce()

    def announce(self) -> None:
        """Ask all members to ping now."""
        for state in self.grant_table.members.values():
            self.announce_to(state.host, state.address)

    def announce_to(self, host: str, address: str) -> None:
        """Ask one member to ping now."""
        message = exchange.Announce(
            epoch=self.record.epoch, incarnation=self.identity.incarnation
        )
        self.send(host, address, message)

    def stop(self, reason: str) -> None:
        """Stop coordinating and cancel the coordinator's tasks."""
        if not self.active:
            return
        self.active = False
        self._tasks.cancel()
        logs.write(
            logs.LogEvent.COORDINATION_ENDED,
            {"epoch": self.record.epoch, "reason": reason},
        )

    def choose_successors(self, now: float) -> None:
        """Choose the hosts that should take over first, in this order.

        A partition of the network should not separate all of them from the others,
        so they are in different regions and places than this node and each other.
        Small hosts come last.
        """
        regions = self.local_member.gateway.board.regions
        used_places = {self.identity.place}
        used_regions = {regions.get(self.identity.place)}
        alive = [
            state
            for state in self.grant_table.members.values()
            if state.registered
            and now - state.heard_at < timing.SILENCE_SECONDS
            and not state.draining
        ]
        chosen: list[str] = []
        while alive and len(chosen) < SUCCESSOR_COUNT:
            best = min(
                alive,
                key=lambda state: (
                    state.capacity <= allocation.SMALL_CAPACITY,
                    regions.get(state.place) in used_regions,
                    state.place in used_places,
                    state.host not in self.successors,
                    state.host,
                ),
            )
            alive.remove(best)
            chosen.append(best.host)
            used_places.add(best.place)
            used_regions.add(regions.get(best.place))
        self.successors = tuple(chosen)
        self.successors_version = zlib.crc32(repr(chosen).encode())

    def run_in_background(self, work) -> None:
        """Run a coroutine until this node stops coordinating."""
        self._tasks.start(work)

    def _stop_after_failure(self, error: BaseException) -> None:
        # Without one of its tasks it would keep its role and not perform it.
        self.stop(f"a task failed: {error!r}")

    def _answer(self, ping, host: str, address: str, now: float, grant: bool) -> None:
        document_cache = self.local_member.document_cache
        newer = self.local_member.assignments
        knows_successors = ping.successors_version == self.successors_version
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
                if ping.assignments_version < newer.version and not self.recovering
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
            members=self.registry.pick_list(ping, host, now),
            members_version=document_cache.members_version,
            direct=self._direct.get(host, ()) if grant else (),
            successors=None if knows_successors else self.successors,
            successors_version=self.successors_version,
            observations=self._collect_observations(now) if grant else {},
            shares=self._pick_shares(host),
            holders=(
                self._encoded_holders
                if ping.holders_version != self.holders_version
                else None
            ),
            holders_version=self.holders_version,
            registry_age=max(0.0, now - document_cache.registry_read_at),
            leaving=self.local_member.gateway.board.leave_deadlines.list_remaining(now),
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

    def _request_configuration(
        self, ping: exchange.Ping, host: str, address: str, now: float
    ) -> None:
        """Ask a member for its configuration if the store's is an older one."""
        if (
            ping.configuration_version
            <= self.local_member.document_cache.configuration_version
            or now < self._requested_at + timing.CONFIGURATION_WAIT_SECONDS
        ):
            return
        self._requested_at = now
        self.send(host, address, exchange.WantDocument(epoch=self.record.epoch))

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
            at = sent_after - age * exchange.AGE_UNIT_SECONDS
            kept = self._observations.get(database)
            if kept is None or (version, at) > kept[:2]:
                self._observations[database] = (version, at, term, number)

    def _collect_observations(self, now: float) -> dict[str, tuple]:
        found = member.collect_observations(self.local_member.gateway.board, now)
        for database, (version, at, term, number) in self._observations.items():
            if now - at > OBSERVATION_RETENTION_SECONDS:
                continue
            age = member.round_age(now - at)
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
            gateway.list_limits(),
            candidates,
            self.chosen_holders,
            exclusive=gateway.has_customers(),
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
            self._encoded_holders = encode_holders(holders)
            local_member.apply_holders(holders, self.holders_version)
            logs.write(
                logs.LogEvent.HOLDERS_CHOSEN,
                {"endpoints": len(holders), "nodes": len(candidates)},
            )
        gateway.apply_shares(self.shares[self.identity.host])
        self._choose_direct([candidate.host for candidate in candidates])

    def _choose_direct(self, hosts: list[str]) -> None:
        """Choose the databases whose primary each host may use directly.

        These are the hosts that hold its connections, so only they have to release it
        before a change.
        """
        endpoints = self.local_member.gateway.board.endpoints
        found: dict[str, list[str]] = {host: [] for host in hosts}
        for database, entry in self.local_member.assignments.databases.items():
            users = self.chosen_holders.get(entry.endpoint)
            if users is None:
                users = hosts if entry.endpoint in endpoints else []
            for host in users:
                found[host].append(database)
        count = len(self.local_member.assignments.databases)
        direct = {
            host: None if len(databases) == count else tuple(databases)
            for host, databases in found.items()
        }
        # A node that drains finishes the transactions on its connections.
        for state in self.grant_table.members.values():
            if state.draining and state.host in self._direct:
                direct[state.host] = self._direct[state.host]
        self._direct = direct

    def _pick_shares(self, host: str) -> dict[str, int] | None:
        """Return a member's shares of connections unless it was sent them already."""
        current = self.shares.get(host)
        state = self.grant_table.members.get(host)
        if current is None or state is None or state.sent_shares == current:
            return None
        return current


def encode_holders(holders: dict) -> bytes:
    """Encode hosts and addresses of holders by endpoint, as in a Pong."""
    return zlib.compress(msgpack.packb(holders), 1)
