"""Tests of placement; a state machine compares it with a computation from scratch."""

import collections
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hyssopshelf import blackboard
from hyssopshelf.membership import placement, rendezvous, transitions

PLACES = ("p0", "p1", "p2")
REGIONS = {"p0": "r0", "p1": "r0", "p2": "r1"}


def make_board(host="h0"):
    identity = blackboard.Identity(host=host, address="a", place="p0", region="r0")
    return blackboard.Blackboard(identity=identity, random=random.Random(1))


def add_host(board, name, place, **fields):
    record = blackboard.HostRecord(
        name=name, address=name, place=place, region=REGIONS[place], **fields
    )
    board.hosts[name] = record
    transitions._mark_changed(board, name)
    return record


def add_endpoint(board, name, place):
    board.endpoints[name] = blackboard.EndpointRecord(
        name=name, pool="pool", database="pool/d", place=place, address="a"
    )


def make_full_board(hosts_per_place=4, endpoints=60, **settings):
    board = make_board(**settings)
    for place in PLACES:
        for number in range(hosts_per_place):
            add_host(board, f"{place}h{number}", place)
    for number in range(endpoints):
        add_endpoint(board, f"pool/d/e{number}", PLACES[number % 3])
    placement.assign_all(board, 0.0)
    return board


def set_state(board, name, state):
    board.hosts[name].state = blackboard.HostState(state)
    transitions._mark_changed(board, name)


def get_places(board):
    return {
        endpoint: board.hosts[host].place for endpoint, host in board.placement.items()
    }


def test_endpoints_are_served_in_their_place_within_the_bound():
    """Guards against endpoints served in another region, and overloaded hosts."""
    board = make_full_board()
    for endpoint, place in get_places(board).items():
        assert place == board.endpoints[endpoint].place
    counts = collections.Counter(board.placement.values())
    assert max(counts.values()) <= placement.compute_bound(20, 4)


@pytest.mark.parametrize(
    ("lost", "used"),
    [(("p0",), {"p1"}), (("p0", "p1"), {"p2"}), (("p2",), {"p0", "p1"})],
)
def test_lost_place_is_served_from_its_region_and_comes_back(lost, used):
    """Guards against endpoints without a host or with one in a remote region."""
    board = make_full_board()
    before = dict(board.placement)
    names = [name for name, record in board.hosts.items() if record.place in lost]
    for name in names:
        set_state(board, name, "dead")
    placement.step(board, 1.0)
    moved = {e for e in before if board.endpoints[e].place in lost}
    assert {get_places(board)[endpoint] for endpoint in moved} == used
    for name in names:
        set_state(board, name, "alive")
    placement.step(board, 2.0)
    assert board.placement == before


def test_nodes_agree_whatever_the_order_in_which_they_learn():
    """Guards against two nodes that both serve one endpoint."""
    first, second = make_full_board(), make_board(host="p2h1")
    for name, record in reversed(first.endpoints.items()):
        add_endpoint(second, name, record.place)
        placement.step(second, 0.0)
    for name, record in reversed(first.hosts.items()):
        add_host(second, name, record.place)
        placement.step(second, 0.0)
    assert second.placement == first.placement


def test_failure_moves_few_endpoints_of_other_hosts():
    """Guards against a failure that moves endpoints of many other hosts."""
    board = make_full_board(hosts_per_place=20, endpoints=300)
    before = dict(board.placement)
    set_state(board, "p0h3", "dead")
    placement.step(board, 1.0)
    changed = {e for e, host in board.placement.items() if before[e] != host}
    own = {e for e, host in before.items() if host == "p0h3"}
    assert own <= changed
    assert len(changed) <= 2 * len(own)


def test_placement_does_not_depend_on_earlier_failures(monkeypatch):
    """Guards against placements that differ between nodes with different histories."""
    monkeypatch.setattr(placement, "LOAD_FACTOR", 1.0)
    board = make_full_board(hosts_per_place=20, endpoints=300)
    before = dict(board.placement)
    for name in board.hosts:
        for state in ("dead", "alive"):
            set_state(board, name, state)
            placement.step(board, 1.0)
        assert board.placement == before


def test_unusable_hosts_get_no_endpoint():
    """Guards against endpoints assigned to leaving or flapping hosts."""
    board = make_full_board()
    board.hosts["p0h1"].leaving = True
    board.hosts["p0h2"].usable_from = 50.0
    set_state(board, "p0h1", "leaving")
    set_state(board, "p0h2", "alive")
    set_state(board, "p0h3", "suspect")
    placement.step(board, 1.0)
    hosts = {h for e, h in board.placement.items() if board.endpoints[e].place == "p0"}
    assert hosts == {"p0h0", "p0h3"}


def test_placement_stays_when_no_host_is_usable():
    """Guards against endpoints that lose their host when all hosts are dead."""
    board = make_full_board(hosts_per_place=1)
    before = dict(board.placement)
    for name in board.hosts:
        set_state(board, name, "dead")
    placement.step(board, 1.0)
    assert board.placement == before


def test_moved_endpoint_is_served_by_its_next_choice():
    """Guards against nodes that ignore a move announced by a host."""
    board = make_full_board()
    endpoint, host = next(iter(board.placement.items()))
    target = placement.find_next_host(board, endpoint)
    board.hosts[host].moved = (placement.make_endpoint_id(endpoint),)
    transitions._mark_changed(board, host)
    placement.step(board, 1.0)
    assert placement.locate(board, endpoint, 1.0) == target != host
    set_state(board, target, "dead")
    placement.step(board, 2.0)
    assert placement.locate(board, endpoint, 2.0) not in (host, target)
    set_state(board, host, "dead")
    placement.step(board, 3.0)
    assert board.placement[endpoint] not in (host, target)


def test_large_change_is_spread_over_ticks(monkeypatch):
    """Guards against a node that blocks while it ranks all endpoints."""
    monkeypatch.setattr(placement, "SCORES_PER_TICK", 40)
    board = make_board(host="p0h0")
    for place in PLACES:
        for number in range(4):
            add_host(board, f"{place}h{number}", place)
    for number in range(60):
        add_endpoint(board, f"pool/d/e{number}", PLACES[number % 3])
    placement.step(board, 0.0)
    assert not board.placement
    assert placement.locate(board, "pool/d/e1", 0.0) in board.hosts
    for _ in range(2):
        placement.step(board, 0.1)
    assert set(get_places(board).values()) == {"p0"}
    for _ in range(12):
        placement.step(board, 0.2)
    assert board.placement == make_full_board().placement


def test_changes_are_logged():
    """Guards against changed placements that are missing from the log."""
    board = make_full_board()
    board.actions.clear()
    before = dict(board.placement)
    set_state(board, "p1h0", "dead")
    placement.step(board, 1.0)
    logged = {
        action.fields["endpoint"]: action.fields["host"]
        for action in board.actions
        if "previous" in action.fields
    }
    assert logged == {e: h for e, h in board.placement.items() if before[e] != h}


def test_rank_returns_the_lowest_scores():
    """Guards against an inlined hash loop that differs from the score function."""
    names = [f"h{number}" for number in range(50)]
    candidates = [(rendezvous.hash_text(name), name) for name in names]
    expected = sorted(names, key=lambda name: placement.compute_score("key", name))
    assert rendezvous.rank(rendezvous.hash_text("key"), candidates, 6) == expected[:6]


@hypothesis.settings(
    derandomize=True, max_examples=40, stateful_step_count=25, deadline=None
)
class PlacementMachine(stateful.RuleBasedStateMachine):
    """Changes hosts and endpoints in any order."""

    def __init__(self):
        super().__init__()
        self.board = make_board()
        self.now = 0.0
        # Few choices and no slack exhaust the cached choices in small places.
        self.settings = {"CHOICES": 3, "MINIMUM_CHOICES": 2, "LOAD_FACTOR": 1.0}
        self.swap_settings()

    def swap_settings(self):
        for name, value in self.settings.items():
            self.settings[name] = getattr(placement, name)
            setattr(placement, name, value)

    def teardown(self):
        self.swap_settings()

    @stateful.rule(number=st.integers(0, 11), place=st.sampled_from(("p0", *PLACES)))
    def add_host(self, number, place):
        add_host(self.board, f"h{number}", place)

    @stateful.rule(number=st.integers(0, 11), leaving=st.booleans())
    def drop_host(self, number, leaving):
        record = self.board.hosts.get(f"h{number}")
        if record is not None:
            record.leaving = leaving
            state = "leaving" if leaving else "dead"
            set_state(self.board, record.name, state)

    @stateful.rule(number=st.integers(0, 11), moved=st.integers(0, 30))
    def move(self, number, moved):
        record = self.board.hosts.get(f"h{number}")
        if record is not None:
            record.moved = (placement.make_endpoint_id(f"pool/d/e{moved}"),)
            transitions._mark_changed(self.board, record.name)

    @stateful.rule(number=st.integers(0, 30), place=st.sampled_from(PLACES))
    def add_endpoint(self, number, place):
        add_endpoint(self.board, f"pool/d/e{number}", place)

    @stateful.rule(number=st.integers(0, 30))
    def remove_endpoint(self, number):
        self.board.endpoints.pop(f"pool/d/e{number}", None)

    @stateful.rule()
    def step(self):
        """Guards against tables that diverge from a computation from scratch."""
        self.now += 31.0
        placement.step(self.board, self.now)
        fresh = make_board()
        fresh.hosts, fresh.endpoints = self.board.hosts, self.board.endpoints
        # A joining node also gets the regions of places without hosts.
        fresh.membership.regions |= self.board.membership.regions
        placement.assign_all(fresh, self.now)
        if fresh.placement_state.tables:
            assert self.board.placement == fresh.placement
        own = self.board.identity.host
        assert self.board.placement_state.served_endpoints == {
            e for e, host in self.board.placement.items() if host == own
        }

    @stateful.rule(number=st.integers(0, 30))
    def locate(self, number):
        """Guards against a lookup that fails between two steps."""
        name = f"pool/d/e{number}"
        host = placement.locate(self.board, name, self.now)
        assert not host or name in self.board.endpoints


TestPlacementMachine = PlacementMachine.TestCase
