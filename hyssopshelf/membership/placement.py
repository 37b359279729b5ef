"""Assign each endpoint to the host that serves it.

Uses rendezvous hashing among the usable hosts of the endpoint's place, with a
bound on the endpoints of one host. Each node computes the same result from the
same hosts and endpoints. The highest-ranked hosts of each endpoint are cached, so
that a change of one host costs one score per endpoint of its place.

References
----------
.. [1] Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads",
   SODA 2018.
"""

import collections
import math

import attrs

from hyssopshelf import logs
from hyssopshelf.membership import records, rendezvous

LOAD_FACTOR = 1.25
"""Upper bound on the endpoints of a host, relative to the mean of its place.

A lower factor balances better and moves more endpoints when a host joins or
fails; bench_placement compares it with no bound.
"""

CHOICES = 6
"""Number of hosts cached for each endpoint, in the order of their scores."""

MINIMUM_CHOICES = 3
"""Number of cached hosts below which an endpoint is ranked again."""

SCORES_PER_TICK = 20_000
"""Upper bound on the scores computed per tick, about 8 ms of processor time.

At the target size a starting node ranks its own place within 2 s and all places
within 25 s, instead of blocking for 6 s.
"""

REVIEW_SECONDS = 30.0
"""Interval between comparisons of all hosts and endpoints with the tables.

They find changes that were not reported, and take 10 to 16 ms at the target size.
"""


NOT_USABLE: tuple[str, tuple[str, ...]] = ("", ())
"""Place and moved endpoints that stand for an unusable host."""


@attrs.define(kw_only=True)
class PlaceTable:
    """Usable hosts of a place, and the ranked hosts of its endpoints.

    Attributes
    ----------
    hosts : dict of str to int
        Hashes of the usable hosts by name.
    choices : dict of str to tuple of str
        Cached hosts of each endpoint, best one first; empty until it is ranked.
    moved : dict of str to tuple of str
        Ids of the endpoints that a host moved to the next host in their ranking.
    unranked : dict of str to None
        Endpoints that have to be ranked, in this order.
    dirty : bool
        Whether the endpoints have to be assigned again.
    ordered : list of str or None
        Endpoints in the order of assignment; None if it has to be computed.
    """

    hosts: dict[str, int] = attrs.field(factory=dict)
    choices: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    moved: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    unranked: dict[str, None] = attrs.field(factory=dict)
    dirty: bool = True
    ordered: list[str] | None = None


@attrs.define(kw_only=True)
class PlacementState:
    """Inputs and results of placement at this node.

    Attributes
    ----------
    tables : dict of str to PlaceTable
        Tables by place, for places with usable hosts.
    known_hosts : dict of str to tuple of (str, tuple of str)
        Place of each usable host and the endpoints that it moved.
    shared_pairs : dict of tuple to tuple
        The distinct values of ``endpoint_places``, shared to save memory.
    endpoint_places : dict of str to tuple of (str, str)
        Declared place of each endpoint and the place that serves it.
    served_endpoints : set of str
        Endpoints that this host serves.
    hosts_key, endpoints_key : tuple
        Versions and counts of the hosts and endpoints processed last.
    reviewed_at : float
        Time of the last comparison of all hosts and endpoints.
    """

    tables: dict[str, PlaceTable] = attrs.field(factory=dict)
    known_hosts: dict[str, tuple[str, tuple[str, ...]]] = attrs.field(factory=dict)
    shared_pairs: dict[tuple[str, str], tuple[str, str]] = attrs.field(factory=dict)
    endpoint_places: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    served_endpoints: set[str] = attrs.field(factory=set)
    hosts_key: tuple = ()
    endpoints_key: tuple = ()
    reviewed_at: float = float("-inf")


def compute_score(key: str, host: str) -> int:
    """Return the rendezvous score of a host for a key, the same on all nodes."""
    return rendezvous.mix(rendezvous.hash_text(key), rendezvous.hash_text(host))


def make_endpoint_id(endpoint: str) -> str:
    """Return the 32-bit id, in hexadecimal, that rows use for a moved endpoint."""
    return f"{rendezvous.hash_text(endpoint) >> 32:08x}"


def step(board, now: float) -> None:
    """Process changes of hosts and endpoints within the budget of one tick."""
    state = board.placement_state
    if now - state.reviewed_at >= REVIEW_SECONDS:
        _refresh(board, now)
    else:
        _apply_changes(board, now)
    _rank_and_assign(board, SCORES_PER_TICK)


def assign_all(board, now: float) -> None:
    """Place all endpoints at once, without a budget."""
    _refresh(board, now)
    _rank_and_assign(board, None)


def locate(board, endpoint: str, now: float) -> str:
    """Return the host that serves an endpoint, or an empty string if none does.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    endpoint : str
        Full name, ``pool/database/endpoint``.
    now : float
        Time on the node's monotonic clock, in seconds.
    """
    if endpoint not in board.endpoints:
        return ""
    state = board.placement_state
    if _make_hosts_key(board) != state.hosts_key or (
        endpoint not in state.endpoint_places
    ):
        step(board, now)
    host = board.placement.get(endpoint, "")
    if host:
        return host
    # Until the endpoints of the place are assigned, the best host serves.
    place = state.endpoint_places.get(endpoint, ("", ""))[1]
    table = state.tables.get(place)
    if table is None:
        return ""
    return (table.choices.get(endpoint) or _rank(table, endpoint))[0]


def find_next_host(board, endpoint: str) -> str:
    """Return the host ranked after the current one, an empty string if unknown."""
    state = board.placement_state
    table = state.tables.get(state.endpoint_places.get(endpoint, ("", ""))[1])
    host = board.placement.get(endpoint, "")
    choices = table.choices.get(endpoint, ()) if table is not None else ()
    return _choose_next(table, endpoint, host) if host in choices else ""


def _make_hosts_key(board) -> tuple[int, int]:
    return (board.membership.version, len(board.hosts))


def _make_endpoints_key(board) -> tuple[int, int]:
    return (board.configuration.changes, len(board.endpoints))


def _refresh(board, now: float) -> None:
    """Compare all hosts and endpoints with the tables and update these."""
    board.placement_state.reviewed_at = now
    changed = _update_hosts(
        board, [*board.placement_state.known_hosts, *board.hosts], now
    )
    _update_endpoints(board, compare_all=changed)


def _apply_changes(board, now: float) -> None:
    """Process changed hosts and, if the configuration changed, the endpoints."""
    state, membership = board.placement_state, board.membership
    changed = False
    if state.hosts_key != _make_hosts_key(board):
        # Hosts added or removed without a new version are found by comparison.
        count_changed = len(board.hosts) != state.hosts_key[1]
        names = (
            [*state.known_hosts, *board.hosts]
            if count_changed
            else list(membership.changed_hosts)
        )
        changed = _update_hosts(board, names, now)
    if changed or state.endpoints_key != _make_endpoints_key(board):
        _update_endpoints(board, compare_all=changed)


def _update_hosts(board, names: list[str], now: float) -> bool:
    """Update the tables for the given hosts.

    Returns
    -------
    bool
        Whether a place got its first usable host or lost its last one.
    """
    state = board.placement_state
    state.hosts_key = _make_hosts_key(board)
    board.membership.changed_hosts.clear()
    before = frozenset(state.tables)
    added: dict[str, set[str]] = collections.defaultdict(set)
    removed: dict[str, set[str]] = collections.defaultdict(set)
    for name in names:
        old, new = (
            state.known_hosts.get(name, NOT_USABLE),
            _describe_host(board, name, now),
        )
        if new == old:
            continue
        if new[0] != old[0]:
            removed[old[0]].add(name)
            added[new[0]].add(name)
        _update_host(state, name, old[0], new)
    for place in (added.keys() | removed.keys()) - {""}:
        _update_table(state.tables[place], added[place], removed[place])
        if not state.tables[place].hosts:
            del state.tables[place]
    return before != state.tables.keys()


def _describe_host(board, name: str, now: float) -> tuple[str, tuple[str, ...]]:
    """Return the place and moved endpoints of a host, NOT_USABLE if it is unusable."""
    record = board.hosts.get(name)
    if record is None:
        return NOT_USABLE
    board.membership.regions[record.place] = record.region
    return (
        (record.place, record.moved) if records.is_usable(record, now) else NOT_USABLE
    )


def _update_host(state: PlacementState, name: str, old_place: str, new: tuple) -> None:
    place, moved = new
    if place:
        state.known_hosts[name] = new
        state.tables.setdefault(place, PlaceTable())
    else:
        del state.known_hosts[name]
    for table in filter(None, map(state.tables.get, {place, old_place})):
        table.dirty = True
        table.moved.pop(name, None)
    if moved:
        state.tables[place].moved[name] = moved


def _update_table(table: PlaceTable, added: set[str], removed: set[str]) -> None:
    """Add hosts to a table, remove others, and update the cached choices."""
    for name in removed:
        table.hosts.pop(name, None)
    for name in added:
        table.hosts[name] = rendezvous.hash_text(name)
    if len(added) > CHOICES:
        table.unranked.update(dict.fromkeys(table.choices))
        added = set()
    minimum = min(MINIMUM_CHOICES, len(table.hosts))
    for endpoint, choices in table.choices.items():
        kept = choices
        if removed and not removed.isdisjoint(kept):
            kept = tuple(name for name in kept if name not in removed)
        if added and kept:
            kept = _insert_hosts(table, endpoint, kept, added)
        if kept is not choices:
            table.choices[endpoint] = kept
        if len(kept) < minimum:
            table.unranked[endpoint] = None


def _insert_hosts(table: PlaceTable, endpoint: str, choices: tuple, added) -> tuple:
    """Return the choices with the added hosts that rank before the last choice.

    A host that ranks after it is added only if the choices contained all other
    hosts of the place; otherwise uncached hosts may rank between the two.
    """
    key, hosts = rendezvous.hash_text(endpoint), table.hosts
    last = rendezvous.mix(key, hosts[choices[-1]])
    complete = len(choices) + len(added) == len(hosts)
    better = [n for n in added if complete or rendezvous.mix(key, hosts[n]) < last]
    if not better:
        return choices
    names = sorted((*choices, *better), key=lambda n: rendezvous.mix(key, hosts[n]))
    return tuple(names[:CHOICES])


def _update_endpoints(board, *, compare_all: bool) -> None:
    """Enter new and changed endpoints in the table of the place that serves them."""
    state = board.placement_state
    state.endpoints_key = _make_endpoints_key(board)
    for name in [name for name in state.endpoint_places if name not in board.endpoints]:
        _remove(state, name)
        board.placement.pop(name, None)
        state.served_endpoints.discard(name)
    for name, record in board.endpoints.items():
        known_pair = state.endpoint_places.get(name)
        if known_pair is not None and known_pair[0] == record.place and not compare_all:
            continue
        place = _choose_place(board, name, record.place)
        if known_pair == (record.place, place) and name in _get_choices(state, place):
            continue
        _remove(state, name)
        pair = (record.place, place)
        # Sharing one tuple among the endpoints of a place saves 1.5 MB at the
        # target size.
        state.endpoint_places[name] = state.shared_pairs.setdefault(pair, pair)
        if not place:
            # No host is usable anywhere; the endpoint keeps its previous host.
            continue
        table = state.tables[place]
        table.choices[name] = ()
        table.dirty, table.ordered = True, None
        table.unranked[name] = None


def _get_choices(state: PlacementState, place: str) -> dict:
    table = state.tables.get(place)
    return table.choices if table is not None else {}


def _remove(state: PlacementState, endpoint: str) -> None:
    _, place = state.endpoint_places.pop(endpoint, ("", ""))
    table = state.tables.get(place)
    if table is not None and table.choices.pop(endpoint, None) is not None:
        table.unranked.pop(endpoint, None)
        table.dirty, table.ordered = True, None


def _choose_place(board, endpoint: str, place: str) -> str:
    """Return the place that serves an endpoint.

    This is its own place if that has usable hosts, otherwise a place of the same
    region, otherwise any place. The substitute differs between endpoints, so that
    their load is distributed.
    """
    tables, regions = board.placement_state.tables, board.membership.regions
    if place in tables or not tables:
        return place if tables else ""
    near = [name for name in tables if regions[name] == regions.get(place)]
    key = rendezvous.hash_text(endpoint)
    candidates = [(rendezvous.hash_text(name), name) for name in near or tables]
    return rendezvous.rank(key, candidates, 1)[0]


def _rank(table: PlaceTable, endpoint: str) -> tuple[str, ...]:
    candidates = [(name_hash, name) for name, name_hash in table.hosts.items()]
    key = rendezvous.hash_text(endpoint)
    choices = tuple(rendezvous.rank(key, candidates, CHOICES))
    table.choices[endpoint] = choices
    table.unranked.pop(endpoint, None)
    return choices


def _rank_and_assign(board, budget: int | None) -> None:
    """Rank endpoints within a budget of scores; assign fully ranked places.

    The node's own place comes first, because the node serves its endpoints.
    """
    tables = board.placement_state.tables
    dirty = [place for place, table in tables.items() if table.dirty or table.unranked]
    for place in sorted(dirty, key=lambda name: name != board.identity.place):
        table = tables[place]
        while table.unranked and (budget is None or budget > 0):
            _rank(table, next(iter(table.unranked)))
            budget = None if budget is None else budget - len(table.hosts)
        if not table.unranked:
            table.dirty = False
            _assign_place(board, place, table)


def _assign_place(board, place: str, table: PlaceTable) -> None:
    """Assign the endpoints of a place to hosts and log the changes."""
    if table.ordered is None:
        table.ordered = sorted(table.choices, key=rendezvous.hash_text)
    changed = 0
    for endpoint, host, reason in choose_hosts(table):
        old = board.placement.get(endpoint)
        if old == host:
            continue
        changed += 1
        _set_host(board, endpoint, host)
        if old is not None:
            board.log(
                logs.LogEvent.ENDPOINT_PLACED,
                endpoint=endpoint,
                host=host,
                previous=old,
                reason=reason,
            )
    if changed:
        board.log(
            logs.LogEvent.PLACE_ASSIGNED,
            place=place,
            hosts=len(table.hosts),
            endpoints=len(table.ordered),
            changed=changed,
        )


def _set_host(board, endpoint: str, host: str) -> None:
    board.placement[endpoint] = host
    if host == board.identity.host:
        board.placement_state.served_endpoints.add(endpoint)
    else:
        board.placement_state.served_endpoints.discard(endpoint)


def compute_bound(endpoints: int, hosts: int) -> int:
    """Return the maximum number of endpoints that hashing assigns to one host."""
    return max(1, math.ceil(LOAD_FACTOR * endpoints / hosts))


def choose_hosts(table: PlaceTable):
    """Yield each endpoint of a table with its host and the reason.

    Endpoints are assigned in the order of their hashes. If all choices of an
    endpoint are full, it goes to the choice with the fewest endpoints.
    """
    bound = compute_bound(len(table.choices), len(table.hosts))
    counts = dict.fromkeys(table.hosts, 0)
    for endpoint in table.ordered:
        host = _select(table, endpoint, counts, bound)
        counts[host] += 1
        first = host == table.choices[endpoint][0]
        reason = "rendezvous hash" if first else "bounded load"
        moved_ids = table.moved.get(host)
        if moved_ids is not None and make_endpoint_id(endpoint) in moved_ids:
            host, reason = _choose_next(table, endpoint, host), "moved by its host"
        yield endpoint, host, reason


def _select(table: PlaceTable, endpoint: str, counts: dict, bound: int) -> str:
    """Return the first choice of an endpoint below the bound, else the emptiest."""
    for host in table.choices[endpoint]:
        if counts[host] < bound:
            return host
    choices = _complete_choices(table, endpoint)
    free = (host for host in choices if counts[host] < bound)
    return next(free, min(choices, key=counts.__getitem__))


def _complete_choices(table: PlaceTable, endpoint: str) -> tuple[str, ...]:
    """Return the choices of an endpoint, ranked again if some were removed.

    Results must not depend on earlier failures and returns of hosts.
    """
    choices = table.choices[endpoint]
    if len(choices) < min(CHOICES, len(table.hosts)):
        return _rank(table, endpoint)
    return choices


def _choose_next(table: PlaceTable, endpoint: str, host: str) -> str:
    """Return the choice after a host, or the host itself if it is the only one."""
    choices = table.choices[endpoint]
    if choices[-1] == host:
        choices = _complete_choices(table, endpoint)
    return get_next_host(choices, host)


def get_next_host(choices: tuple[str, ...], host: str) -> str:
    """Return the choice after a host; the first one follows the last."""
    return choices[(choices.index(host) + 1) % len(choices)]
