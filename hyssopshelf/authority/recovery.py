"""Recovery of assignments that a store restored from an older copy has lost.

The next coordinator asks the members and the endpoints for what they know. It grants
nothing before it has recorded the result.
"""

import asyncio

import attrs

from hyssopshelf import clocks, logs
from hyssopshelf.authority import assignments, exchange, member, replication

RECALL_SECONDS = 0.6
"""Time for the answers of members, to which a connection has to be opened first, in
seconds."""


async def recover_assignments(local_coordinator) -> None:
    """Put the newest assignments that are known in force and in the store.

    They get versions of the present era, so that members use no others.
    """
    local_member = local_coordinator.local_member
    stored = local_member.assignments
    asked = await _ask_members(local_coordinator)
    newest = await _fetch_newest(local_coordinator, stored)
    endpoints = local_member.gateway.board.endpoints.values()
    checked = await asyncio.gather(
        *(
            _check_assignment(
                local_member.gateway,
                entry,
                [endpoint for endpoint in endpoints if endpoint.database == database],
            )
            for database, entry in newest.databases.items()
        )
    )
    first = assignments.find_first_version(local_coordinator.store.era or 0)
    local_member.assignments = assignments.Assignments(
        version=max(newest.version + 1, first),
        databases={
            database: attrs.evolve(
                entry,
                version=max(entry.version + 1, first),
                # The store may have lost that a call was repeated.
                unsettled=entry.unsettled or newest.databases[database].promoting,
            )
            for database, entry in zip(newest.databases, checked, strict=True)
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
    await local_coordinator.recorder.save_repeatedly()


async def _ask_members(local_coordinator) -> int:
    """Ask all known members for the version of their assignments.

    Returns
    -------
    int
        Number of members that were asked.
    """
    asked = list(local_coordinator.grant_table.members.values())
    message = exchange.Recall(epoch=local_coordinator.record.epoch, full=False)
    for state in asked:
        local_coordinator.send(state.host, state.address, message)
    # The coordinator that was replaced rarely answers.
    awaited = {state.host for state in asked} - {local_coordinator.predecessor}
    recalled = local_coordinator.recalled
    await _wait_for(lambda: awaited <= recalled.keys())
    return len(asked)


async def _fetch_newest(
    local_coordinator, stored: assignments.Assignments
) -> assignments.Assignments:
    """Return the assignments with the highest version, the store's or a member's.

    Each change raises the version, so the highest one includes all changes.
    """
    recalled = local_coordinator.recalled
    ranked = sorted(recalled, key=lambda host: recalled[host].version, reverse=True)
    message = exchange.Recall(epoch=local_coordinator.record.epoch, full=True)
    for host in ranked:
        state = local_coordinator.grant_table.members.get(host)
        if recalled[host].version <= stored.version:
            break
        if state is None:
            continue
        told = recalled[host].version
        local_coordinator.send(host, state.address, message)
        await _wait_for(lambda host=host: recalled[host].assignments is not None)
        if recalled[host].assignments is not None:
            found = assignments.decode_assignments(recalled[host].assignments)
            # A member that was restarted since the first question knows nothing.
            if found.version >= told:
                return found
    return stored


async def _wait_for(condition) -> None:
    """Poll a condition until it holds or ``RECALL_SECONDS`` have passed."""
    deadline = clocks.read_clock() + RECALL_SECONDS
    while not condition() and clocks.read_clock() < deadline:
        await asyncio.sleep(member.RELEASE_CHECK_SECONDS)


async def _check_assignment(
    gateway, entry: assignments.Assignment, endpoints: list
) -> assignments.Assignment:
    """Return the assignment that the endpoints of a database show.

    An endpoint that knows a later term than the assignment tells that the primary was
    replaced. If the later primary does not answer, the assignment names none, and a
    change of primary chooses one.
    """
    deadline = clocks.read_clock() + RECALL_SECONDS
    found = await asyncio.gather(
        *(_ask_status(gateway, endpoint, deadline) for endpoint in endpoints)
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


async def _ask_status(gateway, endpoint, deadline: float):
    """Ask an endpoint for its status, again while it is busy; None without one."""
    while True:
        end = await replication.ask_log_end(gateway, endpoint)
        if end is None or end.exact or clocks.read_clock() >= deadline:
            break
        await asyncio.sleep(member.RELEASE_CHECK_SECONDS)
    return end if end is not None and end.exact else None
