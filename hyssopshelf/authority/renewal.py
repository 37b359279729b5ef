"""Renewal of the coordinator's lease; each renewal extends its authority.

If the store returns from an older copy, the coordinator records itself again.
"""

import asyncio

import attrs

from hyssopshelf import clocks, logs
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
    era = local_coordinator.store.era or 0
    if era > election.find_era(local_coordinator.record.epoch):
        await record_again(local_coordinator)
        return
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
        await check_record(local_coordinator)


async def admit(local_coordinator, host: str) -> None:
    """Grant a host something again, once the store has recorded that this may be."""
    while local_coordinator.active and host in local_coordinator.record.withheld:
        recorder = local_coordinator.recorder
        if recorder is None:  # The assignments are not loaded yet.
            await asyncio.sleep(timing.ELECTION_CHECK_SECONDS)
        elif not await recorder.admit(host):
            await asyncio.sleep(timing.PING_SECONDS)
    if not local_coordinator.active:
        return
    logs.write(logs.LogEvent.MEMBER_ADMITTED, {"member": host})
    state = local_coordinator.grant_table.members.get(host)
    if state is not None:
        local_coordinator.announce_to(host, state.address)


async def check_record(local_coordinator) -> None:
    """Read the coordinator's record after the store refused a write.

    Stops the coordinator if the store names another one, and pings that one: it may
    not know that the write of its record took effect.
    """
    found = await local_coordinator.store.get(assignments.COORDINATOR_KEY)
    if found.is_err() or found.ok_value is None or not local_coordinator.active:
        return
    current = assignments.decode_coordinator(found.ok_value.value)
    known = local_coordinator.record
    if (current.epoch, current.incarnation) == (known.epoch, known.incarnation):
        # An earlier write of a new lease took effect although its answer was lost.
        local_coordinator.record = current
        local_coordinator.revision = found.ok_value.revision
        local_coordinator.local_member.follow(current)
        return
    if election.find_era(known.epoch) < (local_coordinator.store.era or 0):
        # The renewal of the lease finds out what the restored store has lost.
        return
    local_coordinator.stop("another coordinator is recorded in the store")
    local_coordinator.local_member.follow(current)
    local_coordinator.local_member.ping()


async def record_again(local_coordinator) -> None:
    """Record the coordinator and its assignments in a store that was restored.

    The store may have lost both. While the coordinator has authority, no other one can
    have changed an assignment; without it, it stops, and the next one finds out what
    the store has lost.
    """
    store, known = local_coordinator.store, local_coordinator.record
    lease = await store.grant_lease(timing.LEASE_SECONDS)
    found = await store.get(assignments.COORDINATOR_KEY)
    if lease.is_err() or found.is_err():
        return
    entry, found_epoch = found.ok_value, 0
    if entry is not None:
        current = assignments.decode_coordinator(entry.value)
        found_epoch = current.epoch
        if current.epoch > known.epoch:
            local_coordinator.stop("another coordinator is recorded in the store")
            local_coordinator.local_member.follow(current)
            return
    sent_at = clocks.read_clock()
    if not local_coordinator.has_authority(sent_at):
        local_coordinator.stop("no authority when the store was restored")
        return
    record = attrs.evolve(
        known,
        epoch=election.find_next_epoch(known.epoch, store.era or 0),
        lease=lease.ok_value,
    )
    written = await store.change(
        {assignments.COORDINATOR_KEY: entry.revision if entry else 0},
        {assignments.COORDINATOR_KEY: assignments.encode(record)},
    )
    if written.is_err():
        return
    local_coordinator.record, local_coordinator.revision = record, written.ok_value
    local_coordinator.grant_table.confirmed_at = sent_at
    local_coordinator.local_member.follow(record)
    local_coordinator.registry.register_again()
    local_coordinator.announce()
    # Assignments that are not loaded or recovered yet are saved after that.
    if local_coordinator.recorder is not None and not local_coordinator.recovering:
        local_coordinator.run_in_background(
            local_coordinator.recorder.save_repeatedly()
        )
    logs.write(
        logs.LogEvent.COORDINATION_RECORDED,
        {
            "epoch": record.epoch,
            "before": known.epoch,
            "found": found_epoch,
            "assignments": local_coordinator.local_member.assignments.version,
        },
    )
