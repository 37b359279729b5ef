"""Which host serves which endpoint: rendezvous hash among the usable hosts."""

import hashlib

from hyssopshelf import logs


def compute_weight(endpoint: str, host: str) -> int:
    """Return the rendezvous weight of a host for an endpoint."""
    digest = hashlib.blake2b(f"{endpoint}\0{host}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def locate(board, endpoint: str, now: float) -> str:
    """Return the serving host of an endpoint, empty if there is none."""
    record = board.endpoints.get(endpoint)
    if record is None:
        return ""
    usable = [h for h in board.hosts.values() if h.state.value in ("alive", "suspect")]
    near = [h for h in usable if h.place == record.place] or usable
    if not near:
        return ""
    chosen = max(near, key=lambda h: compute_weight(endpoint, h.name)).name
    if board.placement.get(endpoint) != chosen:
        board.placement[endpoint] = chosen
        board.log(
            logs.LogEvent.ENDPOINT_PLACED,
            endpoint=endpoint,
            host=chosen,
            reason="rendezvous hash",
        )
    return chosen


def step(board, now: float) -> None:
    """Recompute the placement of all endpoints."""
    for endpoint in board.endpoints:
        locate(board, endpoint, now)
