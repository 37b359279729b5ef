"""Tests of promotion: safety under message loss, and progress when faults end."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hyssopshelf import messages
from hyssopshelf.failover import pending_confirmations, promotion, terms
from hyssopshelf.failover.tests import simulated_group

FRESH_SECONDS = 0.2
"""Time within which a TERM acknowledgement is sent, from the design page."""

HOSTS = st.sampled_from(["h0", "h1", "h2"])
NAMES = st.sampled_from([f"{simulated_group.DATABASE}/{name}" for name in "abc"])
LEVELS = st.sampled_from(list(pending_confirmations.ConfirmationLevel))
POSITIONS = st.integers(min_value=0, max_value=10**6)


class Promotions(stateful.RuleBasedStateMachine):
    """State machine of promoters, lost or reordered messages, faults and writes."""

    def __init__(self):
        super().__init__()
        self.group = simulated_group.SimulatedGroup()
        self.primaries = {}
        self.waiting = []
        self.acknowledged = []

    @stateful.initialize()
    def bring_up(self):
        """Start from a working group, which random steps rarely produce."""
        self.group.run(3.0)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 0.6, 2.5]))
    def pass_time(self, seconds):
        self.group.now += seconds
        for host in self.group.boards:
            if host not in self.group.stopped:
                self.group.tick(host)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.6, 3.0]))
    def run_promptly(self, seconds):
        self.group.run(seconds)

    @stateful.rule(
        picks=st.lists(POSITIONS, min_size=1, max_size=8), lost=st.booleans()
    )
    def deliver_or_lose(self, picks, lost):
        for pick in picks:
            if self.group.pending and lost:
                self.group.pending.pop(pick % len(self.group.pending))
            elif self.group.pending:
                self.group.deliver(pick % len(self.group.pending))

    @stateful.rule(host=HOSTS, excluded=st.booleans())
    def start_promotion(self, host, excluded):
        board = self.group.boards[host]
        board.failover.promotion_state.earliest_start.clear()
        old = board.databases[simulated_group.DATABASE].primary if excluded else ""
        reason = promotion.Reason.NO_PRIMARY
        promotion.start(board, simulated_group.DATABASE, reason, old, self.group.now)
        self.group.collect(host)

    @stateful.rule(host=HOSTS, name=NAMES)
    def request_change(self, host, name):
        board = self.group.boards[host]
        promotion.request_change(board, simulated_group.DATABASE, name, self.group.now)
        self.group.collect(host)

    @stateful.rule(name=NAMES, kind=st.sampled_from(["silent", "isolated", "heal"]))
    def break_or_heal(self, name, kind):
        self.group.silent.discard(name)
        self.group.isolated.discard(name)
        if kind != "heal":
            getattr(self.group, kind).add(name)

    @stateful.rule(host=HOSTS, kind=st.sampled_from(["restart", "pause", "resume"]))
    def disturb_host(self, host, kind):
        self.group.stopped.discard(host)
        if kind == "restart":
            self.group.start_host(host)
        elif kind == "pause":
            self.group.stopped.add(host)

    @stateful.rule(name=NAMES)
    def replicate(self, name):
        self.group.replicate(name)

    @stateful.rule(name=NAMES, host=HOSTS, level=LEVELS)
    def write(self, name, host, level):
        written = self.group.write(name)
        if written is not None and host not in self.group.stopped:
            pending = self.group.request_confirmation(host, written[0], level)
            self.waiting.append((pending, written[1]))

    @stateful.invariant()
    def note_acknowledgements(self):
        confirmed = pending_confirmations.ConfirmationOutcome.CONFIRMED
        for pending, value in list(self.waiting):
            if pending.outcome is None:
                continue
            self.waiting.remove((pending, value))
            if pending.outcome is not confirmed:
                continue
            if pending.level is pending_confirmations.ConfirmationLevel.LOG:
                self.acknowledged.append((pending.position, value))
            elif self.group.now <= pending.confirmed_from + FRESH_SECONDS:
                newest = max(self.group.promoted)
                assert newest <= pending.position.term, "replaced primary acknowledged"

    @stateful.invariant()
    def have_one_primary_per_term(self):
        for instance in self.group.instances.values():
            if instance.role is messages.Role.PRIMARY:
                known = self.primaries.setdefault(instance.term, instance.name)
                assert known == instance.name, "two primaries in one term"

    @stateful.invariant()
    def keep_acknowledged_writes(self):
        for instance in self.group.instances.values():
            if instance.role is not messages.Role.PRIMARY:
                continue
            for position, value in self.acknowledged:
                if position.term <= instance.term:
                    entry = instance.log[position.index - 1]
                    assert entry.changes[0].value == value, "acknowledged write lost"

    def teardown(self):
        """Guards against a group that stays without a primary once faults end."""
        self.group.silent.clear()
        self.group.isolated.clear()
        self.group.stopped.clear()
        self.group.run(20.0)
        primary = self.group.find_primary()
        followers = [i for i in self.group.instances.values() if i.name != primary]
        assert primary
        assert all(i.primary == primary for i in followers), "no common primary"


TestPromotions = Promotions.TestCase
TestPromotions.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize("seconds", [0.0, 0.03, 0.3, 0.55, 0.65])
def test_successor_finishes_after_a_promoter_dies(seconds):
    """Guards against a promotion that stays incomplete when its promoter dies."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    group.dead.add(group.find_primary())
    while not any(event == "PROMOTION_STARTED" for *_, event, _ in group.logs[-3:]):
        group.run(0.05)
    promoter = next(h for _, h, event, _ in reversed(group.logs) if "START" in event)
    group.run(seconds)
    group.stopped.add(promoter)
    group.run(5.0)
    assert group.find_primary() not in group.dead


def test_old_primary_follows_and_its_discarded_writes_are_counted():
    """Guards against an old primary that keeps its writes or drops them uncounted."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    old = group.find_primary()
    group.silent.add(old)
    group.write(old), group.write(old)
    group.run(4.0)
    group.silent.clear()
    group.run(3.0)
    assert group.instances[old].primary == group.find_primary() != old
    discarded = [fields for *_, event, fields in group.logs if "DISCARD" in event]
    assert discarded and discarded[0]["discarded"] == 2


def test_planned_change_that_cannot_finish_ends_the_hold():
    """Guards against writes that stay held for a target that never catches up."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    primary = group.find_primary()
    target = next(name for name in group.names if name != primary)
    group.isolated.add(target)
    group.write(primary)
    board = group.boards["h0"]
    assert promotion.request_change(board, simulated_group.DATABASE, target, group.now)
    group.run(0.5)
    records = [b.databases[simulated_group.DATABASE] for b in group.boards.values()]
    assert all(record.held_until > group.now for record in records)
    group.run(2.0)
    assert all(record.held_until < group.now for record in records)
    assert group.find_primary() == primary


def test_planned_change_moves_without_losing_a_write():
    """Guards against a planned change that drops the end of the log."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    primary = group.find_primary()
    target = next(name for name in group.names if name != primary)
    written = group.write(primary)
    promotion.request_change(
        group.boards["h1"], simulated_group.DATABASE, target, group.now
    )
    group.run(0.5)
    assert group.find_primary() == target
    assert group.instances[target].read_value("k") == written[1]


def test_late_hold_of_an_ended_change_is_ignored():
    """Guards against a duplicated message that holds writes again."""
    group = simulated_group.SimulatedGroup()
    board = group.boards["h0"]
    hold = terms.WritesHeld(
        database=simulated_group.DATABASE, change_id="c", term=0, remaining_seconds=3.0
    )
    end = terms.WritesHeld(
        database=simulated_group.DATABASE, change_id="c", term=0, remaining_seconds=0.0
    )
    for message in (hold, end, hold):
        terms.base.receive(message, board, "h1", group.now)
    assert board.databases[simulated_group.DATABASE].held_until < group.now


def test_unknown_primary_of_a_term_in_between_is_waited_out():
    """Guards against a promotion while an unknown primary can still acknowledge."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    known = group.find_primary()
    newer, follower = (name for name in group.names if name != known)
    fence = messages.Fence(term=2, promoter="other")
    for name in (newer, follower):
        group.instances[name].fence(fence, group.now)
    order = messages.Promote(term=2, promoter="other")
    group.instances[newer].promote(order, group.now)
    group.instances[follower].follow(messages.Follow(term=2, primary=newer), group.now)
    group.silent.add(newer)
    board = group.boards["h0"]
    board.databases[simulated_group.DATABASE].fenced_term = 2
    reason = promotion.Reason.NO_PRIMARY
    assert promotion.start(board, simulated_group.DATABASE, reason, "", group.now)
    group.run(promotion.PROMOTION_DELAY_SECONDS - 0.1)
    assert 3 not in group.promoted
    group.run(0.3)
    assert 3 in group.promoted


@pytest.mark.parametrize(
    ("excluding", "wait"),
    [
        (True, promotion.PROMOTION_DELAY_SECONDS),
        (False, promotion.ACKNOWLEDGEMENT_SECONDS),
    ],
)
def test_fenced_primary_shortens_the_hold_only_as_a_candidate(excluding, wait):
    """Guards against an acknowledgement that is sent after the promotion."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    board = group.boards["h0"]
    excluded = group.find_primary() if excluding else ""
    reason = promotion.Reason.NO_PRIMARY
    promotion.start(board, simulated_group.DATABASE, reason, excluded, group.now)
    started = group.now
    group.run(1.0)
    assert wait <= group.promoted[2][1] - started <= wait + 0.2


def test_group_recovers_after_a_long_time_without_a_majority():
    """Guards against reports that are never fresh at the normal poll interval."""
    group = simulated_group.SimulatedGroup()
    group.run(4.0)
    fence = messages.Fence(term=9, promoter="gone")
    for instance in group.instances.values():
        instance.fence(fence, group.now)
    group.silent.update(group.names[:2])
    group.run(10.0)
    group.silent.clear()
    group.run(6.0)
    assert group.find_primary()
