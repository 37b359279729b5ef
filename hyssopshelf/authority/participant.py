"""A node's part in the agreement: its member, its coordinator if elected, takeovers."""

import asyncio
import random

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.authority import (
    allocation,
    assignments,
    change,
    coordinator,
    dispatch,
    election,
    exchange,
    member,
    recorder,
    renewal,
    timing,
)

INQUIRY_SECONDS = 0.4
"""Time for the answers of other members. Members keep no connections to each other, so
one is opened in each direction, in one and a half round trips between regions each."""

STORE_RETRY_SECONDS = 1.0
"""Pause between attempts to take over through the store while it is unreachable."""

MEMBER_READ_SECONDS = 2.0
"""Time between two reads of the registered members from the store."""


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
        self._tasks: set[asyncio.Task] = set()
        self.inquiry_number = 0
        self.contacts: dict[str, float] = {}
        self._taking_over = False
        self._next_attempt_at = 0.0

    def receive(self, host: str, address: str, message) -> None:
        """Apply a message of another node."""
        dispatch.apply(message, self, host, address)

    def stop(self) -> None:
        """Stop coordinating and cancel all tasks at once."""
        if self.coordinator is not None:
            self.coordinator.stop("process ends")
        for task in self._tasks:
            task.cancel()

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
            self._check_election(now)
            await asyncio.sleep(timing.ELECTION_CHECK_SECONDS)

    def _ping(self) -> None:
        local_coordinator = self.coordinator
        if local_coordinator is not None and local_coordinator.active:
            return
        self.coordinator = None
        if self.member.coordinator_record is None:
            for address in self.seeds:
                self.send("", address, exchange.Locate())
        self.member.ping()

    def _check_election(self, now: float) -> None:
        local_coordinator = self.coordinator
        if local_coordinator is not None and local_coordinator.active:
            return
        if (
            self._taking_over
            or self.gateway.board.draining
            or now < self._next_attempt_at
        ):
            return
        reason = election.find_takeover_reason(self.member, now)
        if reason:
            self._taking_over = True
            pause = timing.PING_SECONDS
            if reason == election.STORE_UNREACHABLE:
                pause = STORE_RETRY_SECONDS
            self._next_attempt_at = now + pause
            self.spawn(self._try_take_over(reason))

    async def _try_take_over(self, reason: str) -> None:
        try:
            delay = election.find_delay(self.member, reason)
            if delay:
                await asyncio.sleep(delay)
            if self._is_still_needed(reason):
                await self._take_over(reason)
        except exceptions.CodecError as error:
            logs.write(logs.LogEvent.DOCUMENT_UNREADABLE, {"reason": str(error)})
        finally:
            self._taking_over = False

    def _is_still_needed(self, reason: str) -> bool:
        """Return whether the reason of an attempt to take over still holds."""
        if reason == election.SILENT_WITHOUT_STORE:
            local_coordinator = self.coordinator
            return (
                local_coordinator is not None
                and local_coordinator.active
                and local_coordinator.interim
            )
        return election.find_takeover_reason(self.member, clocks.read_clock()) == reason

    async def _register(self) -> None:
        """Write this node's registration to the store."""
        key = assignments.MEMBER_PREFIX + self.identity.host
        while True:
            written = await self.store.change(
                {}, {key: assignments.encode(self.identity)}
            )
            if written.is_ok():
                self.own_revision = written.ok_value
                return
            await asyncio.sleep(timing.PING_SECONDS)

    async def _take_over(self, reason: str) -> None:
        """Become the coordinator if the store and the other members allow it."""
        found = await self._find_record()
        if found.is_err():
            if (
                reason == election.SILENT
                and await self._others_agree(strict=True)
                and self._is_still_needed(reason)
            ):
                self._become_interim_coordinator()
            return
        entry = found.ok_value
        current = None
        if entry is not None:
            current = assignments.decode_coordinator(entry.value)
            unknown = current.epoch > self.member.epoch or reason == election.ABSENT
            self.member.follow(current)
            if unknown and current.host != self.identity.host:
                self.member.ping()
                return
        restarted = current is not None and current.host == self.identity.host
        must_ask = current is not None and not restarted
        if must_ask and reason == election.SILENT and not await self._others_agree():
            return
        lease = await self.store.grant_lease(timing.LEASE_SECONDS)
        if lease.is_err() or not self._is_still_needed(reason):
            return
        record = assignments.CoordinatorRecord(
            host=self.identity.host,
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            epoch=election.find_next_epoch(current.epoch if current else 0),
            lease=lease.ok_value,
        )
        expected = {assignments.COORDINATOR_KEY: entry.revision if entry else 0}
        if current is not None and not restarted:
            expected[
                assignments.MEMBER_PREFIX + self.identity.host
            ] = await self._find_own_revision()
        written = await self.store.change(
            expected, {assignments.COORDINATOR_KEY: assignments.encode(record)}
        )
        if written.is_err():
            return
        if restarted:
            # The process that held the lease has ended, so nothing waits for its end.
            self.spawn(self._end_lease(current))
        else:
            await self._end_lease(current)
        await self._start(record, written.ok_value, current, reason)

    async def _find_record(self):
        """Read the coordinator's record from the store.

        If there is none, a small host first gives larger ones time to take over.
        """
        found = await self.store.get(assignments.COORDINATOR_KEY)
        small = self.member.capacity <= allocation.SMALL_CAPACITY
        if small and found.is_ok() and found.ok_value is None:
            await asyncio.sleep(timing.SMALL_HOST_DELAY_SECONDS)
            found = await self.store.get(assignments.COORDINATOR_KEY)
        return found

    async def _find_own_revision(self) -> int:
        found = await self.store.get(assignments.MEMBER_PREFIX + self.identity.host)
        if found.is_err() or found.ok_value is None:
            return self.own_revision
        record = assignments.decode_member(found.ok_value.value)
        if record.incarnation == self.identity.incarnation:
            return found.ok_value.revision
        return self.own_revision

    async def _end_lease(self, current) -> None:
        """End the earlier coordinator's lease, and so its authority.

        Repeats the call until the store answers.
        """
        if current is None or not current.lease:
            return
        while True:
            ended = await self.store.end_lease(current.lease)
            if ended.is_ok() or ended.err_value.status == election.NOT_FOUND_STATUS:
                return
            await asyncio.sleep(timing.PING_SECONDS)

    async def _start(self, record, revision, current, reason) -> None:
        now = clocks.read_clock()
        local_coordinator = coordinator.Coordinator(
            identity=self.identity,
            local_member=self.member,
            record=record,
            revision=revision,
            store=self.store,
            send=self.send,
        )
        local_coordinator.grant_table.confirmed_at = now
        if current is not None:
            local_coordinator.grant_table.predecessor_ended_at = now
        self._start_coordinating(local_coordinator, reason)
        local_coordinator.run_in_background(renewal.renew(local_coordinator))
        local_coordinator.run_in_background(self._coordinate(local_coordinator))

    def _start_coordinating(
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

    async def _coordinate(self, local_coordinator) -> None:
        """Load the state of earlier coordinators, then start to serve members."""
        while (revision := await self._load(local_coordinator)) is None:
            await asyncio.sleep(timing.PING_SECONDS)
        local_coordinator.publish_members()
        controller = change.ChangeController(
            coordinator=local_coordinator,
            recorder=recorder.AssignmentRecorder(
                coordinator=local_coordinator, revision=revision
            ),
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
        listed_at = clocks.read_clock()
        while local_coordinator.active:
            await asyncio.sleep(timing.PING_SECONDS / 2)
            local_coordinator.grant_table.update_majority(clocks.read_clock())
            local_coordinator.renew_own_grants()
            local_coordinator.allocate_connections()
            if local_coordinator.members_changed:
                local_coordinator.publish_members()
            if local_coordinator.interim:
                continue
            if clocks.read_clock() - listed_at > MEMBER_READ_SECONDS:
                listed_at = clocks.read_clock()
                await self._list_members(local_coordinator)
                await local_coordinator.remove_silent_members()

    async def _load(self, local_coordinator) -> int | None:
        """Load assignments and members; return the revision of the assignments.

        The revision is 0 if there are no assignments yet; None means that the store
        did not answer.
        """
        found, listed = await asyncio.gather(
            self.store.get(assignments.ASSIGNMENTS_KEY),
            self._list_members(local_coordinator),
        )
        if found.is_err() or not listed:
            return None
        if found.ok_value is None:
            return 0
        loaded = assignments.decode_assignments(found.ok_value.value)
        if loaded.version > self.member.assignments.version:
            self.member.assignments = loaded
        return found.ok_value.revision

    async def _list_members(self, local_coordinator) -> bool:
        page = await self.store.list(assignments.MEMBER_PREFIX)
        if page.is_err():
            return False
        for entry in page.ok_value.entries:
            record = assignments.decode_member(entry.value)
            if record.host != self.identity.host:
                local_coordinator.add_member(record)
        return True

    def _become_interim_coordinator(self) -> None:
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
                local_coordinator.add_member(known)
        self._start_coordinating(local_coordinator, election.SILENT_WITHOUT_STORE)
        local_coordinator.run_in_background(self._wait_for_store())
        local_coordinator.run_in_background(self._serve(local_coordinator))

    async def _wait_for_store(self) -> None:
        """Try to become a regular coordinator until the store answers."""
        while True:
            await asyncio.sleep(STORE_RETRY_SECONDS)
            if not self._taking_over:
                self._taking_over = True
                self.spawn(self._try_take_over(election.SILENT_WITHOUT_STORE))

    async def _others_agree(self, strict: bool = False) -> bool:
        """Ask the other members whether they do not hear the coordinator either.

        Parameters
        ----------
        strict : bool
            Whether a majority must agree, as without the store.
        """
        others = {
            host: record
            for host, record in self.member.members.items()
            if host != self.identity.host
        }
        if not others:
            page = await self.store.list(assignments.MEMBER_PREFIX)
            if page.is_err():
                return False
            records = [
                assignments.decode_member(e.value) for e in page.ok_value.entries
            ]
            others = {r.host: r for r in records if r.host != self.identity.host}
        self.inquiry_number += 1
        self.contacts = {}
        message = exchange.Inquire(number=self.inquiry_number, epoch=self.member.epoch)
        for record in others.values():
            self.send(record.host, record.address, message)
        deadline = clocks.read_clock() + INQUIRY_SECONDS
        # The silent coordinator is one of them and does not answer.
        expected = len(others) - 1
        while len(self.contacts) < expected and clocks.read_clock() < deadline:
            await asyncio.sleep(member.RELEASE_CHECK_SECONDS)
        silence = clocks.read_clock() - max(
            self.member.answered_at, self.member.followed_at
        )
        agreed = election.is_agreed(len(others), self.contacts, silence, strict)
        logs.write(
            logs.LogEvent.TAKEOVER_ASKED,
            {
                "epoch": self.member.epoch,
                "members": len(others),
                "contacts": {h: round(s, 2) for h, s in self.contacts.items()},
                "agreed": agreed,
            },
        )
        return agreed

    async def release(self, message: exchange.Release, host: str, address: str):
        """Stop using a primary, then confirm it to the coordinator."""
        await self.member.release(
            message.database, message.version, message.finish_seconds
        )
        self.send(
            host,
            address,
            exchange.Released(
                database=message.database, version=message.version, epoch=message.epoch
            ),
        )

    def spawn(self, work) -> None:
        """Run a coroutine as a task that `stop` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
