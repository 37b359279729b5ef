"""Asking other hosts whether they reach an endpoint.

A host that is asked probes the endpoint once. It reports a failure after
``ANSWER_SECONDS``, and reports success even if the answer comes later, because
a slow answer is an answer.
"""

import attrs

from hyssopshelf import base, messages
from hyssopshelf.failover import terms

ASKED_HOSTS = 3
"""Hosts that are asked to probe a primary."""

ANSWER_SECONDS = 0.5
"""Time that an asked host waits before it reports a failure."""

KEPT_SECONDS = 15.0
"""Time after which an unanswered probe is forgotten."""


@messages.register("failover.probe")
@attrs.frozen(kw_only=True)
class ProbeRequested:
    """Ask a host to probe an endpoint."""

    request_id: str
    endpoint: str


@messages.register("failover.reached")
@attrs.frozen(kw_only=True)
class ProbeReported:
    """Whether the endpoint of a request answered the host that was asked."""

    request_id: str
    endpoint: str
    reached: bool


@attrs.define(kw_only=True)
class AskedProbe:
    """A probe made for another host."""

    host: str
    request_id: str
    endpoint: str
    asked_at: float
    reported: bool = False


@attrs.define(kw_only=True)
class ReachabilityState:
    """Probes that this node makes for others, by probe id."""

    probes: dict[str, AskedProbe] = attrs.field(factory=dict)


def choose_hosts(board) -> list[str]:
    """Return the hosts to ask: in other places first, in many places."""
    peers = terms.find_peers(board)
    board.random.shuffle(peers)
    seen: dict[str, int] = {board.identity.place: len(peers)}
    ranked = []
    for peer in peers:
        place = board.hosts[peer].place
        ranked.append((seen.get(place, 0), peer))
        seen[place] = seen.get(place, 0) + 1
    ranked.sort(key=lambda pair: pair[0])
    return [peer for _, peer in ranked[:ASKED_HOSTS]]


def ask_hosts(board, endpoint: str, request_id: str) -> list[str]:
    """Ask other hosts to probe an endpoint; return the hosts."""
    hosts = choose_hosts(board)
    for host in hosts:
        board.act(
            base.SendPeer(
                host=host,
                message=ProbeRequested(request_id=request_id, endpoint=endpoint),
            )
        )
    return hosts


def receive_status(board, probe_id: str, status) -> None:
    """Report the end of a probe that another host asked for."""
    probe = board.failover.reachability_state.probes.get(probe_id)
    if probe is None:
        return
    if status is not None:
        del board.failover.reachability_state.probes[probe_id]
        _report(board, probe, reached=True)
    elif not probe.reported:
        _report(board, probe, reached=False)


def step(board, now: float) -> None:
    """Report failures in time and forget old probes."""
    for probe_id, probe in list(board.failover.reachability_state.probes.items()):
        if now >= probe.asked_at + KEPT_SECONDS:
            del board.failover.reachability_state.probes[probe_id]
        elif not probe.reported and now >= probe.asked_at + ANSWER_SECONDS:
            if board.pause_seconds > 0:
                # The answer may wait unread in this process.
                probe.asked_at = now
            else:
                _report(board, probe, reached=False)


@base.receive.register
def _(message: ProbeRequested, board, host: str, now: float) -> None:
    probe_id = board.next_id()
    if message.endpoint not in board.endpoints:
        # A host that does not know the endpoint cannot tell anything.
        return
    board.failover.reachability_state.probes[probe_id] = AskedProbe(
        host=host,
        request_id=message.request_id,
        endpoint=message.endpoint,
        asked_at=now,
    )
    board.act(base.ProbeStatus(endpoint=message.endpoint, probe_id=probe_id))


def _report(board, probe: AskedProbe, *, reached: bool) -> None:
    probe.reported = True
    board.act(
        base.SendPeer(
            host=probe.host,
            message=ProbeReported(
                request_id=probe.request_id, endpoint=probe.endpoint, reached=reached
            ),
        )
    )
