"""Renewal of the coordinator's lease, whose answers carry its authority."""

import asyncio

import attrs

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, election, timing


async def renew(leading) -> None:
    """Renew the lease while a node coordinates."""
    while leading.active:
        sent_at = clocks.read_clock()
        renewed = await leading.store.renew_lease(
            leading.record.lease, timing.RENEWAL_SECONDS * 2
        )
        if renewed.is_ok():
            leading.ledger.confirmed_at = max(leading.ledger.confirmed_at, sent_at)
            leading.store_contact_at = clocks.read_clock()
        elif renewed.err_value.status == election.NOT_FOUND_STATUS:
            await replace_lease(leading)
        pause = timing.RENEWAL_SECONDS - (clocks.read_clock() - sent_at)
        await asyncio.sleep(max(0.05, pause))


async def replace_lease(leading) -> None:
    """Get a new lease, or stop if another node coordinates."""
    lease = await leading.store.grant_lease(timing.LEASE_SECONDS)
    if lease.is_err():
        return
    record = attrs.evolve(leading.record, lease=lease.ok_value)
    sent_at = clocks.read_clock()
    written = await leading.store.change(
        {assignments.COORDINATOR_KEY: leading.revision},
        {assignments.COORDINATOR_KEY: assignments.encode(record)},
    )
    if written.is_ok():
        leading.record = record
        leading.revision = written.ok_value
        leading.ledger.confirmed_at = sent_at
        leading.local.follow(record)
    elif written.err_value.status == election.CONFLICT_STATUS:
        found = await leading.store.get(assignments.COORDINATOR_KEY)
        if found.is_err() or found.ok_value is None:
            return
        current = assignments.decode_coordinator(found.ok_value.value)
        if current.epoch == leading.record.epoch and (
            current.incarnation == leading.record.incarnation
        ):
            # This replacement or an earlier one took effect without an answer.
            leading.record = current
            leading.revision = found.ok_value.revision
            leading.local.follow(current)
        else:
            leading.stop("replaced in the store")
            leading.local.follow(current)
