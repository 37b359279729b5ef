"""Renewal of the coordinator's lease; each renewal extends its authority."""

import asyncio

import attrs

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, election, timing


async def renew(local_coordinator) -> None:
    """Renew the lease until this node stops coordinating.

    Authority counts from the sending of a renewal, so a late answer extends it less.
    """
    while local_coordinator.active:
        sent_at = clocks.read_clock()
        renewed = await local_coordinator.store.renew_lease(
            local_coordinator.record.lease, timing.RENEWAL_SECONDS * 2
        )
        if renewed.is_ok():
            local_coordinator.grant_table.confirmed_at = max(
                local_coordinator.grant_table.confirmed_at, sent_at
            )
            local_coordinator.store_contact_at = clocks.read_clock()
        elif renewed.err_value.status == election.NOT_FOUND_STATUS:
            await replace_lease(local_coordinator)
        pause = timing.RENEWAL_SECONDS - (clocks.read_clock() - sent_at)
        await asyncio.sleep(max(0.05, pause))


async def replace_lease(local_coordinator) -> None:
    """Replace a lease that the store no longer has.

    Stops the coordinator if the store names another one.
    """
    lease = await local_coordinator.store.grant_lease(timing.LEASE_SECONDS)
    if lease.is_err():
        return
    record = attrs.evolve(local_coordinator.record, lease=lease.ok_value)
    sent_at = clocks.read_clock()
    written = await local_coordinator.store.change(
        {assignments.COORDINATOR_KEY: local_coordinator.revision},
        {assignments.COORDINATOR_KEY: assignments.encode(record)},
    )
    if written.is_ok():
        local_coordinator.record = record
        local_coordinator.revision = written.ok_value
        local_coordinator.grant_table.confirmed_at = sent_at
        local_coordinator.local_member.follow(record)
    elif written.err_value.status == election.CONFLICT_STATUS:
        found = await local_coordinator.store.get(assignments.COORDINATOR_KEY)
        if found.is_err() or found.ok_value is None:
            return
        current = assignments.decode_coordinator(found.ok_value.value)
        if current.epoch == local_coordinator.record.epoch and (
            current.incarnation == local_coordinator.record.incarnation
        ):
            # An earlier write of a new lease took effect although its answer was lost.
            local_coordinator.record = current
            local_coordinator.revision = found.ok_value.revision
            local_coordinator.local_member.follow(current)
        else:
            local_coordinator.stop("another coordinator is recorded in the store")
            local_coordinator.local_member.follow(current)
