"""A node's role as a member: it pings the coordinator and uses granted primaries."""

import asyncio
import math
import zlib

import attrs

from hyssopshelf import clocks, logs, numbering
from hyssopshelf.authority import allocation, assignments, exchange, timing
from hyssopshelf.gateway import blackboard, statements

MAXIMUM_OBSERVATION_AGE_SECONDS = 1.0
"""Age above which an observation of a primary's log is not reported."""

LONGEST_SILENCE_SECONDS = 1e6
"""Silence reported by a node that has never heard a coordinator."""

RELEASE_CHECK_SECONDS = 0.01
"""Time between two checks for writes that are still open."""


@attrs.define(kw_only=True)
class DocumentCache:
    """Newest documents that a node knows, encoded as in the store.

    Attributes
    ----------
    configuration : bytes or None
        The operator's configuration, with the operator's version; -1 without one.
    registry : bytes or None
        The registry's entries; their version is a digest of the content.
    registry_read_at : float
        Latest time at which the store certainly had this registry.
    members : bytes or None
        The compressed list of members; its version is a checksum.
    """

    configuration: bytes | None = None
    configuration_version: int = -1
    registry: bytes | None = None
    registry_version: int = 0
    registry_read_at: float = float("-inf")
    members: bytes | None = None
    members_version: int = 0


class Member:
    """The role of a node that pings the coordinator and holds its grants.

    Every node has this role, the one that coordinates as well. `Participant` joins
    it to the coordinator that the same process may run.

    Parameters
    ----------
    identity : MemberRecord
        This node.
    gateway : Gateway
        Its board receives the primary grants.
    document_cache : DocumentCache
        Newest documents; shared with the coordinator.
    apply_document : callable
        Takes a name, ``configuration`` or ``registry``, and the encoded document,
        and puts the document in force.
    send : callable
        Takes host, address and message.
    reset : callable
        Takes the address of a peer and reopens the connection to it.
    """

    def __init__(
        self, *, identity, gateway, document_cache, apply_document, send, reset
    ) -> None:
        self.identity = identity
        self.gateway = gateway
        self.document_cache = document_cache
        self.apply_document = apply_document
        self.send = send
        self.reset = reset
        self.coordinator_record: assignments.CoordinatorRecord | None = None
        self.epoch = 0
        self.assignments = assignments.Assignments()
        self.members: dict[str, assignments.MemberRecord] = {}
        self.successors: tuple[str, ...] = ()
        self.successors_version = 0
        self.answered_at = float("-inf")
        self.followed_at = clocks.read_clock()
        self.promised_until = float("-inf")
        # The host's former process may have promised something just before its end.
        self.former_promised_until = clocks.read_clock() + timing.PROMISE_SECONDS
        self.store_age = float("inf")
        self.store_age_at = float("-inf")
        self.resigning = False
        self._missing_since: float | None = None
        self.holders_version = 0
        self.capacity = 1.0
        self.released: dict[str, int] = {}
        self._sequences = numbering.start_count()
        self._sent_at: dict[int, float] = {}
        self._stamp = 0.0
        self._stamped_at = 0.0

    def follow(self, record: assignments.CoordinatorRecord) -> None:
        """Follow a coordinator unless its epoch is older than the known one."""
        if record.epoch < self.epoch:
            return
        known = self.coordinator_record
        # Messages do not carry all that the record of a coordinator contains.
        if known is None or (known.host, known.epoch) != (record.host, record.epoch):
            logs.write(
                logs.LogEvent.COORDINATOR_FOLLOWED,
                {
                    "coordinator": record.host,
                    "epoch": record.epoch,
                    "incarnation": record.incarnation,
                },
            )
            self.former_promised_until = self.find_last_promise()
            self._stamp = 0.0
            self.resigning = False
            self.store_age_at = float("-inf")
            self.followed_at = clocks.read_clock()
        self.epoch = record.epoch
        self.coordinator_record = record

    def find_last_promise(self) -> float:
        """Return the time up to which promises to any coordinator hold."""
        return max(self.former_promised_until, self.promised_until)

    def ping(self) -> None:
        """Send a ping to the coordinator, with a promise if it answered recently.

        Does nothing while no other node is known to coordinate.
        """
        record = self.coordinator_record
        if record is None or record.host == self.identity.host:
            return
        now = clocks.read_clock()
        promises = (
            bool(self._stamp)
            and now - self._stamped_at < timing.PROMISE_CONTACT_SECONDS
        )
        if promises:
            self.promised_until = now + timing.PROMISE_SECONDS
        heard_at = max(self._stamped_at, self.followed_at)
        if now - heard_at > timing.RECONNECT_SECONDS:
            self.reset(record.address)
        sequence = next(self._sequences)
        self._sent_at = {
            number: at
            for number, at in self._sent_at.items()
            if now - at < timing.GRANT_SECONDS
        }
        self._sent_at[sequence] = now
        document_cache = self.document_cache
        message = exchange.Ping(
            sequence=sequence,
            incarnation=self.identity.incarnation,
            place=self.identity.place,
            epoch=self.epoch,
            stamp=self._stamp,
            held=now - self._stamped_at if self._stamp else 0.0,
            promises=promises,
            assignments_version=self.assignments.version,
            configuration_version=document_cache.configuration_version,
            registry_version=document_cache.registry_version,
            members_version=document_cache.members_version,
            holders_version=self.holders_version,
            shares_version=allocation.hash_shares(self.gateway.shares),
            successors_version=self.successors_version,
            capacity=self.capacity,
            wants_configuration=self.misses_configuration(
                now, timing.CONFIGURATION_WAIT_SECONDS * 1.5
            ),
            draining=self.gateway.board.draining,
            observations=collect_observations(self.gateway.board, now),
            reach=collect_failure_reports(self.gateway.board, now),
            demand={
                endpoint: count
                for endpoint, count in self.gateway.measure_demand().items()
                if count
            },
            released=self.released,
            former_promise=max(0.0, self.former_promised_until - now),
        )
        self.send(record.host, record.address, message)

    def receive_pong(self, pong: exchange.Pong, host: str) -> None:
        """Apply the coordinator's answer to a ping.

        Grants count from the sending of the ping. An answer of another epoch grants
        nothing.
        """
        sent_at = self._sent_at.pop(pong.sequence, None)
        now = clocks.read_clock()
        record = self.coordinator_record
        if sent_at is None or record is None or record.host != host:
            return
        if pong.epoch > self.epoch:
            self.follow(attrs.evolve(record, epoch=pong.epoch, lease=0))
            self.ping()
            return
        if pong.epoch != self.epoch:
            return
        self._stamp = pong.stamp
        self._stamped_at = now
        self.resigning = pong.resigning
        if pong.successors is not None:
            self.successors = pong.successors
            self.successors_version = pong.successors_version
        self.store_age, self.store_age_at = pong.store_age, now
        self._apply_documents(pong, now, sent_at)
        if not pong.authoritative:
            return
        silence = now - self.answered_at
        if silence > timing.SILENCE_SECONDS:
            logs.write(
                logs.LogEvent.COORDINATOR_REGAINED,
                {
                    "coordinator": host,
                    "epoch": self.epoch,
                    "silence": round(min(silence, LONGEST_SILENCE_SECONDS), 2),
                },
            )
        self.answered_at = now
        if pong.shares is not None:
            self.gateway.apply_shares(pong.shares)
        if pong.holders is not None:
            holders = assignments.unpack(zlib.decompress(pong.holders))
            self.apply_holders(holders, pong.holders_version)
        self.apply_grants(sent_at + timing.GRANT_SECONDS, pong.released, pong.direct)
        merge_observations(self.gateway.board, pong.observations, sent_at)

    def misses_configuration(self, now: float, seconds: float) -> bool:
        """Return whether a newer configuration has been missing for a time."""
        return self._missing_since is not None and now - self._missing_since > seconds

    def make_document(self, epoch: int) -> exchange.Document | None:
        """Return this node's configuration as a message, None without one."""
        cache = self.document_cache
        if cache.configuration is None:
            return None
        return exchange.Document(
            epoch=epoch,
            version=cache.configuration_version,
            data=zlib.compress(cache.configuration, 1),
            relay=False,
        )

    def receive_document(self, document: exchange.Document) -> None:
        """Put a large configuration in force and relay it to members of this place."""
        if document.epoch < self.epoch:
            return
        document_cache = self.document_cache
        if document.version > document_cache.configuration_version:
            self.apply_document("configuration", zlib.decompress(document.data))
        if not document.relay:
            return
        message = attrs.evolve(document, relay=False)
        for record in self.members.values():
            if (
                record.place == self.identity.place
                and record.host != self.identity.host
            ):
                self.send(record.host, record.address, message)

    def apply_holders(self, holders: dict, version: int) -> None:
        """Put in force which hosts hold the connections of scarce endpoints."""
        self.holders_version = version
        forwarder = self.gateway.forwarder
        forwarder.holders = {
            endpoint: [tuple(holder) for holder in found]
            for endpoint, found in holders.items()
        }
        self.gateway.board.held_elsewhere = {
            endpoint for endpoint in holders if forwarder.is_forwarded(endpoint)
        }

    def _apply_documents(self, pong: exchange.Pong, now: float, sent_at: float) -> None:
        document_cache = self.document_cache
        if pong.assignments is not None:
            newer = assignments.decode_assignments(pong.assignments)
            if newer.version > self.assignments.version:
                self.assignments = newer
        if pong.members is not None:
            document_cache.members, document_cache.members_version = (
                pong.members,
                pong.members_version,
            )
            self.members = decode_members(pong.members)
        if pong.configuration is not None:
            self.apply_document("configuration", zlib.decompress(pong.configuration))
        if pong.configuration_version > document_cache.configuration_version:
            if self._missing_since is None:
                self._missing_since = now
        else:
            self._missing_since = None
        self._apply_registry(pong, sent_at - pong.registry_age, sent_at)

    def _apply_registry(
        self, pong: exchange.Pong, read_at: float, sent_at: float
    ) -> None:
        """Apply what an answer tells of the registry.

        Parameters
        ----------
        read_at : float
            Time at which the store certainly had the coordinator's registry.
        sent_at : float
            Sending time of the ping, from which times in the answer count.
        """
        document_cache = self.document_cache
        if pong.registry is not None and read_at > document_cache.registry_read_at:
            document_cache.registry_read_at = read_at
            self.apply_document("registry", zlib.decompress(pong.registry))
        deadlines = self.gateway.board.leave_deadlines
        if pong.registry_version == document_cache.registry_version:
            document_cache.registry_read_at = max(
                document_cache.registry_read_at, read_at
            )
            deadlines.confirm(read_at)
        deadlines.extend(
            {name: sent_at + seconds for name, seconds in pong.leaving.items()}
        )

    def apply_grants(
        self,
        valid_until: float,
        revoked: tuple[str, ...],
        direct: tuple[str, ...] | None = None,
    ) -> None:
        """Renew the grants of all primaries that may be used.

        Parameters
        ----------
        valid_until : float
            Time at which the renewed grants expire.
        revoked : tuple of str
            Databases whose primary must not be used.
        direct : tuple of str or None
            Databases whose primary may be used over own connections; None for all.
        """
        board = self.gateway.board
        now = clocks.read_clock()
        changed = False
        for database, entry in self.assignments.databases.items():
            before = board.primary_grants.get(database)
            usable = (
                not entry.promoting
                and database not in revoked
                and entry.version > self.released.get(database, 0)
            )
            if not usable:
                continue
            if before is not None and before.version > entry.version:
                continue
            direct_until = float("-inf")
            if direct is None or database in direct:
                direct_until = valid_until
            elif before is not None and before.version == entry.version:
                direct_until = before.direct_until
            board.primary_grants[database] = blackboard.PrimaryGrant(
                endpoint=entry.endpoint,
                term=entry.term,
                version=entry.version,
                valid_until=valid_until,
                direct_until=direct_until,
            )
            if before is None or before.version != entry.version:
                self._adopt_primary(database, entry)
                changed = True
            elif before.valid_until < now or before.direct_until < now < direct_until:
                changed = True
        if changed:
            self.gateway.notify()

    def _adopt_primary(self, database: str, entry) -> None:
        board = self.gateway.board
        board.get_positions(database).start_term(entry.term)
        board.releasing.discard(database)
        self.gateway.cancel_waiting(database)
        logs.write(
            logs.LogEvent.PRIMARY_FOLLOWED,
            {
                "database": database,
                "endpoint": entry.endpoint,
                "term": entry.term,
                "version": entry.version,
                "epoch": self.epoch,
            },
        )

    async def release(self, database: str, version: int, finish: float) -> None:
        """Stop using a primary up to an assignment version.

        Returns once no write is open there, or after ``finish`` seconds, when the
        grant is dropped; no write of the primary is acknowledged afterwards.
        """
        board = self.gateway.board
        self.released[database] = max(version, self.released.get(database, 0))
        grant = board.primary_grants.get(database)
        if grant is None or grant.version > version:
            return
        board.releasing.add(database)
        deadline = clocks.read_clock() + finish
        while self.gateway.has_open_writes(database, version):
            if clocks.read_clock() >= deadline:
                break
            await asyncio.sleep(RELEASE_CHECK_SECONDS)
        grant = board.primary_grants.get(database)
        if grant is not None and grant.version <= version:
            del board.primary_grants[database]
            self.gateway.cancel_waiting(database)
        board.releasing.discard(database)
        logs.write(
            logs.LogEvent.PRIMARY_RELEASED, {"database": database, "version": version}
        )


def decode_members(data: bytes) -> dict[str, assignments.MemberRecord]:
    """Decode the list of members, by host.

    Raises
    ------
    CodecError
        If the decompressed list is damaged or incomplete.
    """
    fields = assignments.unpack(zlib.decompress(data))
    records = [assignments.MemberRecord(**entry) for entry in fields["members"]]
    return {record.host: record for record in records}


def collect_observations(board, now: float) -> dict[str, tuple]:
    """Return this node's own recent observations of primaries' logs, by database.

    Each is a tuple of assignment version, term, number and age, as in a Ping.
    """
    found = {}
    for database, grant in board.primary_grants.items():
        own = board.get_positions(database).latest_local
        if own is None or now - own[0] > MAXIMUM_OBSERVATION_AGE_SECONDS:
            continue
        sent_at, position = own
        found[database] = (
            grant.version,
            position.term,
            position.number,
            round_age(now - sent_at),
        )
    return found


def round_age(seconds: float) -> int:
    """Return the age of an observation as messages carry it, rounded up."""
    return math.ceil(max(0.0, seconds) / exchange.AGE_UNIT_SECONDS)


def merge_observations(board, observations: dict, sent_at: float) -> None:
    """Add observations that other nodes made of primaries' logs.

    Their ages are subtracted from ``sent_at``, the sending time of the ping whose
    answer brought them (at the coordinator now), so that none seems newer than it is.
    """
    for database, (version, term, number, age) in observations.items():
        grant = board.primary_grants.get(database)
        if grant is None or grant.version != version:
            continue
        position = statements.LogPosition(term, number)
        observed_at = sent_at - age * exchange.AGE_UNIT_SECONDS
        board.get_positions(database).add(position, observed_at)


def collect_failure_reports(board, now: float) -> dict[str, exchange.FailureReport]:
    """Return reports of the endpoints that this node fails to reach, by id."""
    return {
        endpoint: exchange.FailureReport(
            failing_seconds=round(now - health.failing_since, 3),
            failures=health.failures,
        )
        for endpoint, health in board.health.items()
        if health.failing_since is not None
    }
