"""State transitions of the hosts in the host table of this node.

All changes of the table go through this module, which keeps the digests, the
queue of rows to send and the counters consistent with it.
"""

from hyssopshelf import logs
from hyssopshelf.membership import gossip, records, rendezvous

SUSPICION_SECONDS = 2.0
"""Time to refute a suspicion that this node raised itself, in seconds."""

REPORTED_SUSPICION_SECONDS = 4.0
"""Time to refute a suspicion reported by another host, in seconds.

Usually the reporting host declares the death. The longer time lets a refutation,
which starts later than the suspicion, arrive first: with 5% message loss and 400
nodes it reduced false deaths from 12 to 0 in the same trial.
"""

FORGET_SECONDS = 600.0
"""Time for which the record of a dead host is kept.

It exceeds the lag of the host list and the time that rows take to spread, so that
stale rows cannot revive the host. With 4,100 restarts a day, 28 records are kept.
"""

STABLE_SECONDS = 5.0
"""Time that a host must be stable after its first flap before it is usable."""

MAXIMUM_STABLE_SECONDS = 60.0
"""Upper bound on the stable time, which doubles with each flap."""

FLAP_WINDOW_SECONDS = 300.0
"""Time after a failure within which the next failure counts as a flap."""


def ensure_own_record(board, now: float) -> records.HostRecord:
    """Return the record of this host, creating it at the first call."""
    identity = board.identity
    record = board.hosts.get(identity.host)
    if record is None:
        record = records.HostRecord(
            name=identity.host,
            address=identity.address,
            place=identity.place,
            region=identity.region,
            incarnation=identity.incarnation,
        )
        _add_record(board, record)
        _log_alive(board, record)
    return record


def initialize(board, now: float) -> None:
    """Compute digests and counters from existing records, at the first call only."""
    state = board.membership
    if state.last_message_at is not None:
        return
    state.last_message_at = now
    ensure_own_record(board, now)
    state.digests = gossip.Digests()
    for record in board.hosts.values():
        state.digests.toggle(record)
        state.regions[record.place] = record.region
    dead = sum(r.state is records.HostState.DEAD for r in board.hosts.values())
    state.peers = len(board.hosts) - dead - 1


def _mark_changed(board, name: str) -> None:
    """Mark a host whose usability or moved endpoints may have changed.

    Drops the cached readers of each key that this host may affect.
    """
    state = board.membership
    state.version += 1
    state.changed_hosts.add(name)
    for key, readers in list(state.readers.items()):
        score = rendezvous.mix(rendezvous.hash_text(key), rendezvous.hash_text(name))
        if score <= readers.highest_score:
            del state.readers[key]


def _add_record(board, record: records.HostRecord) -> None:
    state = board.membership
    board.hosts[record.name] = record
    state.regions[record.place] = record.region
    state.digests.toggle(record)
    state.outbox.add(record.name)
    _mark_changed(board, record.name)
    if record.name != board.identity.host:
        state.peers += 1


def _update_record(board, record: records.HostRecord, **values) -> None:
    """Set fields of a record and update the digests, send queue and peer count."""
    state = board.membership
    was_dead = record.state is records.HostState.DEAD
    state.digests.toggle(record)
    for name, value in values.items():
        setattr(record, name, value)
    state.digests.toggle(record)
    state.outbox.add(record.name)
    is_dead = record.state is records.HostState.DEAD
    if record.name != board.identity.host:
        state.peers += was_dead - is_dead


def announce(
    board,
    *,
    now: float,
    leaving: bool | None = None,
    moved: tuple[str, ...] | None = None,
    refutation: int = 0,
) -> None:
    """Announce a new state of this host that overrides older rows about it.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    now : float
        Time on the node's monotonic clock, in seconds.
    leaving : bool or None
        Whether the host is leaving; None for no change.
    moved : tuple of str or None
        Ids of endpoints moved to the next host in their ranking; None for no
        change.
    refutation : int
        Refutation number that the announcement must exceed.
    """
    record = ensure_own_record(board, now)
    leaving = record.leaving if leaving is None else leaving
    moved = record.moved if moved is None else moved
    state = records.HostState.LEAVING if leaving else records.HostState.ALIVE
    if (leaving, moved) != (record.leaving, record.moved):
        _mark_changed(board, record.name)
    if leaving != record.leaving:
        board.log(logs.LogEvent.HOST_LEAVING, host=record.name, leaving=leaving)
    refutation = max(refutation, record.refutation) + 1
    _update_record(
        board,
        record,
        state=state,
        leaving=leaving,
        moved=moved,
        refutation=refutation,
    )


def apply_row(board, row: gossip.Row, now: float) -> None:
    """Apply a row about a host if it is newer than the record of this node."""
    name, incarnation, refutation, code = row[:4]
    if name == board.identity.host:
        _refute_suspicion(board, row, now)
        return
    record = board.hosts.get(name)
    if record is None:
        _add_unknown(board, row)
    elif not gossip.is_newer(row, record):
        return
    elif code == gossip.DEAD:
        _mark_dead(board, record, now, incarnation, refutation)
    elif code == gossip.SUSPECT:
        _mark_suspect(board, record, now, incarnation, refutation)
    else:
        _mark_live(board, record, row, now)


def _refute_suspicion(board, row: gossip.Row, now: float) -> None:
    """Refute a suspicion or death of this host in its current incarnation."""
    own = ensure_own_record(board, now)
    _, incarnation, refutation, code = row[:4]
    current = incarnation == own.incarnation and refutation >= own.refutation
    if current and code >= gossip.SUSPECT:
        board.count("membership_refutations")
        board.log(logs.LogEvent.SUSPICION_REFUTED, host=own.name)
        announce(board, now=now, refutation=refutation)


def _add_unknown(board, row: gossip.Row) -> None:
    name, incarnation, refutation, code, address, place, region, moved = row
    if code >= gossip.SUSPECT or not address:
        return
    leaving = code == gossip.LEAVING
    record = records.HostRecord(
        name=name,
        address=address,
        place=place,
        region=region,
        state=records.HostState.LEAVING if leaving else records.HostState.ALIVE,
        incarnation=incarnation,
        refutation=refutation,
        leaving=leaving,
        moved=moved,
    )
    _add_record(board, record)
    board.membership.candidates.pop(name, None)
    _log_alive(board, record)


def _log_alive(board, record: records.HostRecord) -> None:
    board.log(
        logs.LogEvent.HOST_ALIVE,
        host=record.name,
        place=record.place,
        incarnation=record.incarnation,
    )


def suspect(board, name: str, now: float) -> bool:
    """Suspect a host that did not answer; return whether its state changed."""
    record = board.hosts.get(name)
    if record is None or gossip.get_state_code(record) >= gossip.SUSPECT:
        return False
    board.count("membership_suspicions")
    _mark_suspect(board, record, now, record.incarnation, record.refutation)
    board.membership.suspects[name] = now + SUSPICION_SECONDS
    return True


def _mark_suspect(board, record, now, incarnation, refutation) -> None:
    board.membership.suspects[record.name] = now + REPORTED_SUSPICION_SECONDS
    if record.state is records.HostState.DEAD:
        _record_return(board, record, now)
    _update_record(
        board,
        record,
        state=records.HostState.SUSPECT,
        incarnation=incarnation,
        refutation=refutation,
    )
    board.log(logs.LogEvent.HOST_SUSPECTED, host=record.name)


def _mark_dead(board, record, now, incarnation, refutation) -> None:
    state = board.membership
    state.suspects.pop(record.name, None)
    if record.state is not records.HostState.DEAD:
        _record_failure(record, now)
        _mark_changed(board, record.name)
        state.dead[record.name] = now + FORGET_SECONDS
        board.count("membership_deaths")
        board.log(logs.LogEvent.HOST_DEAD, host=record.name, flaps=record.flaps)
    _update_record(
        board,
        record,
        state=records.HostState.DEAD,
        incarnation=incarnation,
        refutation=refutation,
    )


def _mark_live(board, record, row: gossip.Row, now: float) -> None:
    """Apply an alive or leaving row, which originates from the host itself."""
    _, incarnation, refutation, code, address, place, region, moved = row
    state = board.membership
    state.suspects.pop(record.name, None)
    leaving = code == gossip.LEAVING
    was_dead = record.state is records.HostState.DEAD
    restarted = incarnation != record.incarnation
    if restarted and not was_dead and not record.leaving:
        _record_failure(record, now)
    if restarted or was_dead:
        _record_return(board, record, now)
    if (leaving, place, moved) != (record.leaving, record.place, record.moved):
        _mark_changed(board, record.name)
    if leaving and not record.leaving:
        board.log(logs.LogEvent.HOST_LEAVING, host=record.name, leaving=True)
    _update_record(
        board,
        record,
        state=records.HostState.LEAVING if leaving else records.HostState.ALIVE,
        incarnation=incarnation,
        refutation=refutation,
        leaving=leaving,
        address=address,
        place=place,
        region=region,
        moved=moved,
    )
    state.regions[place] = region
    if restarted or was_dead:
        _log_alive(board, record)


def _record_failure(record: records.HostRecord, now: float) -> None:
    recent = now - record.failed_at < FLAP_WINDOW_SECONDS
    record.flaps = record.flaps + 1 if recent else 0
    record.failed_at = now


def _record_return(board, record: records.HostRecord, now: float) -> None:
    """Hold back a returning host that flapped until it has been stable."""
    state = board.membership
    state.dead.pop(record.name, None)
    _mark_changed(board, record.name)
    if record.flaps == 0:
        return
    seconds = min(STABLE_SECONDS * 2 ** (record.flaps - 1), MAXIMUM_STABLE_SECONDS)
    record.usable_from = now + seconds
    state.held[record.name] = record.usable_from
    board.log(logs.LogEvent.HOST_HELD, host=record.name, seconds=seconds)


def end_suspicions(board, now: float) -> None:
    """Declare suspects dead whose suspicion has expired.

    An isolated node declares only those suspects dead that are missing from a
    host list read since its isolation began.
    """
    state = board.membership
    ended = [name for name, end in state.suspects.items() if end <= now]
    for name in ended:
        if state.isolated_at is not None and (
            state.listed_at < state.isolated_at or name in state.listed
        ):
            continue
        record = board.hosts[name]
        _mark_dead(board, record, now, record.incarnation, record.refutation)


def end_holds(board, now: float) -> None:
    """Make held hosts usable again whose stable time has passed."""
    state = board.membership
    for name in [name for name, end in state.held.items() if end <= now]:
        del state.held[name]
        _mark_changed(board, name)


def forget_dead(board, now: float) -> None:
    """Delete the records of hosts that died ``FORGET_SECONDS`` ago or earlier."""
    state = board.membership
    while state.dead:
        name, forget_at = next(iter(state.dead.items()))
        if forget_at > now:
            return
        del state.dead[name]
        state.held.pop(name, None)
        del board.hosts[name]
        board.log(logs.LogEvent.HOST_FORGOTTEN, host=name)
