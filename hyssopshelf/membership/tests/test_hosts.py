"""Tests of membership with nodes in one process under a virtual clock."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from benchmarks import fleet as fleets
from hyssopshelf import base, envelopes, kvstore, logs
from hyssopshelf.membership import gossip, hosts, protocol, records, transitions

DETECTION_SECONDS = 12.0
"""Time for a probe round of 8 hosts, timeouts, suspicion and spreading, with slack."""


def get_live(member):
    return {
        name
        for name, record in member.board.hosts.items()
        if record.state is not records.HostState.DEAD
    }


def get_record(fleet, observer, name):
    return fleet.members[observer].board.hosts[name]


def list_events(member, event):
    return [fields for _, logged, fields in member.logged if logged is event]


def start_fleet(count=8, seed=1, **settings):
    fleet = fleets.make_fleet(count, seed=seed, **settings)
    fleet.run(3.0)
    return fleet


def test_crashed_host_is_dead_everywhere_and_forgotten():
    """Guards against work sent to dead hosts and tables that grow without bound."""
    fleet = start_fleet()
    fleet.stop("h0001")
    fleet.run(DETECTION_SECONDS)
    others = [member for member in fleet.members.values() if member.up]
    for member in others:
        assert get_live(member) == {other.name for other in others}
    fleet.run(transitions.FORGET_SECONDS + 5)
    for member in others:
        assert "h0001" not in member.board.hosts
        assert not member.board.membership.dead


def test_unreachable_host_is_probed_ahead_of_its_turn():
    """Guards against waiting for the regular turn of a crashed host."""
    fleet = start_fleet(40)
    fleet.stop("h0001")
    observer = fleet.members["h0000"]
    seen = observer.board.membership.last_probe_at
    for _ in range(4):
        hosts.request_probe(observer.board, "h0001", fleet.now)
        fleet.run(0.3)
    assert observer.board.membership.last_probe_at > seen
    state = get_record(fleet, "h0000", "h0001").state
    assert state is records.HostState.SUSPECT
    # A live host that is probed ahead of its turn only acknowledges.
    hosts.request_probe(observer.board, "h0002", fleet.now)
    fleet.run(1.0)
    assert get_record(fleet, "h0000", "h0002").state is records.HostState.ALIVE


def test_leaving_host_is_announced_without_suspicion():
    """Guards against endpoints assigned to a draining host."""
    fleet = start_fleet()
    fleet.members["h0001"].board.draining = True
    fleet.run(2.0)
    for member in fleet.members.values():
        record = member.board.hosts["h0001"]
        assert record.state is records.HostState.LEAVING
        assert not records.is_usable(record, fleet.now)


def test_leaving_mark_of_the_list_reaches_all_hosts_and_can_be_taken_back():
    """Guards against a host that stays unused after a stale leaving mark."""
    fleet = start_fleet()
    entries = fleets.make_entries(8, 1)
    marked = tuple(
        kvstore.HostEntry(
            name=entry.name,
            address=entry.address,
            place=entry.place,
            region=entry.region,
            leaving=entry.name == "h0001",
        )
        for entry in entries
    )
    for rows, usable in ((marked, False), (entries, True)):
        fleet.handle(fleet.members["h0003"], base.HostListReceived(hosts=rows))
        fleet.run(3.0)
        for member in fleet.members.values():
            record = member.board.hosts["h0001"]
            assert records.is_usable(record, fleet.now) == usable


def test_restarted_host_is_used_at_once_and_a_flapping_one_later():
    """Guards against endpoints that oscillate because a host flaps."""
    fleet = start_fleet()
    held = []
    for incarnation in range(2, 8):
        fleet.stop("h0001")
        fleet.run(1.0)
        fleet.start("h0001", incarnation=incarnation, seeds=("h0000:7100",))
        fleet.run(4.0)
        record = get_record(fleet, "h0005", "h0001")
        assert record.incarnation == incarnation
        held.append(round(max(0.0, record.usable_from - record.failed_at)))
    assert held == [0, 5, 10, 20, 40, 60]
    assert not records.is_usable(record, fleet.now)
    fleet.run(60)
    assert records.is_usable(record, fleet.now)
    assert not fleet.members["h0005"].board.membership.held


def test_paused_host_declares_no_host_dead():
    """Guards against a node that resumes, sees only silence and takes over all work."""
    fleet = start_fleet()
    fleet.pause("h0001", 30.0)
    fleet.run(45.0)
    paused = fleet.members["h0001"]
    assert not list_events(paused, logs.LogEvent.HOST_DEAD)
    for member in fleet.members.values():
        assert len(get_live(member)) == 8


@pytest.mark.parametrize("count", [3, 8])
def test_isolated_host_declares_no_host_dead(count):
    """Guards against an isolated node that takes over all endpoints."""
    fleet = start_fleet(count)
    fleet.connected = lambda sender, receiver: "h0001" not in (sender, receiver)
    fleet.run(60.0)
    isolated = fleet.members["h0001"]
    assert len(get_live(isolated)) == count
    assert len(list_events(isolated, logs.LogEvent.NODE_ISOLATED)) == 1
    assert hosts.is_reader(isolated.board, "hosts")
    assert "h0001" not in get_live(fleet.members["h0000"])
    fleet.connected = lambda sender, receiver: True
    fleet.run(20.0)
    for member in fleet.members.values():
        assert len(get_live(member)) == count


def test_isolated_host_declares_unlisted_hosts_dead():
    """Guards against the last live host of a fleet never taking over."""
    fleet = start_fleet(3)
    fleet.stop("h0000")
    fleet.stop("h0002")
    fleet.run(20.0)
    survivor = fleet.members["h0001"]
    assert len(get_live(survivor)) == 3
    own = tuple(e for e in fleets.make_entries(3, 1) if e.name == "h0001")
    fleet.handle(survivor, base.HostListReceived(hosts=own))
    fleet.run(1.0)
    assert get_live(survivor) == {"h0001"}


def test_one_of_two_hosts_declares_the_other_dead():
    """Guards against a pair of hosts in which neither takes over for the other."""
    fleet = start_fleet(2)
    fleet.stop("h0000")
    fleet.run(DETECTION_SECONDS)
    assert get_live(fleet.members["h0001"]) == {"h0001"}


def test_two_sides_of_a_partition_find_each_other():
    """Guards against two sides that stay separate after a partition heals."""
    fleet = start_fleet(12)
    fleet.connected = lambda sender, receiver: (sender < "h0004") == (
        receiver < "h0004"
    )
    fleet.run(60.0)
    assert len(get_live(fleet.members["h0000"])) == 4
    assert len(get_live(fleet.members["h0011"])) == 8
    fleet.connected = lambda sender, receiver: True
    fleet.run(30.0)
    for member in fleet.members.values():
        assert len(get_live(member)) == 12


@pytest.mark.parametrize("through_list", [True, False])
def test_new_host_joins(through_list):
    """Guards against a new node that does not learn the hosts, or they not of it."""
    fleet = start_fleet()
    seeds = () if through_list else ("h0002:7100",)
    fleet.members["h0002"].board.membership.regions["lost"] = "r9"
    new = fleet.start("h9999", seeds=seeds)
    if through_list:
        rows = fleets.make_entries(8, 1)
        fleet.handle(new, base.HostListReceived(hosts=rows))
    fleet.run(3.0)
    for member in fleet.members.values():
        assert len(get_live(member)) == 9
    if not through_list:
        assert new.board.membership.regions == {"p0": "r0", "lost": "r9"}


def test_listed_host_that_does_not_answer_is_not_live():
    """Guards against a stale host list that revives a dead host."""
    fleet = start_fleet()
    rows = (*fleets.make_entries(8, 1), make_entry("gone"))
    fleet.handle(fleet.members["h0000"], base.HostListReceived(hosts=rows))
    fleet.run(3.0)
    assert "gone" not in fleet.members["h0000"].board.hosts


def make_entry(name):
    return kvstore.HostEntry(name=name, address=f"{name}:1", place="p0", region="r0")


def test_three_hosts_read_a_key():
    """Guards against a key that no node reads or that all nodes read."""
    fleet = start_fleet()
    for key in ("hosts", "configuration"):
        readers = [m for m in fleet.members.values() if hosts.is_reader(m.board, key)]
        assert len(readers) == hosts.READERS
    fleet.stop(readers[0].name)
    fleet.run(DETECTION_SECONDS)
    left = [m for m in fleet.members.values() if m.up]
    assert sum(hosts.is_reader(m.board, key) for m in left) == hosts.READERS


def test_lost_rows_are_repaired_by_digests():
    """Guards against a node that misses a change and never learns of it."""
    fleet = start_fleet()
    board = fleet.members["h0001"].board
    record = board.hosts["h0005"]
    board.membership.digests.toggle(record)
    board.membership.peers -= 1
    del board.hosts["h0005"]
    board.membership.probe_order = [
        n for n in board.membership.probe_order if n != "h0005"
    ]
    fleet.connected = lambda sender, receiver: "h0005" not in (sender, receiver)
    # h0005 would reach h0001 itself in the end; only other hosts may report it.
    fleet.run(2.0)
    fleet.connected = lambda s, r: {s, r} != {"h0001", "h0005"}
    fleet.run(15.0)
    assert "h0005" in board.hosts


def test_changes_are_sent_a_bounded_number_of_times():
    """Guards against message traffic that stays high after a change has spread."""
    fleet = start_fleet()
    fleet.members["h0001"].board.draining = True
    fleet.run(20.0)
    before = sum(member.messages_sent for member in fleet.members.values())
    fleet.run(10.0)
    sent = sum(member.messages_sent for member in fleet.members.values()) - before
    assert sent <= 8 * 10 * 2 + 8


def test_waiting_rows_are_bounded(monkeypatch):
    """Guards against a queue that exhausts memory and processor after a partition."""
    monkeypatch.setattr(gossip, "MAXIMUM_WAITING", 10)
    board = start_fleet(20).members["h0000"].board
    outbox = gossip.Outbox()
    for name in board.hosts:
        outbox.add(name)
    rows = outbox.take(board.hosts, except_for="")
    assert [row[0] for row in rows] == sorted(board.hosts)[10:]


def test_messages_round_trip():
    """Guards against fields lost when rows are encoded and decoded."""
    fleet = start_fleet(2)
    board = fleet.members["h0000"].board
    row = gossip.make_row(board.hosts["h0001"])
    table = protocol.Table(
        sender=row, buckets=(1, 2), rows=(row, row), regions={"p0": "r0"}
    )
    envelope = envelopes.Envelope(host="h", address="a", message=table)
    assert envelopes.decode(envelopes.encode(envelope)) == envelope


@hypothesis.settings(
    derandomize=True, max_examples=15, stateful_step_count=12, deadline=None
)
class MembershipMachine(stateful.RuleBasedStateMachine):
    """Crashes, pauses, restarts and partitions five hosts in any order."""

    def __init__(self):
        super().__init__()
        self.fleet = fleets.make_fleet(5, seed=7)
        self.fleet.run(2.0)

    def choose(self, index):
        return self.fleet.members[f"h{index:04}"]

    @stateful.rule(index=st.integers(1, 4))
    def crash(self, index):
        self.fleet.stop(self.choose(index).name)

    @stateful.rule(index=st.integers(1, 4), seed=st.integers(0, 4))
    def restart(self, index, seed):
        old = self.choose(index)
        old.up = False
        self.fleet.start(
            old.name,
            incarnation=old.board.identity.incarnation + 1,
            seeds=("h0000:7100", f"h{seed:04}:7100"),
        )

    @stateful.rule(index=st.integers(0, 4), seconds=st.sampled_from([0.4, 3.0, 20.0]))
    def pause(self, index, seconds):
        self.fleet.pause(self.choose(index).name, seconds)

    @stateful.rule(side=st.frozensets(st.integers(0, 4), max_size=2))
    def partition(self, side):
        names = {f"h{index:04}" for index in side}
        self.fleet.connected = lambda s, r: (s in names) == (r in names)

    @stateful.rule(loss=st.sampled_from([0.0, 0.05, 0.2]))
    def lose(self, loss):
        self.fleet.loss = loss

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 6.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @stateful.invariant()
    def tables_are_consistent(self):
        """Guards against counters and digests that diverge from the host table."""
        for member in self.fleet.members.values():
            board, state = member.board, member.board.membership
            if state.last_message_at is None:
                continue
            own = board.hosts[member.name]
            assert own.state is records.HostState.ALIVE
            assert own.incarnation == board.identity.incarnation
            digests = gossip.Digests()
            for record in board.hosts.values():
                digests.toggle(record)
            assert digests.pack() == state.digests.pack()
            assert state.peers == len(get_live(member)) - 1
            dead = {n for n in board.hosts if n not in get_live(member)}
            assert dead == set(state.dead)
            suspects = {
                name
                for name, record in board.hosts.items()
                if record.state is records.HostState.SUSPECT
            }
            assert suspects == set(state.suspects)

    def teardown(self):
        """Guards against hosts that still disagree long after the faults end."""
        self.fleet.connected = lambda sender, receiver: True
        self.fleet.loss = 0.0
        self.fleet.run(75.0)
        up = {member.name for member in self.fleet.members.values() if member.up}
        rows = fleets.make_entries(5, 1)
        listed = tuple(row for row in rows if row.name in up)
        for name in sorted(up):
            event = base.HostListReceived(hosts=listed)
            self.fleet.handle(self.fleet.members[name], event)
        self.fleet.run(30.0)
        for name in up:
            assert get_live(self.fleet.members[name]) == up


TestMembershipMachine = MembershipMachine.TestCase
