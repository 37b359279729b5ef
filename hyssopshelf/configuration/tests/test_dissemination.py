"""Tests of the dissemination of documents between nodes."""

import hashlib

import attrs
import hypothesis
import pytest
from hypothesis import stateful, strategies

from hyssopshelf import base, logs
from hyssopshelf.configuration import (
    application,
    declarations,
    dissemination,
    documents,
    resources,
    snapshots,
    versions,
)
from hyssopshelf.configuration.tests import fleet, test_api

POOL = test_api.POOL
GOAL_SECONDS = 1.0
MAXIMUM_MESSAGE_BYTES = 256 * 1024


def start_fleet(size, seed=5):
    nodes = fleet.Fleet(size=size, seed=seed)
    assert nodes.run(10, nodes.ready)
    answer = test_api.ask(nodes, "h000", test_api.apply_request("first"))
    assert answer.error is None
    assert nodes.run(2, lambda: set(nodes.versions(POOL).values()) == {1})
    return nodes


def change_split(nodes, host, share, version):
    request = test_api.apply_request("c", [test_api.make_split(share, version)])
    return nodes.request(host, request)


def is_committed(nodes):
    return documents.key_of(POOL) in nodes.store.entries and (
        test_api.stored(nodes).version == 2
    )


def all_in_force(nodes, version):
    return set(nodes.versions(POOL).values()) == {version}


@pytest.mark.parametrize("fault", ["none", "down", "slow", "dead", "lost"])
def test_change_is_in_force_within_the_goal(fault):
    """Guards against a committed change that needs the store or its accepting node."""
    nodes = start_fleet(40)
    if fault == "lost":
        nodes.store.lost_answers = 1
    caller = change_split(nodes, "h007", 0.7, 1)
    assert nodes.run(2, lambda: is_committed(nodes))
    committed_at = nodes.now
    if fault == "dead":
        nodes.kill("h007")
    elif fault in ("down", "slow"):
        assert nodes.run(1, lambda: caller in nodes.answers)
        nodes.store.down = fault == "down"
        nodes.store.delay_seconds = 10.0
    assert nodes.run(5, lambda: all_in_force(nodes, 2))
    assert nodes.now - committed_at <= GOAL_SECONDS
    assert nodes.reversions == 0


def test_store_is_watched_after_all_watchers_have_died():
    """Guards against dead hosts that stay selected as watchers."""
    nodes = start_fleet(12)
    watchers = [
        host
        for host, member in nodes.members.items()
        if member.board.configuration.watch.index is not None
    ]
    assert len(watchers) == 3
    for host in watchers:
        nodes.kill(host)
    nodes.run(6)
    accepting = next(host for host in nodes.hosts if host not in watchers)
    change_split(nodes, accepting, 0.7, 1)
    assert nodes.run(2, lambda: is_committed(nodes))
    nodes.kill(accepting)
    assert nodes.run(GOAL_SECONDS, lambda: all_in_force(nodes, 2))


def test_watchers_recover_after_a_store_that_dropped_their_calls():
    """Guards against watchers blocked on calls that the store has dropped.

    The target at full size is 7 s for a change.
    """
    nodes = start_fleet(12)
    nodes.store.down = True
    nodes.store.watches.clear()
    nodes.run(30)
    nodes.store.down = False
    change_split(nodes, "h007", 0.7, 1)
    assert nodes.run(2, lambda: is_committed(nodes))
    nodes.kill("h007")
    assert nodes.run(7, lambda: all_in_force(nodes, 2))


def test_node_that_was_cut_off_catches_up_and_reports_its_age():
    """Guards against a stale split after contact returns, and a missing report."""
    nodes = start_fleet(12)
    nodes.members["h003"].cut = True
    change_split(nodes, "h007", 0.7, 1)
    nodes.run(60)
    board = nodes.members["h003"].board
    assert nodes.versions(POOL)["h003"] == 1
    assert board.counters["configuration_may_be_old"] == 1
    old = nodes.logged(logs.LogEvent.CONFIGURATION_MAY_BE_OLD)
    assert [item[1] for item in old] == ["h003"]
    nodes.members["h003"].cut = False
    assert nodes.run(2, lambda: all_in_force(nodes, 2))
    nodes.run(1)
    assert board.counters["configuration_may_be_old"] == 0
    assert nodes.logged(logs.LogEvent.CONFIGURATION_CONTACT_REGAINED)


def test_starting_node_takes_its_snapshot_from_a_peer():
    """Guards against a store call by every starting node."""
    nodes = start_fleet(12)
    nodes.store.down = True
    nodes.store.calls.clear()
    starters = ("h001", "h002")
    for host in starters:
        nodes.restart(host)
    assert not nodes.members["h001"].board.configuration_ready
    assert nodes.run(2, nodes.ready)
    taken = [item[2].fields for item in nodes.logged(logs.LogEvent.SNAPSHOT_TAKEN)]
    assert [fields["source"] for fields in taken[-2:]] == ["peer", "peer"]
    assert all_in_force(nodes, 1)


def test_starting_node_reads_the_store_if_no_peer_answers():
    """Guards against a node that never starts while all others are down."""
    nodes = start_fleet(4)
    for host in ("h000", "h001", "h002"):
        nodes.members[host].alive = False
    nodes.restart("h003")
    assert nodes.run(6, nodes.ready)
    assert all_in_force(nodes, 1)
    assert nodes.members["h003"].board.pools[POOL].slots == 2


@pytest.mark.parametrize("seed", range(8))
def test_starting_node_does_not_revert_to_the_version_of_a_lagging_peer(seed):
    """Guards against a node that reverts to an older version by a restart.

    The peer was cut off too briefly to report that it may be old, so only
    the comparison with a second peer detects it.
    """
    nodes = start_fleet(3, seed)
    nodes.members["h002"].cut = True
    change_split(nodes, "h001", 0.7, 1)
    assert nodes.run(2, lambda: nodes.versions(POOL)["h000"] == 2)
    nodes.members["h002"].cut = False
    nodes.restart("h001")
    board = nodes.members["h001"].board
    assert nodes.run(3, lambda: board.configuration_ready)
    assert nodes.versions(POOL)["h001"] == 2


def test_starting_node_passes_over_a_peer_that_may_be_old():
    """Guards against a snapshot of a node that was cut off for a long time."""
    nodes = start_fleet(3)
    nodes.restart("h001")
    board = nodes.members["h001"].board
    snapshots.step(board, nodes.now)
    part = snapshots.SnapshotPart(after="", ready=True, old=True, last=True)
    base.receive(part, board, board.configuration.snapshot.host, nodes.now)
    assert not board.configuration.snapshot.loaded
    old = nodes.members["h002"]
    old.cut = True
    nodes.run(10)
    request = snapshots.SnapshotRequest()
    base.receive(request, old.board, "h001", nodes.now)
    assert old.board.actions[-1].message.old


def test_store_that_lost_data_is_repaired():
    """Guards against nodes that revert after the store is restored from a backup."""
    nodes = start_fleet(8)
    first = nodes.store.entries[test_api.KEY]
    change_split(nodes, "h001", 0.7, 1)
    assert nodes.run(2, lambda: all_in_force(nodes, 2))
    nodes.restore(test_api.KEY, first.value)
    nodes.run(5)
    assert test_api.stored(nodes).version == 2
    assert len(nodes.logged(logs.LogEvent.STORE_REPAIRED)) == 1
    assert nodes.reversions == 0
    nodes.store.entries.clear()
    nodes.store.revision = 1
    nodes.run(50)
    assert test_api.stored(nodes).version == 2


def test_store_that_uses_revisions_again_is_repaired():
    """Guards against undetected data loss when the store reuses revisions."""
    nodes = start_fleet(8)
    first = nodes.store.entries[test_api.KEY]
    change_split(nodes, "h001", 0.7, 1)
    assert nodes.run(2, lambda: all_in_force(nodes, 2))
    nodes.stop_store()
    nodes.run(1)
    nodes.store.entries[test_api.KEY] = first
    nodes.store.put("other", b"")
    nodes.store.down = False
    nodes.run(8)
    assert test_api.stored(nodes).version == 2
    assert nodes.reversions == 0


def test_two_contents_of_one_version_are_settled_everywhere():
    """Guards against nodes that keep different splits under one version."""
    nodes = start_fleet(8)
    contents = [
        documents.apply_changes(
            test_api.stored(nodes),
            documents.ChangeSet(
                pool=POOL, change_id=name, put=(test_api.make_split(share, 1),)
            ),
        ).unwrap()
        for name, share in (("a", 0.7), ("b", 0.6))
    ]
    for host, document in zip(("h001", "h002"), contents, strict=True):
        board = nodes.members[host].board
        dissemination.apply_if_newer(board, document, nodes.now, source="test")
    nodes.restore(test_api.KEY, nodes.store.entries[test_api.KEY].value)
    nodes.run(8)
    kept = max(contents, key=documents.checksum)
    for member in nodes.members.values():
        assert member.board.documents[POOL] == kept
    assert test_api.stored(nodes) == kept
    assert nodes.logged(logs.LogEvent.CONFIGURATION_DIVERGED)


def test_large_document_travels_in_parts():
    """Guards against a large message that delays all others."""
    nodes = start_fleet(4)
    partner = next(i for i in test_api.DECLARED if i.name == "steyrtal")
    kinds = tuple(
        resources.KindSpec(
            name="k" + hashlib.sha256(str(number).encode()).hexdigest()[:60],
            rank="normal",
        )
        for number in range(7000)
    )
    partner = attrs.evolve(
        partner, spec=resources.PartnerSpec(kinds=kinds), resource_version=1
    )
    request = test_api.apply_request("c", [partner])
    assert test_api.ask(nodes, "h001", request).error is None
    assert nodes.run(3, lambda: all_in_force(nodes, 2))
    nodes.restart("h002")
    assert nodes.run(3, nodes.ready)
    assert all_in_force(nodes, 2)
    assert dissemination.PART_BYTES < nodes.largest < MAXIMUM_MESSAGE_BYTES


def test_snapshot_of_many_pools_is_bounded_in_each_message():
    """Guards against one message that holds thousands of documents."""
    nodes = start_fleet(3)
    document = test_api.stored(nodes)
    for number in range(100):
        pool = f"p{number:03}"
        items = tuple(attrs.evolve(item, pool=pool) for item in document.resources)
        other = attrs.evolve(document, pool=pool, resources=items)
        for host in ("h000", "h001"):
            board = nodes.members[host].board
            dissemination.apply_if_newer(board, other, nodes.now, source="test")
    nodes.restart("h002")
    assert nodes.run(3, nodes.ready)
    assert len(nodes.members["h002"].board.documents) == 101
    assert nodes.message_counts["SnapshotPart"] >= 101 / snapshots.PART_DOCUMENTS


def test_silent_peer_is_replaced_by_another_that_offered():
    """Guards against a pull that waits for a peer that has died."""
    nodes = start_fleet(3)
    board = nodes.members["h000"].board
    summary = versions.Summary(version=9, checksum=1, pool=POOL)
    for host in ("h001", "h002"):
        offer = dissemination.Offer(summaries=(summary,), fresh=True)
        base.receive(offer, board, host, nodes.now)
    board.actions.clear()
    dissemination.step(board, nodes.now + dissemination.PULL_TIMEOUT_SECONDS)
    asked = [item.host for item in board.actions if hasattr(item, "message")]
    assert "h002" in asked
    assert board.configuration.pulls[POOL].host == "h002"


def test_damaged_document_is_not_applied():
    """Guards against applying a document that does not match its checksum."""
    nodes = start_fleet(3)
    board = nodes.members["h000"].board
    summary = versions.Summary(version=9, checksum=1, pool=POOL)
    base.receive(dissemination.Offer(summaries=(summary,)), board, "h001", nodes.now)
    data = dissemination.compress(board, POOL)
    part = dissemination.Part(summary=summary, offset=0, total=len(data), data=data)
    base.receive(part, board, "h001", nodes.now)
    assert board.documents[POOL].version == 1
    assert board.counters["configuration_damaged_total"] == 1


def test_run_time_state_survives_a_new_document():
    """Guards against a new document that resets primaries or the time of leaving."""
    nodes = start_fleet(1)
    board = nodes.members["h000"].board
    name = f"{POOL}/labels"
    endpoints = board.databases[name].endpoints
    board.databases[name].primary = endpoints[0]
    board.databases[name].term = 4
    document = board.documents[POOL]
    text = declarations.encode_document(document).decode()
    leaving = text.replace('"leaving":false', '"leaving":true')
    application.apply_document(board, declarations.decode_document(leaving), 50.0)
    application.apply_document(board, declarations.decode_document(leaving), 60.0)
    assert board.endpoints[endpoints[0]].leaving_at == 50.0
    assert board.databases[name].primary == endpoints[0]
    application.apply_document(board, document, 70.0)
    assert board.endpoints[endpoints[0]].leaving_at is None
    fewer = text.replace('"labels"', '"others"')
    application.apply_document(board, declarations.decode_document(fewer), 80.0)
    assert name not in board.databases
    assert endpoints[0] not in board.endpoints
    assert board.databases[f"{POOL}/others"].primary == ""


class Dissemination(stateful.RuleBasedStateMachine):
    """Random sequences of changes, partitions, restarts and store faults.

    Guards against a node that reverts to an older version and nodes that do
    not converge after the faults have ended.
    """

    hosts = strategies.sampled_from([f"h{number:03}" for number in range(5)])

    def __init__(self):
        super().__init__()
        self.nodes = start_fleet(5)
        self.share = 0.5
        self.held = {}
        self.accepted = {}
        self.count = 0

    @stateful.rule(host=hosts)
    def change(self, host):
        """Change the split through any node, based on the version in force there."""
        document = self.nodes.members[host].board.documents.get(POOL)
        if document is None:
            return
        self.share = 0.5 + (self.share + 0.0137) % 0.4
        self.count += 1
        split = test_api.make_split(self.share, 0)
        request = test_api.apply_request(
            f"c{self.count}", [split], base_version=document.version
        )
        caller = self.nodes.request(host, request)
        self.accepted[caller] = self.share

    @stateful.rule(host=hosts)
    def cut_or_heal(self, host):
        """Cut a node off or connect it again."""
        self.nodes.members[host].cut = not self.nodes.members[host].cut

    @stateful.rule(host=hosts)
    def restart(self, host):
        """Restart a node without state."""
        self.nodes.restart(host)
        self.held.pop(host, None)

    @stateful.rule(
        down=strategies.booleans(),
        delay=strategies.sampled_from([0.003, 0.5, 4.0]),
        lost=strategies.integers(0, 2),
    )
    def disturb_store(self, down, delay, lost):
        """Change the faults of the store."""
        self.nodes.store.down = down
        self.nodes.store.delay_seconds = delay
        self.nodes.store.lost_answers = lost

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 2.0]))
    def run(self, seconds):
        """Advance the clock and check each node after every event."""
        self.nodes.run(seconds, self.check)

    def check(self):
        """Check that no running node has a lower version than before."""
        for host, version in self.nodes.versions(POOL).items():
            assert version >= self.held.get(host, 0)
            self.held[host] = version
        return False

    def teardown(self):
        """End all faults; all nodes converge and no accepted change is missing."""
        for member in self.nodes.members.values():
            member.cut = False
        self.disturb_store(False, 0.003, 0)
        self.nodes.run(25, self.check)
        assert self.nodes.ready()
        final = test_api.stored(self.nodes)
        assert set(self.nodes.versions(POOL).values()) == {final.version}
        made = [item.rsplit("-", 1)[0] for item in final.change_ids]
        assert len(made) == len(set(made)) == final.version
        for caller in self.accepted:
            answer = self.nodes.answers.get(caller)
            if answer is None:
                continue  # The accepting node was restarted.
            if answer.error is None:
                assert answer.body["changeId"] in made
            elif answer.error is not test_api.ErrorKind.OUTCOME_UNKNOWN:
                assert answer.body.get("changeId") not in made


TestDissemination = Dissemination.TestCase
TestDissemination.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
