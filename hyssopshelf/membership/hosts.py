"""Failure detection by probes and gossip (SWIM [1]_ with Lifeguard [2]_ rules).

Each node probes one host per second, in random order. If the host does not
answer, the node asks three others to probe it, then suspects it, and declares it
dead if the suspicion is not refuted in time. Changes are piggybacked on the
probe messages. docs/membership.md gives the reasons, limits and measurements.

References
----------
.. [1] Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style
   Process Group Membership Protocol", DSN 2002.
.. [2] Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
   Accurate Failure Detection", DSN-W 2018.
"""

from hyssopshelf import base, logs
from hyssopshelf.membership import (
    exchange,
    protocol,
    records,
    rendezvous,
    tables,
    transitions,
)

PROBE_PERIOD_SECONDS = 1.0
"""Interval between the regular probes that a node sends."""

DIRECT_TIMEOUT_SECONDS = 0.3
"""Time without an acknowledgement after which indirect probes are requested.

A round trip between regions takes 24 ms and each side may add a tick of 50 ms.
"""

INDIRECT_TIMEOUT_SECONDS = 0.7
"""Time without an acknowledgement after which the target is suspected."""

NEWS_PERIOD_SECONDS = 0.25
"""Minimum interval between messages sent only to spread fresh changes."""

EARLY_PROBE_PERIOD_SECONDS = 0.25
"""Minimum time between the last probe and one sent ahead of its turn."""

INDIRECT_PROBERS = 3
"""Number of hosts that are asked to probe a target that does not answer."""

ISOLATION_SECONDS = 2.5
"""Time without a message from any host after which a node considers itself isolated.

It must be shorter than INDIRECT_TIMEOUT_SECONDS plus the suspicion time, so that
an isolated node detects its isolation before it declares the first host dead.
"""

JOIN_PERIOD_SECONDS = 1.0
"""Interval between join attempts of a node without peers."""

READERS = 3
"""Number of hosts that read the host list or watch a key of the store."""


def step(board, now: float) -> None:
    """Send due probes, end suspicions and holds, and join if there are no peers."""
    state = board.membership
    transitions.initialize(board, now)
    own = board.hosts[board.identity.host]
    if state.next_probe_at is None:
        state.next_probe_at = now + board.random.random() * PROBE_PERIOD_SECONDS
    if board.pause_seconds > 0:
        exchange.restart_timeouts(board, now)
    if own.leaving != (board.draining or state.listed_leaving):
        transitions.announce(board, leaving=not own.leaving, now=now)
    _check_isolation(board, now)
    _advance_probe(board, now)
    _send_news(board, now)
    transitions.end_suspicions(board, now)
    transitions.end_holds(board, now)
    transitions.forget_dead(board, now)
    if state.peers == 0 and now >= state.next_join_at:
        state.next_join_at = now + JOIN_PERIOD_SECONDS
        tables.join(board)


def request_probe(board, host: str, now: float) -> None:
    """Probe a host ahead of its turn because a message to it could not be sent.

    Even in a small fleet, several seconds may pass until a host's turn. At most
    four probes per second are sent ahead of their turn.
    """
    state = board.membership
    if not exchange.is_peer(board, host) or host in state.suspects:
        return
    if host not in state.priority_targets:
        state.priority_targets.append(host)
    if state.probe is None and now - state.last_probe_at >= EARLY_PROBE_PERIOD_SECONDS:
        state.next_probe_at = now


def _next_sequence(state: protocol.Membership) -> int:
    state.sequence += 1
    return state.sequence


def _check_isolation(board, now: float) -> None:
    """Detect that no message from any host has arrived for some time.

    With a single peer, its failure cannot be told from the node's own isolation;
    the peer's state then depends on probes alone.
    """
    state = board.membership
    silent = now - state.last_message_at > ISOLATION_SECONDS
    if state.isolated_at is None and silent and state.peers > 1:
        state.isolated_at = now
        board.log(logs.LogEvent.NODE_ISOLATED, hosts=state.peers)


def _advance_probe(board, now: float) -> None:
    state = board.membership
    probe = state.probe
    if probe is not None and not probe.indirect_requested and now >= probe.indirect_at:
        probe.indirect_requested = True
        _request_indirect_probes(board, probe.target, probe.sequence)
    if probe is not None and now >= probe.suspect_at:
        state.probe = None
        _handle_silence(board, probe.target, now)
    if now < state.next_probe_at:
        return
    # A fixed schedule keeps the rate exact; probes missed in a pause are skipped.
    state.next_probe_at = max(state.next_probe_at + PROBE_PERIOD_SECONDS, now)
    for relay in [key for key, value in state.relays.items() if value.expires_at < now]:
        del state.relays[relay]
    tables.probe_dead_hosts(board, now)
    target = _choose_target(board)
    if target is None:
        return
    sequence = _next_sequence(state)
    state.last_probe_at = now
    state.probe = protocol.Probe(
        target=target,
        sequence=sequence,
        indirect_at=now + DIRECT_TIMEOUT_SECONDS,
        suspect_at=now + INDIRECT_TIMEOUT_SECONDS,
    )
    exchange.send_probe(board, target, sequence)


def _send_news(board, now: float) -> None:
    """Send fresh changes to one random host between the probes."""
    state = board.membership
    if now < state.next_news_at or not state.outbox.has_fresh_rows(board.hosts):
        return
    state.next_news_at = now + NEWS_PERIOD_SECONDS
    name = _choose_random(board)
    if name is not None:
        rows = exchange.collect_rows(board, name)
        message = protocol.News(sender=exchange.make_own_row(board), rows=rows)
        exchange.send(board, name, message)


def _choose_random(board) -> str | None:
    """Return a random live host, or None if all of a few draws hit dead ones."""
    order = board.membership.probe_order
    for _ in range(INDIRECT_PROBERS if order else 0):
        name = board.random.choice(order)
        if exchange.is_peer(board, name):
            return name
    return None


def _handle_silence(board, target: str, now: float) -> None:
    """Suspect a host; inform it at once by a direct probe and by indirect ones."""
    if transitions.suspect(board, target, now):
        exchange.send_probe(board, target, 0)
        _request_indirect_probes(board, target, 0)


def _choose_target(board) -> str | None:
    """Return the next probe target: requested ones first, then in random order.

    The random order covers all hosts before it is shuffled again, so that each
    node probes each host within a bounded time.
    """
    state = board.membership
    while state.priority_targets:
        name = state.priority_targets.pop()
        if exchange.is_peer(board, name):
            return name
    for _ in range(2):
        while state.probe_order_index < len(state.probe_order):
            name = state.probe_order[state.probe_order_index]
            state.probe_order_index += 1
            if exchange.is_peer(board, name):
                return name
        state.probe_order = [
            name for name in board.hosts if exchange.is_peer(board, name)
        ]
        board.random.shuffle(state.probe_order)
        state.probe_order_index = 0
    return None


def _request_indirect_probes(board, target: str, sequence: int) -> None:
    chosen: set[str] = set()
    # More draws than probers are needed, because draws may repeat.
    for _ in range(3 * INDIRECT_PROBERS):
        name = _choose_random(board)
        if name not in (None, target) and len(chosen) < INDIRECT_PROBERS:
            chosen.add(name)
    for name in sorted(chosen):
        message = protocol.RelayProbe(
            sequence=sequence,
            target=target,
            sender=exchange.make_own_row(board),
            rows=exchange.collect_rows(board, name),
        )
        exchange.send(board, name, message)


@base.receive.register
def receive_probe(message: protocol.ProbeHost, board, host: str, now: float) -> None:
    """Acknowledge a probe and compare the digests that it carries."""
    exchange.apply_message(board, message, host, now)
    _acknowledge(board, host, message.sequence)
    tables.compare_digests(board, host, message.digests, now)


def _acknowledge(board, host: str, sequence: int) -> None:
    message = protocol.Acknowledge(
        sequence=sequence,
        sender=exchange.make_own_row(board),
        rows=exchange.collect_rows(board, host),
        digests=board.membership.digests.pack(),
    )
    exchange.send(board, host, message)


@base.receive.register
def receive_news(message: protocol.News, board, host: str, now: float) -> None:
    """Apply changes that were sent without a probe."""
    exchange.apply_message(board, message, host, now)


@base.receive.register
def receive_acknowledge(
    message: protocol.Acknowledge, board, host: str, now: float
) -> None:
    """End the probe that the message answers, or relay it to the requesting host."""
    exchange.apply_message(board, message, host, now)
    state = board.membership
    if state.probe is not None and state.probe.sequence == message.sequence:
        state.probe = None
    relay = state.relays.pop(message.sequence, None)
    if relay is not None:
        _acknowledge(board, relay.origin, relay.sequence)
    else:
        tables.compare_digests(board, host, message.digests, now)


@base.receive.register
def receive_relay(message: protocol.RelayProbe, board, host: str, now: float) -> None:
    """Probe a host on behalf of the sender."""
    exchange.apply_message(board, message, host, now)
    if message.target not in board.hosts:
        return
    state = board.membership
    sequence = _next_sequence(state) if message.sequence else 0
    if sequence:
        state.relays[sequence] = protocol.Relay(
            origin=host,
            sequence=message.sequence,
            expires_at=now + PROBE_PERIOD_SECONDS,
        )
    exchange.send_probe(board, message.target, sequence)


def is_reader(board, key: str) -> bool:
    """Return whether this node reads a key of the platform for all nodes.

    True for the live hosts with the lowest rendezvous scores for the key, and
    for a node that is isolated or has no peers.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    key : str
        Name of the data that is read, such as ``hosts`` or ``configuration``.
    """
    if board.membership.isolated_at is not None:
        return True
    if board.membership.peers == 0:
        return True
    return board.identity.host in _find_readers(board, key)


def _find_readers(board, key: str) -> frozenset[str]:
    """Return the readers of a key, cached until a host change may affect them."""
    state = board.membership
    if key not in state.readers:
        names = rank_hosts(board, key, READERS) or [board.identity.host]
        complete = len(names) == READERS
        hashes = (rendezvous.hash_text(key), rendezvous.hash_text(names[-1]))
        state.readers[key] = protocol.Readers(
            names=frozenset(names),
            highest_score=rendezvous.mix(*hashes) if complete else rendezvous.MASK,
        )
    return state.readers[key].names


def rank_hosts(board, key: str, count: int) -> list[str]:
    """Return the live hosts with the lowest rendezvous scores for a key.

    The cost is linear in the number of hosts: 6 ms at the target size.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    key : str
        Key that the hosts are ranked for.
    count : int
        Maximum number of hosts to return.
    """
    live = (records.HostState.ALIVE, records.HostState.SUSPECT)
    candidates = [
        (rendezvous.hash_text(record.name), record.name)
        for record in board.hosts.values()
        if record.state in live and not record.leaving
    ]
    return rendezvous.rank(rendezvous.hash_text(key), candidates, count)
