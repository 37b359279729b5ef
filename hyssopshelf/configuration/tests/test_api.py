"""Tests of the resource API against a store with faults."""

import pathlib

import attrs
import pytest

from hyssopshelf import base, exceptions, logs
from hyssopshelf.configuration import api, declarations, requests, resources
from hyssopshelf.configuration.tests import fleet

ErrorKind = exceptions.ErrorKind
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
DECLARED = declarations.parse_text((EXAMPLES / "priehradka.yaml").read_text())
POOL = "labelstore"
KEY = f"configuration/{POOL}"


def apply_request(change_id, declared=DECLARED, **fields):
    return requests.Apply(
        pool=POOL, change_id=change_id, resources=tuple(declared), **fields
    )


def make_split(share, version):
    held = next(i for i in DECLARED if i.kind is resources.ResourceKind.SPLIT)
    shares = {"priehradka": share, "steyrtal": 1 - share}
    spec = resources.SplitSpec(capacity=shares, bill=shares)
    return attrs.evolve(held, spec=spec, resource_version=version)


def ask(nodes, host, request, seconds=8):
    caller = nodes.request(host, request)
    assert nodes.run(seconds, lambda: caller in nodes.answers), "no answer"
    return nodes.answers[caller]


def stored(nodes):
    return declarations.decode_document(nodes.store.entries[KEY].value)


@pytest.fixture
def nodes():
    """Return four nodes with one pool in force."""
    started = fleet.Fleet(size=4, seed=7)
    assert started.run(5, started.ready)
    assert ask(started, "h000", apply_request("first")).error is None
    assert started.run(2, lambda: set(started.versions(POOL).values()) == {1})
    return started


def test_two_operators_who_race_get_one_conflict(nodes):
    """Guards against a silently lost update when two operators change a split."""
    callers = [
        nodes.request("h001", apply_request("a", [make_split(0.7, 1)])),
        nodes.request("h002", apply_request("b", [make_split(0.6, 1)])),
    ]
    nodes.run(2)
    answers = [nodes.answers[caller] for caller in callers]
    assert sorted(str(item.error) for item in answers) == [
        "ErrorKind.CONFLICT",
        "None",
    ]
    refused = next(item for item in answers if item.error)
    assert refused.body["givenVersion"] == 1
    assert refused.body["currentVersion"] == 2
    assert stored(nodes).version == 2


def test_changes_of_different_resources_are_both_made(nodes):
    """Guards against a lost update by concurrent changes to one document."""
    rank = next(i for i in DECLARED if i.name == "background")
    rank = attrs.evolve(
        rank, spec=attrs.evolve(rank.spec, floor=0.2), resource_version=1
    )
    callers = [
        nodes.request("h001", apply_request("a", [make_split(0.7, 1)])),
        nodes.request("h002", apply_request("b", [rank])),
    ]
    nodes.run(2)
    assert all(nodes.answers[caller].error is None for caller in callers)
    document = stored(nodes)
    assert document.version == 3
    assert {item.resource_version for item in document.resources} == {1, 2, 3}


@pytest.mark.parametrize("lost", [1, 2])
def test_lost_answer_is_settled_by_reading_back(nodes, lost):
    """Guards against an accepted change reported as failed or applied twice."""
    nodes.store.lost_answers = lost
    answer = ask(nodes, "h001", apply_request("a", [make_split(0.7, 1)]))
    assert answer.error is None
    assert answer.body["version"] == stored(nodes).version == 2
    assert nodes.store.calls["CompareAndSwap"] == 2


def test_change_whose_answer_was_lost_is_found_below_later_changes(nodes):
    """Guards against a conflict reported for a change that was accepted."""
    nodes.store.lost_answers = 1
    first = nodes.request("h001", apply_request("a", [make_split(0.7, 1)]))
    nodes.run(0.5)
    second = nodes.request("h002", apply_request("b", [make_split(0.6, 2)]))
    nodes.run(4)
    assert nodes.answers[second].body["version"] == 3
    assert nodes.answers[first].error is None
    assert nodes.store.calls["CompareAndSwap"] == 3


def test_write_that_arrives_late_is_not_made_twice(nodes):
    """Guards against a change applied twice while the first write is delayed."""
    nodes.store.delay_seconds = 0.1
    caller = nodes.request("h001", apply_request("a", [make_split(0.7, 1)]))
    nodes.run(0.06)
    nodes.store.delay_seconds = 2 * 2.6
    assert nodes.run(1, lambda: nodes.store.calls["CompareAndSwap"] == 2)
    nodes.store.delay_seconds = 0.1
    assert nodes.run(4, lambda: caller in nodes.answers)
    nodes.run(5)
    assert nodes.answers[caller].error is None
    assert nodes.store.calls["CompareAndSwap"] == 3
    assert stored(nodes).version == 2


def test_unknown_outcome_is_told_and_a_repeat_is_safe(nodes):
    """Guards against a wrong outcome at the deadline and a retry that applies twice."""
    nodes.store.delay_seconds = 0.2
    nodes.store.lost_answers = 1
    caller = nodes.request("h001", apply_request("a", [make_split(0.7, 1)]))
    assert nodes.run(1, lambda: stored(nodes).version == 2)
    nodes.store.down = True
    nodes.run(6)
    assert nodes.answers[caller].error is ErrorKind.OUTCOME_UNKNOWN
    assert nodes.answers[caller].body["changeId"] == "a"
    nodes.store.down = False
    again = ask(nodes, "h003", apply_request("a", [make_split(0.7, 1)]))
    assert again.error is None
    assert again.body["version"] == stored(nodes).version == 2


def test_conflict_is_not_reported_while_a_write_is_open(nodes):
    """Guards against a conflict reported for a write that takes effect later."""
    nodes.store.delay_seconds = 0.1
    caller = nodes.request("h001", apply_request("a", [make_split(0.7, 1)]))
    nodes.run(0.06)
    nodes.store.delay_seconds = 6.0
    assert nodes.run(1, lambda: nodes.store.calls["CompareAndSwap"] == 2)
    nodes.store.delay_seconds = 0.1
    board = nodes.members["h001"].board
    newer = attrs.evolve(stored(nodes), version=9, resources=(make_split(0.6, 9),))
    fleet.controller.dissemination.apply_if_newer(
        board, newer, nodes.now, source="test"
    )
    # Well before the deadline, at which the outcome is unknown in any case.
    assert nodes.run(2.5, lambda: caller in nodes.answers)
    assert nodes.answers[caller].error is ErrorKind.OUTCOME_UNKNOWN


def test_same_change_sent_to_two_nodes_is_made_once(nodes):
    """Guards against a retry through another node that applies the change again."""
    request = apply_request("a", [make_split(0.7, 1)])
    callers = [nodes.request(host, request) for host in ("h001", "h002")]
    nodes.run(2)
    assert [nodes.answers[c].body["version"] for c in callers] == [2, 2]
    assert stored(nodes).version == 2


def test_store_down_before_the_write_means_not_made(nodes):
    """Guards against an unknown outcome where nothing was sent."""
    nodes.store.down = True
    answer = ask(nodes, "h001", apply_request("a", [make_split(0.7, 1)]))
    assert answer.error is ErrorKind.UNAVAILABLE
    assert stored(nodes).version == 1


def test_invalid_result_is_refused_and_nothing_is_written(nodes):
    """Guards against a change valid by itself that makes the document invalid."""
    rank = next(i for i in DECLARED if i.name == "background")
    rank = attrs.evolve(
        rank, spec=attrs.evolve(rank.spec, floor=0.9), resource_version=1
    )
    answer = ask(nodes, "h001", apply_request("a", [rank]))
    assert answer.error is ErrorKind.BAD_REQUEST
    assert "Rank: spec.floor" in answer.message
    assert stored(nodes).version == 1
    assert nodes.logged(logs.LogEvent.CHANGE_REFUSED)


def test_deletion(nodes):
    """Guards against a deletion that breaks references or is not versioned."""
    kind = resources.ResourceKind.RANK
    names = [("urgent", ErrorKind.BAD_REQUEST), ("other", ErrorKind.NOT_FOUND)]
    for name, error in names:
        reference = requests.documents.Reference(
            kind=kind, name=name, resource_version=1
        )
        request = requests.Delete(pool=POOL, change_id=name, references=(reference,))
        assert ask(nodes, "h001", request).error is error
    stale = requests.Delete(pool=POOL, change_id="x")
    assert ask(nodes, "h001", stale).error is ErrorKind.CONFLICT
    whole = attrs.evolve(stale, base_version=1)
    assert ask(nodes, "h001", whole).error is None
    assert nodes.run(1, lambda: set(nodes.versions(POOL).values()) == {2})
    for member in nodes.members.values():
        assert not member.board.pools
        assert not member.board.endpoints
        assert not member.board.databases


def test_reads_and_diff(nodes):
    """Guards against a read that differs from what is in force."""
    kind = resources.ResourceKind.SPLIT
    got = ask(nodes, "h001", requests.Get(pool=POOL, kind=kind, name="agreed"))
    assert got.body["metadata"]["resourceVersion"] == 1
    assert declarations.parse_resource(got.body).spec.capacity["steyrtal"] == 0.1
    missing = ask(nodes, "h001", requests.Get(pool=POOL, kind=kind, name="x"))
    assert missing.error is ErrorKind.NOT_FOUND
    assert len(ask(nodes, "h001", requests.List(pool=POOL, kind=kind)).body["items"])
    assert ask(nodes, "h001", requests.List(pool="")).body["pools"] == {POOL: 1}
    wanted = (make_split(0.7, 0),)
    diff = ask(nodes, "h001", requests.Diff(pool=POOL, resources=wanted)).body
    found = {(item["field"], item["after"]) for item in diff["differences"]}
    assert ("spec.capacity.priehradka", 0.7) in found


def test_watch_answers_after_a_change_and_at_its_deadline(nodes):
    """Guards against a watch that misses a change or has no timeout."""
    watch = requests.Watch(pool=POOL, after_version=1, remaining_seconds=2)
    assert ask(nodes, "h002", watch).body["changed"] is False
    caller = nodes.request("h002", watch)
    ask(nodes, "h001", apply_request("a", [make_split(0.7, 1)]))
    nodes.run(1)
    assert nodes.answers[caller].body["version"] == 2


def test_status_names_nodes_that_miss_a_version():
    """Guards against a version reported in force on a node that lacks it."""
    nodes = fleet.Fleet(size=90, seed=3)
    assert nodes.run(20, nodes.ready)
    assert ask(nodes, "h000", apply_request("first")).error is None
    nodes.run(2)
    status = ask(nodes, "h005", requests.Status(pool=POOL)).body
    assert (status["nodes"], status["inForce"], status["silentCount"]) == (90, 90, 0)
    cut = ("h001", "h002", "h040")
    for host in cut:
        nodes.members[host].cut = True
    assert ask(nodes, "h000", apply_request("b", [make_split(0.7, 1)])).error is None
    nodes.run(2)
    status = ask(nodes, "h005", requests.Status(pool=POOL)).body
    assert (status["nodes"], status["inForce"]) == (90, 87)
    assert status["silent"] == sorted(cut)
    for host in cut:
        nodes.members[host].cut = False
    status = ask(nodes, "h005", requests.Status(pool=POOL, version=3)).body
    assert (status["inForce"], status["missingCount"]) == (0, 90)


def test_node_without_configuration_answers_unavailable():
    """Guards against a change accepted by a node that has no snapshot yet."""
    nodes = fleet.Fleet(size=1, seed=1)
    answer = ask(nodes, "h000", apply_request("first"))
    assert answer.error is ErrorKind.UNAVAILABLE


def test_changes_are_not_based_on_documents_of_a_restored_store(nodes):
    """Guards against a change based on an older document of a restored store."""
    first = nodes.store.entries[KEY]
    ask(nodes, "h001", apply_request("a", [make_split(0.7, 1)]))
    nodes.restore(KEY, first.value)
    answer = ask(nodes, "h001", apply_request("b", [make_split(0.6, 2)]))
    assert answer.body["version"] == 3
    nodes.run(3)
    assert set(nodes.versions(POOL).values()) == {3}
    assert nodes.reversions == 0


def test_store_answer_of_another_controller_is_ignored(nodes):
    """Guards against handling an answer to another controller's store call."""
    board = nodes.members["h000"].board
    event = base.StoreAnswered(call_id="other", result=None)
    assert not fleet.controller.take_store_answer(event, board, nodes.now)


@pytest.mark.parametrize("seconds", [0.0, 0.1, 0.3, 0.5, 0.8])
def test_change_that_a_stop_ends_is_answered(nodes, seconds):
    """Guards against a change that is cut by a stop or reported as not made."""
    nodes.store.delay_seconds = 0.4
    caller = nodes.request("h001", apply_request("a", [make_split(0.7, 1)]))
    nodes.run(seconds)
    board = nodes.members["h001"].board
    assert api.has_open_requests(board) is (caller not in nodes.answers)
    api.abandon(board)
    replies = [a for a in board.actions if isinstance(a, base.Reply)]
    answer = nodes.answers.get(caller) or replies[0].answer
    nodes.members["h001"].alive = False
    nodes.run(2.0)
    made = stored(nodes).version > 1
    assert answer.error in (ErrorKind.UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN, None)
    assert not (made and answer.error is ErrorKind.UNAVAILABLE)
    assert made or answer.error is not None
    assert not api.has_open_requests(board)
