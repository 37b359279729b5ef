"""Recovery of assignments that a store restored from an older copy has lost.

The next coordinator asks the members and the endpoints for what they know. It grants
nothing before it has recorded the result.
"""

import asyncio

import attrs

from hyssopshelf import clocks, logs
from hyssopshelf.authority import assignments, exchange, member, replication, timing

RECALL_SECONDS = 0.6
"""Time for the answers of members, to which a connection has to be opened first, in
seconds."""


async def recover_assignments(local_coordinator) -> None:
    """Put the newest assignments that are known in force and in the store.

    They get versions of the present era, so that members use no others.
    """
    local_member = local_coordinator.local_member
    stored = local_member.assignments
    asked = await _recall_assignments(local_coordinator)
    merged = stored
    for found in local_coordinator.recalled.values():
        merged = merge_assignments(merged, found)
    endpoints = local_member.gateway.board.endpoints.values()
    checked = await asyncio.gather(
        *(
            _check_assignment(
                local_member.gateway,
                entry,
                [endpoint for endpoint in endpoints if endpoint.database == database],
            )
            for database, entry in merged.databases.items()
        )
    )
    first = assignments.find_first_version(local_coordinator.store.era or 0)
    local_member.assignments = assignments.Assignments(
        version=max(merged.version + 1, first),
        databases={
            database: attrs.evolve(entry, version=max(entry.version + 1, first))
            for database, entry in zip(merged.databases, checked, strict=True)
        },
    )
    logs.write(
        logs.LogEvent.ASSIGNMENTS_RECOVERED,
        {
            "asked": asked,
            "answered": len(local_coordinator.recalled),
            "version": local_member.assignments.version,
            "changed": [
                database
                for database, entry in local_member.assignments.databases.items()
                if database not in stored.databases
                or stored.databases[database].endpoint != entry.endpoint
            ],
        },
    )
    while not await local_coordinator.recorder.save():
        await asyncio.sleep(timing.PING_SECONDS)


def merge_assignments(
    one: assignments.Assignments, other: assignments.Assignments
) -> assignments.Assignments:
    """Return the assignment with the highest version of each database."""
    databases = dict(one.databases)
    for database, entry in other.databases.items():
        known = databases.get(database)
        # A promotion that took effect is known under the version of its beginning.
        if known is None or (known.version, not known.promoting) < (
            entry.version,
            not entry.promoting,
        ):
            databases[database] = entry
    return assignments.Assignments(
        version=max(one.version, other.version), databases=databases
    )


async def _recall_assignments(local_coordinator) -> int:
    """Ask all members that are known for their assignments; return their number."""
    own = local_coordinator.identity.host
    members = local_coordinator.grant_table.members
    for record in local_coordinator.local_member.members.values():
        # The store may have lost its registration.
        if record.host != own and record.host not in members:
            local_coordinator.registry.add(record)
    asked = list(members.values())
    message = exchange.Recall(epoch=local_coordinator.record.epoch)
    for state in asked:
        local_coordinator.send(state.host, state.address, message)
    # The coordinator that was replaced rarely answers.
    awaited = {state.host for state in asked} - {local_coordinator.predecessor}
    deadline = clocks.read_clock() + RECALL_SECONDS
    while (
        not awaited <= local_coordinator.recalled.keys()
        and clocks.read_clock() < deadline
    ):
        await asyncio.sleep(member.RELEASE_CHECK_SECONDS)
    return len(asked)


async def _check_assignment(
    gateway, entry: assignments.Assignment, endpoints: list
) -> assignments.Assignment:
    """Return the assignment that the endpoints of a database show.

    An endpoint that knows a later term than the assignment tells that the primary was
    replaced. If the later primary does not answer, the assignment names none, and a
    change of primary chooses one.
    """
    found = await asyncio.gather(
        *(replication.ask_status(gateway, endpoint) for endpoint in endpoints)
    )
    statuses = {
        endpoint.id: status
        for endpoint, status in zip(endpoints, found, strict=True)
        if status is not None
    }
    latest = max((status.term for status in statuses.values()), default=entry.term)
    if latest <= entry.term:
        return entry
    for endpoint, status in statuses.items():
        if status.role == "primary" and status.term == latest:
            return attrs.evolve(entry, endpoint=endpoint, term=latest, promoting=False)
    return attrs.evolve(entry, endpoint="", term=latest, promoting=True)
