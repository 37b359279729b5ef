"""Serialized, conditional writes of the assignments to the store.

Changes of several databases run at the same time and share one document, so their
writes are serialized. A write whose answer is lost may take effect seconds later.
Each write is conditional on the revision that the previous one left, so a late write
fails instead of undoing a newer one.
"""

import asyncio

import attrs

from hyssopshelf import logs
from hyssopshelf.authority import assignments, election, timing

WRITE_ATTEMPTS = 2
"""Attempts of a write; the second one is needed if an earlier write took effect but
its answer was lost."""


class AssignmentRecorder:
    """Writes the assignments to the store while this node coordinates.

    Parameters
    ----------
    coordinator : Coordinator
        Every write is conditional on the revision of its record.
    revision : int
        Revision of the assignments that it loaded, 0 if there were none.
    on_replaced : callable or None
        Coroutine function that is called when the store refuses a write because of
        the coordinator's record.
    """

    def __init__(self, *, coordinator, revision: int, on_replaced=None) -> None:
        self.coordinator = coordinator
        self.revision = revision
        self.on_replaced = on_replaced
        self._lock = asyncio.Lock()

    async def record(self, database: str, entry: assignments.Assignment) -> bool:
        """Write one assignment and put it in force; return whether it was written."""
        local_member = self.coordinator.local_member
        async with self._lock:
            if not await self._write(local_member.assignments.replace(database, entry)):
                return False
            # The assignments may have changed during the call: a promotion of
            # another database puts its result in force without this lock.
            local_member.assignments = local_member.assignments.replace(database, entry)
        return True

    async def admit(self, host: str) -> bool:
        """Take a host out of those that the coordinator's record withholds grants from.

        Returns whether the store has taken it. A write in between would change the
        revision on which the others depend, so they are serialized with it.
        """
        local_coordinator = self.coordinator
        async with self._lock:
            known = local_coordinator.record
            record = attrs.evolve(
                known, withheld=tuple(h for h in known.withheld if h != host)
            )
            written = await local_coordinator.store.change(
                {assignments.COORDINATOR_KEY: local_coordinator.revision},
                {assignments.COORDINATOR_KEY: assignments.encode(record)},
            )
            if written.is_ok():
                local_coordinator.record = record
                local_coordinator.revision = written.ok_value
                local_coordinator.local_member.follow(record)
                return True
        conflict = written.err_value.status == election.CONFLICT_STATUS
        if conflict and self.on_replaced is not None:
            await self.on_replaced()
        return False

    async def save(self) -> bool:
        """Write the assignments in force; return whether they were written."""
        async with self._lock:
            return await self._write(self.coordinator.local_member.assignments)

    async def save_repeatedly(self) -> None:
        """Write the assignments in force until the store has taken them."""
        while not await self.save():
            await asyncio.sleep(timing.PING_SECONDS)

    def encode(self, newer: assignments.Assignments) -> bytes:
        """Encode assignments for the store in its present era."""
        era = self.coordinator.store.era or 0
        return assignments.encode(attrs.evolve(newer, era=era))

    async def _write(self, newer: assignments.Assignments) -> bool:
        local_coordinator = self.coordinator
        for _ in range(WRITE_ATTEMPTS):
            written = await local_coordinator.store.change(
                {
                    assignments.COORDINATOR_KEY: local_coordinator.revision,
                    assignments.ASSIGNMENTS_KEY: self.revision,
                },
                {assignments.ASSIGNMENTS_KEY: self.encode(newer)},
            )
            if written.is_ok():
                self.revision = written.ok_value
                return True
            failure = written.err_value
            logs.write(
                logs.LogEvent.ASSIGNMENT_UNRECORDED,
                {"status": failure.status, "reason": failure.reason},
            )
            if failure.status != election.CONFLICT_STATUS:
                return False
            if not await self._find_revision():
                if self.on_replaced is not None:
                    await self.on_replaced()
                return False
        return False

    async def _find_revision(self) -> bool:
        """Read the assignments' revision; return whether it differs from the known one.

        Only this coordinator can have written them, or the store was restored: writes
        of an earlier one fail because the coordinator's record has changed.
        """
        found = await self.coordinator.store.get(assignments.ASSIGNMENTS_KEY)
        if found.is_err():
            return False
        entry = found.ok_value
        previous, self.revision = self.revision, entry.revision if entry else 0
        return self.revision != previous
