"""A node's part in the agreement: member, perhaps coordinator, and the takeover."""

import asyncio
import functools
import random

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.authority import (
    assignments,
    change,
    coordinator,
    election,
    exchange,
    member,
    timing,
)

INQUIRY_SECONDS = 0.4
"""Time for the answers of other members. Members have no open connections to each
other, so two are opened, each in one and a half round trips between regions."""

LONGEST_SILENCE_SECONDS = 1e6
"""Silence that a node reports which never heard a coordinator."""

MEMBER_LIST_SECONDS = 2.0
"""Time between two reads of the registered members."""


class Participant:
    """Connects the parts to the store, the peers and the clock.

    Parameters
    ----------
    identity : MemberRecord
        This node.
    gateway : Gateway
        Receives the beliefs.
    documents : Documents
        Newest documents.
    feeds : object
        Reads documents from the store; ``read_all`` and ``follow`` coroutines.
    store, duty : object
        Clients of the platform.
    send : callable
        Takes host, address and message.
    """

    def __init__(
        self, *, identity, gateway, documents, apply_document, feeds, store, duty, send
    ) -> None:
        self.identity = identity
        self.gateway = gateway
        self.feeds = feeds
        self.store = store
        self.duty = duty
        self.send = send
        self.member = member.Member(
            identity=identity,
            gateway=gateway,
            documents=documents,
            apply_document=apply_document,
            send=send,
        )
        self.coordinator: coordinator.Coordinator | None = None
        self.own_revision = 0
        self._tasks: set[asyncio.Task] = set()
        self.inquiry = 0
        self.contacts: dict[str, float] = {}
        self._taking_over = False

    def receive(self, host: str, address: str, message) -> None:
        """Apply a message of another node."""
        apply(message, self, host, address)

    async def run(self) -> None:
        """Register, then ping and take over where needed, for ever."""
        await self._register()
        while True:
            try:
                await self._step()
            except exceptions.CodecError as error:
                logs.write(logs.LogEvent.DOCUMENT_UNREADABLE, {"reason": str(error)})
            await asyncio.sleep(timing.PING_SECONDS * random.uniform(0.9, 1.1))

    async def _step(self) -> None:
        leading = self.coordinator
        if leading is not None and not leading.active:
            self.coordinator = leading = None
        if leading is not None:
            return
        self.member.ping()
        now = clocks.read_clock()
        if self._taking_over or self.gateway.board.draining:
            return
        reason = election.find_reason(self.member, now)
        if reason:
            self._taking_over = True
            self.spawn(self._try_take_over(reason))

    async def _try_take_over(self, reason: str) -> None:
        try:
            delay = election.find_delay(self.member, reason)
            if delay:
                await asyncio.sleep(delay)
            if not election.find_reason(self.member, clocks.read_clock()):
                return
            await self._take_over(reason)
        except exceptions.CodecError as error:
            logs.write(logs.LogEvent.DOCUMENT_UNREADABLE, {"reason": str(error)})
        finally:
            self._taking_over = False

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
        found = await self.store.get(assignments.COORDINATOR_KEY)
        if found.is_err():
            return
        entry = found.ok_value
        current = None
        if entry is not None:
            current = assignments.decode_coordinator(entry.value)
            unknown = current.epoch > self.member.epoch or reason == election.ABSENT
            self.member.follow(current)
            if unknown and current.host != self.identity.host:
                self.member.started_at = clocks.read_clock()
                self.member.ping()
                return
        own_restart = current is not None and current.host == self.identity.host
        must_ask = current is not None and not own_restart
        if must_ask and reason == election.SILENT and not await self._others_agree():
            return
        lease = await self.store.grant_lease(timing.LEASE_SECONDS)
        if lease.is_err():
            return
        record = assignments.CoordinatorRecord(
            host=self.identity.host,
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            epoch=(current.epoch if current is not None else 0) + 1,
            lease=lease.ok_value,
        )
        expected = {assignments.COORDINATOR_KEY: entry.revision if entry else 0}
        if current is not None and not own_restart:
            expected[
                assignments.MEMBER_PREFIX + self.identity.host
            ] = await self._find_own_revision()
        written = await self.store.change(
            expected, {assignments.COORDINATOR_KEY: assignments.encode(record)}
        )
        if written.is_err():
            return
        await self._end_lease(current)
        await self._start(record, written.ok_value, current, own_restart, reason)

    async def _find_own_revision(self) -> int:
        found = await self.store.get(assignments.MEMBER_PREFIX + self.identity.host)
        if found.is_err() or found.ok_value is None:
            return self.own_revision
        record = assignments.decode_member(found.ok_value.value)
        if record.incarnation == self.identity.incarnation:
            return found.ok_value.revision
        return self.own_revision

    async def _end_lease(self, current) -> None:
        """End the authority of the earlier coordinator."""
        if current is None or not current.lease:
            return
        while True:
            ended = await self.store.end_lease(current.lease)
            if ended.is_ok() or ended.err_value.status == election.NOT_FOUND_STATUS:
                return
            await asyncio.sleep(timing.PING_SECONDS)

    async def _start(self, record, revision, current, own_restart, reason) -> None:
        now = clocks.read_clock()
        leading = coordinator.Coordinator(
            identity=self.identity,
            local=self.member,
            record=record,
            revision=revision,
            store=self.store,
            send=self.send,
        )
        leading.ledger.confirmed_at = now
        if current is not None:
            leading.ledger.predecessor_ended_at = now
            leading.ledger.predecessor_lived = not own_restart
        logs.write(
            logs.LogEvent.COORDINATION_STARTED,
            {
                "epoch": record.epoch,
                "reason": reason,
                "before": current.host if current is not None else "",
            },
        )
        self.member.follow(record)
        self.coordinator = leading
        leading.run_in_background(self._renew(leading))
        leading.run_in_background(self._coordinate(leading))

    async def _coordinate(self, leading) -> None:
        """Load the state that earlier coordinators left, then serve it."""
        while not await self._load(leading):
            await asyncio.sleep(timing.PING_SECONDS)
        leading.publish_members()
        leading.announce()
        leading.renew_own_tenures()
        controller = change.ChangeController(coordinator=leading, duty=self.duty)
        leading.run_in_background(controller.run())
        leading.run_in_background(self.feeds.follow(leading))
        listed_at = clocks.read_clock()
        while leading.active:
            await asyncio.sleep(timing.PING_SECONDS / 2)
            leading.renew_own_tenures()
            if clocks.read_clock() - listed_at > MEMBER_LIST_SECONDS:
                listed_at = clocks.read_clock()
                await self._list_members(leading)
                await leading.expel_silent()

    async def _load(self, leading) -> bool:
        found = await self.store.get(assignments.ASSIGNMENTS_KEY)
        if found.is_err() or not await self._list_members(leading):
            return False
        if found.ok_value is not None:
            loaded = assignments.decode_assignments(found.ok_value.value)
            if loaded.version > self.member.assignments.version:
                self.member.assignments = loaded
        return True

    async def _list_members(self, leading) -> bool:
        page = await self.store.list(assignments.MEMBER_PREFIX)
        if page.is_err():
            return False
        for entry in page.ok_value.entries:
            record = assignments.decode_member(entry.value)
            if record.host != self.identity.host:
                leading.add_member(record)
        return True

    async def _renew(self, leading) -> None:
        """Renew the lease; its answers carry the coordinator's authority."""
        while leading.active:
            sent_at = clocks.read_clock()
            renewed = await self.store.renew_lease(
                leading.record.lease, timing.RENEWAL_SECONDS * 2
            )
            if renewed.is_ok():
                leading.ledger.confirmed_at = max(leading.ledger.confirmed_at, sent_at)
                leading.store_contact_at = clocks.read_clock()
            elif renewed.err_value.status == election.NOT_FOUND_STATUS:
                await self._replace_lease(leading)
            pause = timing.RENEWAL_SECONDS - (clocks.read_clock() - sent_at)
            await asyncio.sleep(max(0.05, pause))

    async def _replace_lease(self, leading) -> None:
        """Get a new lease, or stop if another node coordinates."""
        lease = await self.store.grant_lease(timing.LEASE_SECONDS)
        if lease.is_err():
            return
        record = assignments.CoordinatorRecord(
            host=leading.record.host,
            address=leading.record.address,
            incarnation=leading.record.incarnation,
            epoch=leading.record.epoch,
            lease=lease.ok_value,
        )
        sent_at = clocks.read_clock()
        written = await self.store.change(
            {assignments.COORDINATOR_KEY: leading.revision},
            {assignments.COORDINATOR_KEY: assignments.encode(record)},
        )
        if written.is_ok():
            leading.record = record
            leading.revision = written.ok_value
            leading.ledger.confirmed_at = sent_at
            self.member.follow(record)
        elif written.err_value.status == election.CONFLICT_STATUS:
            found = await self.store.get(assignments.COORDINATOR_KEY)
            if found.is_err() or found.ok_value is None:
                return
            current = assignments.decode_coordinator(found.ok_value.value)
            if current == record:
                leading.record = record
                leading.revision = found.ok_value.revision
                self.member.follow(record)
            elif current.epoch == leading.record.epoch and (
                current.incarnation == leading.record.incarnation
            ):
                # An earlier replacement took effect without an answer.
                leading.record = current
                leading.revision = found.ok_value.revision
                self.member.follow(current)
            else:
                leading.stop("replaced in the store")
                self.member.follow(current)

    async def _others_agree(self) -> bool:
        """Ask the other members whether they miss the coordinator, too."""
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
        self.inquiry += 1
        self.contacts = {}
        message = exchange.Inquire(number=self.inquiry, epoch=self.member.epoch)
        for record in others.values():
            self.send(record.host, record.address, message)
        deadline = clocks.read_clock() + INQUIRY_SECONDS
        while len(self.contacts) < len(others) and clocks.read_clock() < deadline:
            await asyncio.sleep(member.RELEASE_CHECK_SECONDS)
        silence = clocks.read_clock() - max(
            self.member.answered_at, self.member.started_at
        )
        agreed = election.is_agreed(len(others), self.contacts, silence)
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
        """Stop using a primary, then tell the coordinator."""
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
        """Run a coroutine on its own."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@functools.singledispatch
def apply(message, node: Participant, host: str, address: str) -> None:
    """Apply a message of the node on ``host``."""
    raise NotImplementedError(f"no handler for {type(message).__name__}")


@apply.register
def _apply_ping(message: exchange.Ping, node, host: str, address: str) -> None:
    leading = node.coordinator
    if leading is None or not leading.active:
        return
    if message.epoch > leading.record.epoch:
        leading.stop("a newer coordinator exists")
    else:
        leading.receive_ping(message, host, address)


@apply.register
def _apply_pong(message: exchange.Pong, node, host: str, address: str) -> None:
    node.member.receive_pong(message, host)


@apply.register
def _apply_release(message: exchange.Release, node, host: str, address: str) -> None:
    if message.epoch >= node.member.epoch:
        node.spawn(node.release(message, host, address))


@apply.register
def _apply_released(message: exchange.Released, node, host: str, address: str) -> None:
    leading = node.coordinator
    if leading is None or message.epoch != leading.record.epoch:
        return
    state = leading.ledger.members.get(host)
    if state is not None:
        before = state.released.get(message.database, 0)
        state.released[message.database] = max(message.version, before)


@apply.register
def _apply_inquire(message: exchange.Inquire, node, host: str, address: str) -> None:
    now = clocks.read_clock()
    silence = now - node.member.answered_at
    leading = node.coordinator
    if leading is not None and leading.has_authority(now):
        silence = 0.0
    answer = exchange.Contact(
        number=message.number,
        epoch=node.member.epoch,
        silence=min(silence, LONGEST_SILENCE_SECONDS),
    )
    node.send(host, address, answer)


@apply.register
def _apply_contact(message: exchange.Contact, node, host: str, address: str) -> None:
    if message.number != node.inquiry:
        return
    newer = message.epoch > node.member.epoch
    node.contacts[host] = 0.0 if newer else message.silence


@apply.register
def _apply_announce(message: exchange.Announce, node, host: str, address: str) -> None:
    if message.epoch < node.member.epoch:
        return
    leading = node.coordinator
    if leading is not None and leading.active:
        if message.epoch <= leading.record.epoch:
            return
        leading.stop("a newer coordinator announced itself")
    if message.epoch > node.member.epoch or node.member.coordinator is None:
        record = assignments.CoordinatorRecord(
            host=host,
            address=address,
            incarnation=message.incarnation,
            epoch=message.epoch,
            lease=0,
        )
        node.member.follow(record)
    node.member.ping()
