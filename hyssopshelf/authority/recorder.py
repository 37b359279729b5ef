"""Pattern: one writer, one write at a time, and a late write undoes no newer one.

Changes of several databases run at the same time and share one document, so their
writes wait for each other. A write without an answer may take effect seconds later;
each write expects the revision that the one before it left, so that a late one fails.
"""

import asyncio

from hyssopshelf import logs
from hyssopshelf.authority import assignments, election

WRITE_ATTEMPTS = 2
"""Attempts of a write; the second follows a write that took effect unanswered."""


class AssignmentRecorder:
    """Writes the assignments to the store while this node coordinates.

    Parameters
    ----------
    coordinator : Coordinator
        Its record's revision is a condition of every write.
    revision : int
        Revision of the assignments that it loaded, 0 without any.
    """

    def __init__(self, *, coordinator, revision: int) -> None:
        self.coordinator = coordinator
        self.revision = revision
        self._lock = asyncio.Lock()

    async def record(self, database: str, entry: assignments.Assignment) -> bool:
        """Write one assignment, then use it; return whether it was written."""
        local_member = self.coordinator.local_member
        async with self._lock:
            if not await self._write(local_member.assignments.replace(database, entry)):
                return False
            # A promotion of another database may have ended during the call.
            local_member.assignments = local_member.assignments.replace(database, entry)
        return True

    async def save(self) -> bool:
        """Write the assignments in use."""
        async with self._lock:
            return await self._write(self.coordinator.local_member.assignments)

    async def _write(self, newer: assignments.Assignments) -> bool:
        local_coordinator = self.coordinator
        for _ in range(WRITE_ATTEMPTS):
            written = await local_coordinator.store.change(
                {
                    assignments.COORDINATOR_KEY: local_coordinator.revision,
                    assignments.ASSIGNMENTS_KEY: self.revision,
                },
                {assignments.ASSIGNMENTS_KEY: assignments.encode(newer)},
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
                return False
        return False

    async def _find_revision(self) -> bool:
        """Read the revision of the assignments; return whether it is another one.

        Only this coordinator can have written them: a write of an earlier one fails
        since the coordinator's record has changed.
        """
        found = await self.coordinator.store.get(assignments.ASSIGNMENTS_KEY)
        if found.is_err():
            return False
        entry = found.ok_value
        before, self.revision = self.revision, entry.revision if entry else 0
        return self.revision != before
