"""Helpers shared by all membership messages: sending, rows and message receipt."""

from hyssopshelf import base, logs
from hyssopshelf.membership import gossip, protocol, records, transitions


def send(board, host: str, message) -> None:
    """Send a message to a host name, or to an address if the name is unknown."""
    board.act(base.SendPeer(host=host, message=message))


def make_own_row(board) -> gossip.Row:
    """Return the membership row of this host."""
    return gossip.make_row(board.hosts[board.identity.host])


def is_peer(board, name: str) -> bool:
    """Return whether a name belongs to another host that is not dead."""
    record = board.hosts.get(name)
    return (
        record is not None
        and record.state is not records.HostState.DEAD
        and name != board.identity.host
    )


def collect_rows(board, receiver: str) -> tuple[gossip.Row, ...]:
    """Return the rows to piggyback on a message.

    A receiver that this node suspects or considers dead always gets the row
    about itself, so that it can refute it.
    """
    rows = board.membership.outbox.take(board.hosts, board.identity.host)
    record = board.hosts.get(receiver)
    if record is not None and gossip.get_state_code(record) >= gossip.SUSPECT:
        rows = [gossip.make_row(record), *rows]
    return tuple(rows)


def send_probe(board, host: str, sequence: int) -> None:
    """Send a probe; the acknowledgement of sequence 0 is not tracked."""
    message = protocol.ProbeHost(
        sequence=sequence,
        sender=make_own_row(board),
        rows=collect_rows(board, host),
        digests=board.membership.digests.pack(),
    )
    board.count("membership_probes")
    send(board, host, message)


def restart_timeouts(board, now: float) -> None:
    """Drop the open probe and restart all timeouts after a pause or an isolation.

    Silence that the node itself caused is no evidence against other hosts.
    """
    state = board.membership
    state.probe = None
    state.last_message_at = now
    for name in state.suspects:
        state.suspects[name] = now + transitions.SUSPICION_SECONDS


def record_message(board, now: float) -> None:
    """Record that a message arrived from another host; this ends an isolation."""
    state = board.membership
    state.last_message_at = now
    if state.isolated_at is not None:
        seconds = round(now - state.isolated_at, 3)
        state.isolated_at = None
        restart_timeouts(board, now)
        board.log(logs.LogEvent.NODE_REACHED, isolated_seconds=seconds)


def apply_message(board, message, host: str, now: float) -> None:
    """Apply the row of the sender and the piggybacked rows of a message."""
    transitions.initialize(board, now)
    record_message(board, now)
    transitions.apply_row(board, message.sender, now)
    for row in getattr(message, "rows", ()):
        transitions.apply_row(board, row, now)
