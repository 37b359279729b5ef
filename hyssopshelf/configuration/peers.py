"""Selection of the hosts that a node exchanges configuration with."""

from collections.abc import Collection

from hyssopshelf.membership import hosts

RECEIVING = frozenset({"alive", "suspect", "leaving"})
"""Membership states of hosts that may run statements and need configuration."""

WATCHERS = 3
"""Hosts that watch the store; tolerates one crashed and one partitioned host."""

_WATCH_KEY = "configuration"

_SAMPLES_PER_PEER = 4


def _is_usable(board, name: str, excluded: Collection[str]) -> bool:
    return (
        name != board.identity.host
        and name not in excluded
        and board.hosts[name].state.value in RECEIVING
    )


def list_peers(board, excluded: Collection[str] = ()) -> list[str]:
    """Return the names of all other hosts that receive configuration."""
    return [name for name in board.hosts if _is_usable(board, name, excluded)]


def choose_peers(board, count: int, excluded: Collection[str] = ()) -> list[str]:
    """Return up to ``count`` random peers.

    A few names are drawn and checked first: filtering thousands of hosts for
    each message would cost more than the message.
    """
    names = list(board.hosts)
    draws = min(len(names), count * _SAMPLES_PER_PEER)
    drawn = board.random.sample(names, draws)
    chosen = [name for name in drawn if _is_usable(board, name, excluded)][:count]
    if len(chosen) == count:
        return chosen
    usable = list_peers(board, excluded)
    return board.random.sample(usable, min(count, len(usable)))


def choose_any(board) -> list[str]:
    """Return one random peer, a host considered dead if no other is left.

    A partitioned node considers all other hosts dead and still has to detect
    that it can reach them again.
    """
    chosen = choose_peers(board, 1)
    if chosen:
        return chosen
    others = [name for name in board.hosts if name != board.identity.host]
    return board.random.sample(others, min(1, len(others)))


def watcher_index(board) -> int | None:
    """Return this node's position among the watchers, None if it is not one.

    Ranking all hosts takes about a millisecond per 1,000 hosts, so the result
    is cached until the membership changes.
    """
    version, lowest = board.configuration.watchers
    if version != board.membership.version:
        version = board.membership.version
        lowest = tuple(hosts.rank_hosts(board, _WATCH_KEY, WATCHERS))
        board.configuration.watchers = (version, lowest)
    host = board.identity.host
    return lowest.index(host) if host in lowest else None
