"""A node's part in the agreement: its member, its coordinator if elected, takeovers."""

import asyncio
import random

from hyssopshelf import background, clocks, logs
from hyssopshelf.authority import (
    assignments,
    change,
    coordinator,
    dispatch,
    election,
    exchange,
    member,
    recorder,
    recovery,
    renewal,
    takeover,
    timing,
)

MEMBERS_ASKED = 3
"""Members that a node without a coordinator asks for it, beside the seeds."""

MEMBER_READ_SECONDS = 6.0
"""Time between two reads of the registered members from the store."""


MEMBER_REMOVAL_SECONDS = 1.0
"""Time between two removals of silent members from the store."""


class Participant:
    """The process's member and, when it is elected, its coordinator.

    It runs both against the store, the peers and the clock, and decides when this
    node takes over as the coordinator.

    Parameters
    ----------
    identity : MemberRecord
        This node.
    gateway : Gateway
        Receives the primary grants.
    document_cache : DocumentCache
        Newest documents.
    apply_document : callable
        As for `Member`.
    store_watcher : object
        Reads documents from the store; ``read_all`` and ``watch`` coroutines.
    store, promotion_client : object
        Clients of the platform's store and promotion API.
    send : callable
        Takes host, address and message.
    reset : callable
        Takes the address of a peer and reopens the connection to it.
    seeds : tuple of str
        Addresses of nodes that may know the coordinator.
    capacity : float
        Processor share of this host, in cores.
    bootstrap : bool
        Whether the whole fleet starts for the first time.
    is_seed : bool
        Whether other nodes ask this one for the coordinator.

    Attributes
    ----------
    silence_shared_at : float
        Clock time at which another node last said that it does not hear the
        coordinator.
    """

    def __init__(
        self,
        *,
        identity,
        gateway,
        document_cache,
        apply_document,
        store_watcher,
        store,
        promotion_client,
        send,
        reset,
        seeds: tuple[str, ...] = (),
        capacity: float = 1.0,
        bootstrap: bool = False,
        is_seed: bool = False,
    ) -> None:
        self.identity = identity
        self.seeds = seeds
        self.gateway = gateway
        self.store_watcher = store_watcher
        self.store = store
        self.promotion_client = promotion_client
        self.send = send
        self.member = member.Member(
            identity=identity,
            gateway=gateway,
            document_cache=document_cache,
            apply_document=apply_document,
            send=send,
            reset=reset,
        )
        self.member.capacity = capacity
        self.coordinator: coordinator.Coordinator | None = None
        self.own_revision = 0
        self.silence_shared_at = float("-inf")
        self._tasks = background.TaskSet()
        self._bootstrap = bootstrap
        self.candidate = takeover.Candidate(
            participant=self, bootstrap=bootstrap, is_seed=is_seed
        )

    def receive(self, host: str, address: str, message) -> None:
        """Apply a message of another node."""
        dispatch.apply(message, self, host, address)

    def stop(self) -> None:
        """Stop coordinating and cancel all tasks at once."""
        if self.coordinator is not None:
            self.coordinator.stop("process ends")
        self._tasks.cancel()

    def measure_silence(self, now: float) -> float:
        """Return the seconds since a coordinator with authority was last heard."""
        local_coordinator = self.coordinator
        if local_coordinator is not None and local_coordinator.has_authority(now):
            return 0.0
        return now - self.member.answered_at

    async def run(self) -> None:
        """Register this node, ping the coordinator, and take over where needed.

        Runs until it is cancelled.
        """
        self.spawn(self._register())
        ping_at = 0.0
        while True:
            now = clocks.read_clock()
            if now >= ping_at:
                ping_at = now + timing.PING_SECONDS * random.uniform(0.9, 1.1)
                self._ping()
            self.candidate.check(now)
            await asyncio.sleep(timing.ELECTION_CHECK_SECONDS)

    def _ping(self) -> None:
        local_coordinator = self.coordinator
        if local_coordinator is not None and local_coordinator.active:
            if not local_coordinator.has_authority(clocks.read_clock()):
                self._ask_for_coordinator()
            return
        self.coordinator = None
        if self.member.coordinator_record is None:
            self._ask_for_coordinator()
        self.member.ping()

    def _ask_for_coordinator(self) -> None:
        """Ask the seeds and some members which coordinator they follow."""
        known = [
            record.address
            for record in self.member.members.values()
            if record.host != self.identity.host
        ]
        asked = random.sample(known, min(len(known), MEMBERS_ASKED))
        for address in {*self.seeds, *asked}:
            self.send("", address, exchange.Locate())

    async def _register(self) -> None:
        """Write this node's registration to the store.

        At the first start of the fleet the coordinator registers the others.
        """
        if self._bootstrap:
            await asyncio.sleep(timing.BOOTSTRAP_REGISTRATION_SECONDS)
            if self.coordinator is None and self.member.answered_at > 0.0:
                return
        else:
            await asyncio.sleep(timing.REGISTRATION_DELAY_SECONDS)
        while not await self.write_registration():
            await asyncio.sleep(timing.PING_SECONDS)

    async def write_registration(self) -> bool:
        """Write this node's registration; return whether the store has taken it."""
        key = assignments.MEMBER_PREFIX + self.identity.host
        written = await self.store.change({}, {key: assignments.encode(self.identity)})
        if written.is_ok():
            self.own_revision = written.ok_value
        return written.is_ok()

    def start_coordinating(
        self,
        record,
        revision: int,
        current,
        reason: str,
        *,
        confirmed_at: float | None = None,
        ended_at: float | None = None,
    ) -> None:
        """Coordinate after the store has recorded this node.

        Parameters
        ----------
        record : CoordinatorRecord
            The record of this node.
        revision : int
            Its revision.
        current : CoordinatorRecord or None
            The record that it replaced.
        confirmed_at : float or None
            Clock time at which the call was sent by which the store confirmed the
            record, in seconds; None for now.
        ended_at : float or None
            Clock time at which the lease of the replaced record had ended, in seconds;
            None for now.
        """
        now = clocks.read_clock()
        local_coordinator = coordinator.Coordinator(
            identity=self.identity,
            local_member=self.member,
            record=record,
            revision=revision,
            store=self.store,
            send=self.send,
        )
        # A published list of the new coordinator replaces the one of the former.
        listed = tuple(self.member.members.values())
        table = local_coordinator.grant_table
        table.confirmed_at = now if confirmed_at is None else confirmed_at
        table.own_promised_before = self.member.find_last_promise()
        if current is not None:
            table.predecessor_ended_at = now if ended_at is None else ended_at
            if election.find_era(current.epoch) >= (self.store.era or 0):
                table.ungranted = frozenset({current.host, *current.withheld})
            if current.host != self.identity.host:
                local_coordinator.predecessor = current.host
                local_coordinator.registry.add_predecessor(current)
        self._adopt_coordinator(local_coordinator, reason)
        local_coordinator.run_in_background(renewal.renew(local_coordinator))
        local_coordinator.run_in_background(self._coordinate(local_coordinator, listed))

    def _adopt_coordinator(
        self, local_coordinator: coordinator.Coordinator, reason: str
    ) -> None:
        before = self.member.coordinator_record
        if self.coordinator is not None:
            self.coordinator.stop("the store is reachable again")
        logs.write(
            logs.LogEvent.COORDINATION_STARTED,
            {
                "epoch": local_coordinator.record.epoch,
                "reason": reason,
                "before": before.host if before is not None else "",
                "caretaker": local_coordinator.interim,
            },
        )
        self.member.follow(local_coordinator.record)
        self.coordinator = local_coordinator

    async def _coordinate(self, local_coordinator, listed: tuple) -> None:
        """Load the state of earlier coordinators, then start to serve members.

        ``listed`` are the members of the last list that this node has received.
        """
        while (loaded := await self._load(local_coordinator)) is None:
            await asyncio.sleep(timing.PING_SECONDS)
        revision, era = loaded
        local_coordinator.registry.add_unlisted(listed)
        local_coordinator.registry.publish()
        local_coordinator.recorder = recorder.AssignmentRecorder(
            coordinator=local_coordinator,
            revision=revision,
            on_replaced=lambda: renewal.check_record(local_coordinator),
        )
        if era < (self.store.era or 0):
            await self.store_watcher.read_all()
            await recovery.recover_assignments(local_coordinator)
            local_coordinator.recovering = False
        controller = change.ChangeController(
            coordinator=local_coordinator,
            recorder=local_coordinator.recorder,
            promotion_client=self.promotion_client,
        )
        local_coordinator.run_in_background(controller.run())
        local_coordinator.run_in_background(self.store_watcher.watch(local_coordinator))
        await self._serve(local_coordinator)

    async def _serve(self, local_coordinator) -> None:
        # Allocate first: members that know a primary but no holders would all
        # connect to it.
        local_coordinator.allocate_connections()
        local_coordinator.announce()
        local_coordinator.renew_own_grants()
        listed_at = removed_at = clocks.read_clock()
        while local_coordinator.active:
            await asyncio.sleep(timing.PING_SECONDS / 2)
            local_coordinator.grant_table.update_majority(clocks.read_clock())
            local_coordinator.renew_own_grants()
            local_coordinator.allocate_connections()
            local_coordinator.choose_successors(clocks.read_clock())
            if local_coordinator.registry.changed:
                local_coordinator.registry.publish()
            if local_coordinator.interim:
                continue
            if clocks.read_clock() - listed_at > MEMBER_READ_SECONDS:
                listed_at = clocks.read_clock()
                await local_coordinator.registry.read()
            if clocks.read_clock() - removed_at > MEMBER_REMOVAL_SECONDS:
                removed_at = clocks.read_clock()
                await local_coordinator.registry.remove_silent()

    async def _load(self, local_coordinator) -> tuple[int, int] | None:
        """Load assignments and members.

        Returns
        -------
        (int, int) or None
            Revision of the assignments and era in which they were written, both 0 if
            there are none; None if the store did not answer.
        """
        found, listed = await asyncio.gather(
            self.store.get(assignments.ASSIGNMENTS_KEY),
            local_coordinator.registry.read(),
        )
        if found.is_err() or not listed:
            return None
        if found.ok_value is None:
            return 0, 0
        loaded = assignments.decode_assignments(found.ok_value.value)
        local_coordinator.recovering = loaded.era < (self.store.era or 0)
        if loaded.version > self.member.assignments.version:
            self.member.assignments = loaded
        return found.ok_value.revision, loaded.era

    def become_interim_coordinator(self) -> None:
        """Coordinate without the store, and grant the last known assignments."""
        local_member = self.member
        record = assignments.CoordinatorRecord(
            host=self.identity.host,
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            epoch=local_member.epoch + 1,
            lease=0,
        )
        local_coordinator = coordinator.Coordinator(
            identity=self.identity,
            local_member=local_member,
            record=record,
            revision=0,
            store=self.store,
            send=self.send,
            interim=True,
        )
        local_coordinator.store_contact_at = (
            local_member.store_age_at - local_member.store_age
        )
        local_coordinator.grant_table.confirmed_at = local_coordinator.store_contact_at
        for host, known in local_member.members.items():
            if host != self.identity.host:
                local_coordinator.registry.add(known)
        self._adopt_coordinator(local_coordinator, election.SILENT_WITHOUT_STORE)
        local_coordinator.run_in_background(self._wait_for_store())
        local_coordinator.run_in_background(self._serve(local_coordinator))

    async def _wait_for_store(self) -> None:
        """Try to become a regular coordinator until the store answers."""
        while True:
            await asyncio.sleep(takeover.STORE_RETRY_SECONDS)
            self.candidate.attempt(election.SILENT_WITHOUT_STORE)

    async def release(self, message: exchange.Release, host: str, address: str):
        """Stop using a primary, then confirm it to the coordinator."""
        await self.member.release(
            message.database, message.version, message.finish_seconds
        )
        self.send(
            host,
            address,
            exchange.Released(
                database=message.database,
                version=message.version,
                epoch=message.epoch,
                incarnation=self.identity.incarnation,
            ),
        )

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine as a task that `stop` cancels."""
        return self._tasks.start(work)
