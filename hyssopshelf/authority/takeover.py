"""A member's attempts to become the coordinator.

A record is replaced only after the lease that it names has ended. So of all leases of
coordinators only that of the recorded one can be renewed, also if the answer to the
write of a record is lost and nobody acts on it.
"""

import asyncio

import attrs

from hyssopshelf import clocks, exceptions, kvstore, logs, numbering
from hyssopshelf.authority import (
    allocation,
    assignments,
    election,
    exchange,
    member,
    timing,
)

INQUIRY_SECONDS = 0.4
"""Time for the answers of other members. Members keep no connections to each other, so
one is opened in each direction, in one and a half round trips between regions each."""

STORE_RETRY_SECONDS = 1.0
"""Pause between attempts to take over through the store while it is unreachable."""


@attrs.frozen(kw_only=True)
class Confirmation:
    """The store's answer that it has a record.

    Attributes
    ----------
    revision : int
        Revision of the record.
    sent_at : float
        Clock time at which the confirmed call was sent, in seconds.
    """

    revision: int
    sent_at: float


class Candidate:
    """Decides when a node takes over, and asks the other members and the store.

    Parameters
    ----------
    participant : Participant
        The node's part in the agreement.
    bootstrap : bool
        Whether the whole fleet starts for the first time.
    is_seed : bool
        Whether other nodes ask this one for the coordinator.

    Attributes
    ----------
    inquiry_number : int
        Number of the last inquiry, which answers repeat.
    contacts : dict of str to float
        Seconds since each member that answered it last heard the coordinator.
    """

    def __init__(self, *, participant, bootstrap: bool, is_seed: bool) -> None:
        self.participant = participant
        self.bootstrap = bootstrap
        self.is_seed = is_seed
        self._numbers = numbering.start_count()
        self.inquiry_number = next(self._numbers)
        self.contacts: dict[str, float] = {}
        self._attempting = False
        self._next_attempt_at = 0.0
        self._failures = 0

    def check(self, now: float) -> None:
        """Start an attempt if the coordinator has to be replaced."""
        participant = self.participant
        local_coordinator = participant.coordinator
        if local_coordinator is not None and local_coordinator.active:
            return
        if participant.gateway.board.draining or now < self._next_attempt_at:
            return
        reason = election.find_takeover_reason(participant.member, now)
        if reason:
            self.attempt(reason)
        else:
            self._failures = 0

    def check_record(self, now: float) -> None:
        """Start an attempt because others follow a record that may name this node.

        Its write may have taken effect although the answer was lost.
        """
        if now >= self._next_attempt_at and not self.participant.gateway.board.draining:
            self.attempt(election.RECORDED)

    def attempt(self, reason: str) -> None:
        """Start an attempt unless one is in progress."""
        if not self._attempting:
            self._attempting = True
            self.participant.spawn(self.try_take_over(reason))

    async def try_take_over(self, reason: str) -> None:
        """Make one attempt after the pause that is due to this node."""
        local_member = self.participant.member
        try:
            delay = election.find_delay(local_member, reason)
            if self.bootstrap and reason == election.ABSENT:
                delay = election.find_bootstrap_delay(
                    local_member.capacity, self.is_seed
                )
            if delay:
                await asyncio.sleep(delay)
            if self._is_still_needed(reason):
                await self._take_over(reason)
        except exceptions.CodecError as error:
            logs.write(logs.LogEvent.DOCUMENT_UNREADABLE, {"reason": str(error)})
        finally:
            self._attempting = False
            pause = election.find_attempt_pause(self._failures)
            if reason == election.STORE_UNREACHABLE:
                pause = STORE_RETRY_SECONDS
            elif reason == election.ABSENT:
                pause = timing.PING_SECONDS
            self._next_attempt_at = clocks.read_clock() + pause
            self._failures += 1

    def _is_still_needed(self, reason: str) -> bool:
        """Return whether the reason of an attempt to take over still holds."""
        local_coordinator = self.participant.coordinator
        active = local_coordinator is not None and local_coordinator.active
        if reason == election.SILENT_WITHOUT_STORE:
            return active and local_coordinator.interim
        if reason == election.RECORDED:
            return not active
        local_member = self.participant.member
        return (
            election.find_takeover_reason(local_member, clocks.read_clock()) == reason
        )

    async def _take_over(self, reason: str) -> None:
        """Become the coordinator if the store and the other members allow it."""
        entry = await self._find_record(reason)
        if entry is None:
            return
        current = None
        if entry.revision:
            current = assignments.decode_coordinator(entry.value)
            if self._is_recorded(current, reason):
                self.participant.member.follow(current)
                reason = election.ABSENT
            elif reason != election.RECORDED and self._follow(current, reason):
                return
        if reason == election.RECORDED:
            if current is not None:
                self.participant.member.follow(current)
            return
        await self._replace(entry.revision, current, reason)

    async def _find_record(self, reason: str):
        """Ask the store and, if the coordinator is silent, the members.

        Both are asked at the same time: a majority can do without the store, so it
        must not wait for one that is down.

        Returns
        -------
        Entry or None
            The coordinator's record, with revision 0 if there is none; None if this
            node may not take over now.
        """
        reading = self.participant.spawn(self._read_record())
        try:
            if reason != election.SILENT:
                return await reading
            agreed = await self._others_agree()
            await asyncio.wait({reading}, timeout=timing.STORE_ANSWER_SECONDS)
            entry = reading.result() if reading.done() else None
            if entry is None and agreed and self._has_majority(reason):
                self.participant.become_interim_coordinator()
            if entry is None or agreed:
                return entry
        finally:
            reading.cancel()
        # The record may name this node, or a coordinator that is not known yet.
        current = (
            assignments.decode_coordinator(entry.value) if entry.revision else None
        )
        known = self.participant.member.epoch
        if current is None or current.epoch > known or self._is_own(current):
            return entry
        return None

    async def _read_record(self):
        """Read the record; return None if the store does not answer.

        If there is none, a small host first gives larger ones time to take over.
        """
        store = self.participant.store
        found = await store.get(assignments.COORDINATOR_KEY)
        small = self.participant.member.capacity <= allocation.SMALL_CAPACITY
        if small and found.is_ok() and found.ok_value is None:
            await asyncio.sleep(timing.SMALL_HOST_DELAY_SECONDS)
            found = await store.get(assignments.COORDINATOR_KEY)
        if found.is_err():
            return None
        return found.ok_value or kvstore.Entry(
            key=assignments.COORDINATOR_KEY, value=b"", revision=0
        )

    def _is_own(self, record: assignments.CoordinatorRecord) -> bool:
        """Return whether a record names an earlier process of this host."""
        return record.host == self.participant.identity.host

    def _is_recorded(self, current: assignments.CoordinatorRecord, reason: str) -> bool:
        """Return whether all others wait for this node, as the store names it.

        An interim coordinator is active, so nobody waits.
        """
        return (
            self._is_own(current)
            and current.epoch >= self.participant.member.epoch
            and reason != election.SILENT_WITHOUT_STORE
        )

    def _follow(self, current: assignments.CoordinatorRecord, reason: str) -> bool:
        """Follow the recorded coordinator; return whether it gets time to answer."""
        local_member = self.participant.member
        if current.epoch < local_member.epoch:
            # The store has lost the record of the coordinator that is known here.
            return False
        unknown = current.epoch > local_member.epoch or reason == election.ABSENT
        local_member.follow(current)
        if not unknown or self._is_own(current):
            return False
        local_member.ping()
        return True

    async def _replace(self, revision: int, current, reason: str) -> None:
        """Write this node's record in place of another one and coordinate."""
        participant = self.participant
        identity = participant.identity
        store = participant.store
        restarted = current is not None and self._is_own(current)
        lease = await store.grant_lease(timing.LEASE_SECONDS)
        if lease.is_err() or not self._is_still_needed(reason):
            return
        known_epoch = max(current.epoch if current else 0, participant.member.epoch)
        own_key = assignments.MEMBER_PREFIX + identity.host
        expected = {assignments.COORDINATOR_KEY: revision}
        # In a restored store the registration may be lost. No coordinator has acted
        # there yet, so none has removed this node.
        restored = current is not None and (
            election.find_era(current.epoch) < (store.era or 0)
        )
        if current is not None and not restarted and not restored:
            expected[own_key] = await self._find_own_revision()
            if not expected[own_key]:
                return
        if restarted:
            # The process that held the lease has ended, so nothing waits for its end.
            participant.spawn(self._end_lease(current, lease.ok_value))
        elif not await self._end_lease(current, lease.ok_value):
            return
        ended_at = clocks.read_clock()
        record = assignments.CoordinatorRecord(
            host=identity.host,
            address=identity.address,
            incarnation=identity.incarnation,
            # No call comes between this and the write, so the era is the same.
            epoch=election.find_next_epoch(known_epoch, store.era or 0),
            lease=lease.ok_value,
            withheld=() if restored else self._list_withheld(current, reason),
        )
        confirmation = await self._write_record(expected, record)
        if confirmation is None:
            return
        participant.start_coordinating(
            record,
            confirmation.revision,
            current,
            reason,
            confirmed_at=confirmation.sent_at,
            ended_at=ended_at,
        )
        if restored:
            participant.coordinator.registry.register_again()

    def _list_withheld(self, current, reason: str) -> tuple[str, ...]:
        """Return the hosts that are granted nothing until they are known to be back.

        These are the former coordinator, unless it was heard just now, and those that
        it withheld grants from.
        """
        if current is None:
            return ()
        known = self.participant.member.members.keys()
        withheld = {host for host in current.withheld if host in known}
        if reason not in (election.RESIGNING, election.STORE_UNREACHABLE):
            withheld.add(current.host)
        return tuple(sorted(withheld - {self.participant.identity.host}))

    async def _write_record(
        self, expected: dict[str, int], record: assignments.CoordinatorRecord
    ) -> Confirmation | None:
        """Write the record; return None unless the store is known to have it.

        Without an answer the record is read, as the write may have taken effect.
        """
        store = self.participant.store
        value = assignments.encode(record)
        sent_at = clocks.read_clock()
        written = await store.change(expected, {assignments.COORDINATOR_KEY: value})
        if written.is_ok():
            return Confirmation(revision=written.ok_value, sent_at=sent_at)
        if written.err_value.status == election.CONFLICT_STATUS:
            return None
        sent_at = clocks.read_clock()
        found = await store.get(assignments.COORDINATOR_KEY)
        if found.is_err() or found.ok_value is None or found.ok_value.value != value:
            return None
        return Confirmation(revision=found.ok_value.revision, sent_at=sent_at)

    async def _find_own_revision(self) -> int:
        """Return the revision of this node's registration, 0 without one.

        The coordinator that removed it, or a late registration of an earlier process,
        may be all that is left of the fleet before. After a long silence it is written
        again, so that a later attempt succeeds.
        """
        participant = self.participant
        key = assignments.MEMBER_PREFIX + participant.identity.host
        found = await participant.store.get(key)
        if found.is_err():
            return participant.own_revision
        if found.ok_value is not None:
            record = assignments.decode_member(found.ok_value.value)
            if record.incarnation == participant.identity.incarnation:
                return found.ok_value.revision
        if self._measure_silence() > timing.REGISTER_AGAIN_SECONDS:
            await participant.write_registration()
        return 0

    def _measure_silence(self) -> float:
        """Return the seconds for which this node has not heard its coordinator."""
        local_member = self.participant.member
        return clocks.read_clock() - max(
            local_member.answered_at, local_member.followed_at
        )

    async def _end_lease(self, current, own_lease: int) -> bool:
        """End the earlier coordinator's lease, and so its authority.

        A restored store may have given the number of that lease to this node.

        Returns
        -------
        bool
            Whether the lease has certainly ended.
        """
        if current is None or current.lease in (0, own_lease):
            return True
        ended = await self.participant.store.end_lease(current.lease)
        return ended.is_ok() or ended.err_value.status == election.NOT_FOUND_STATUS

    def _has_majority(self, reason: str) -> bool:
        """Return whether a majority of the members supported the last inquiry."""
        known = self.participant.member.members.keys()
        own = self.participant.identity.host
        # A list without this node is older than its registration.
        return (
            own in known
            and self._is_still_needed(reason)
            and election.is_agreed(len(known) - 1, self.contacts, 0.0, True)
        )

    async def _others_agree(self) -> bool:
        """Ask the other members whether they do not hear the coordinator either."""
        participant = self.participant
        local_member = participant.member
        others = {
            host: record
            for host, record in local_member.members.items()
            if host != participant.identity.host
        }
        if not others:
            page = await participant.store.list(assignments.MEMBER_PREFIX)
            if page.is_err():
                return False
            records = [
                assignments.decode_member(e.value) for e in page.ok_value.entries
            ]
            others = {r.host: r for r in records if r.host != participant.identity.host}
        self.inquiry_number = next(self._numbers)
        self.contacts = {}
        message = exchange.Inquire(number=self.inquiry_number, epoch=local_member.epoch)
        for record in others.values():
            participant.send(record.host, record.address, message)
        deadline = clocks.read_clock() + INQUIRY_SECONDS
        # The silent coordinator is one of them and does not answer.
        expected = len(others) - 1
        while len(self.contacts) < expected and clocks.read_clock() < deadline:
            await asyncio.sleep(member.RELEASE_CHECK_SECONDS)
        silence = self._measure_silence()
        agreed = election.is_agreed(len(others), self.contacts, silence, False)
        logs.write(
            logs.LogEvent.TAKEOVER_ASKED,
            {
                "epoch": local_member.epoch,
                "members": len(others),
                "contacts": {h: round(s, 2) for h, s in self.contacts.items()},
                "agreed": agreed,
            },
        )
        return agreed
