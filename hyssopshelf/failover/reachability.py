"""Probes of an endpoint by other hosts.

A host that receives a request probes the endpoint once. If the endpoint does
not answer within ``PROBE_TIMEOUT_SECONDS``, the host reports a failure. It
still reports a success if the answer arrives later, because an endpoint that
answers slowly is reachable.
"""

import attrs

from hyssopshelf import base, envelopes
from hyssopshelf.failover import terms

PROBING_HOSTS = 3
"""Number of other hosts that probe a primary at the request of a watcher."""

PROBE_TIMEOUT_SECONDS = 0.5
"""Time without an answer after which a failure is reported."""

PROBE_EXPIRY_SECONDS = 15.0
"""Time after which a probe without an answer is removed."""


@envelopes.register("failover.probe")
@attrs.frozen(kw_only=True)
class ProbeRequested:
    """Asks the receiving host to probe an endpoint."""

    request_id: str
    endpoint: str


@envelopes.register("failover.reached")
@attrs.frozen(kw_only=True)
class ProbeReported:
    """Result of a requested probe: whether the endpoint answered."""

    request_id: str
    endpoint: str
    reached: bool


@attrs.define(kw_only=True)
class PeerProbe:
    """A probe that this node makes at the request of another host.

    Attributes
    ----------
    host : str
        Host that requested the probe and receives the result.
    reported : bool
        Whether a failure was reported; a later success is reported as well.
    """

    host: str
    request_id: str
    endpoint: str
    started_at: float
    reported: bool = False


@attrs.define(kw_only=True)
class ReachabilityState:
    """Probes that this node makes for other hosts, keyed by probe id."""

    probes: dict[str, PeerProbe] = attrs.field(factory=dict)


def choose_hosts(board) -> list[str]:
    """Return the hosts to ask for a probe.

    They are spread over as many places as possible, and hosts in the place of
    this node come last.
    """
    peers = terms.find_peers(board)
    board.random.shuffle(peers)
    chosen_per_place: dict[str, int] = {board.identity.place: len(peers)}
    ranked = []
    for peer in peers:
        place = board.hosts[peer].place
        ranked.append((chosen_per_place.get(place, 0), peer))
        chosen_per_place[place] = chosen_per_place.get(place, 0) + 1
    ranked.sort(key=lambda pair: pair[0])
    return [peer for _, peer in ranked[:PROBING_HOSTS]]


def request_probes(board, endpoint: str, request_id: str) -> list[str]:
    """Request probes of an endpoint from other hosts; return these hosts."""
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
    """Report the result of a probe that another host requested.

    Results of other probes are ignored. ``status`` is None if the probe failed.
    """
    probe = board.failover.reachability_state.probes.get(probe_id)
    if probe is None:
        return
    if status is not None:
        del board.failover.reachability_state.probes[probe_id]
        _report(board, probe, reached=True)
    elif not probe.reported:
        _report(board, probe, reached=False)


def step(board, now: float) -> None:
    """Report probes that timed out and remove expired ones."""
    for probe_id, probe in list(board.failover.reachability_state.probes.items()):
        if now >= probe.started_at + PROBE_EXPIRY_SECONDS:
            del board.failover.reachability_state.probes[probe_id]
        elif not probe.reported and now >= probe.started_at + PROBE_TIMEOUT_SECONDS:
            if board.pause_seconds > 0:
                # After a pause of this process the answer may be received but
                # unread, so the timeout starts again.
                probe.started_at = now
            else:
                _report(board, probe, reached=False)


@base.receive.register
def _(message: ProbeRequested, board, host: str, now: float) -> None:
    probe_id = board.next_id()
    if message.endpoint not in board.endpoints:
        # A host that does not know the endpoint cannot probe it.
        return
    board.failover.reachability_state.probes[probe_id] = PeerProbe(
        host=host,
        request_id=message.request_id,
        endpoint=message.endpoint,
        started_at=now,
    )
    board.act(base.ProbeStatus(endpoint=message.endpoint, probe_id=probe_id))


def _report(board, probe: PeerProbe, *, reached: bool) -> None:
    probe.reported = True
    board.act(
        base.SendPeer(
            host=probe.host,
            message=ProbeReported(
                request_id=probe.request_id, endpoint=probe.endpoint, reached=reached
            ),
        )
    )
