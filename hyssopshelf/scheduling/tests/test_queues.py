"""Tests of the scheduling queue of one endpoint."""

import collections
import random

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hyssopshelf import exceptions
from hyssopshelf.configuration import resources, views
from hyssopshelf.scheduling import queues, work

RANKS = {
    "urgent": resources.RankSpec(order=0, floor=0.3, queue_limit=50),
    "normal": resources.RankSpec(order=1, floor=0.2, queue_limit=50),
    "background": resources.RankSpec(order=2, floor=0.1, queue_limit=50),
}
VIEW = views.PoolView(
    pool="p",
    version=1,
    slots=3,
    connections=20,
    databases={},
    ranks=RANKS,
    kinds={},
    capacity={"a": 0.7, "b": 0.3},
    bill={"a": 0.7, "b": 0.3},
)
ALL = [(partner, rank) for partner in "ab" for rank in RANKS]


def make_queue():
    return queues.EndpointQueue(endpoint="p/d/e", pool="p")


def make_work(number, partner="a", rank="urgent", now=0.0, **fields):
    fields.setdefault("deadline", now + 1000.0)
    return work.Work(
        id=str(number), partner=partner, rank=rank, enqueued_at=now, **fields
    )


def flood(keys, *, seconds, mean_seconds, seed=1, light=None):
    """Return the slot time by key while all ``keys`` always have waiting work.

    ``light`` maps further keys to their offered load in slots.
    """
    generator = random.Random(seed)
    queue, now, number = make_queue(), 0.0, 0
    used, running = collections.Counter(), []
    waiting, due = collections.Counter(), dict.fromkeys(light or {}, 0.0)
    while now < seconds:
        arrivals = [key for key in keys for _ in range(8 - waiting[key])]
        for key in due:
            while due[key] <= now:
                due[key] += generator.expovariate(light[key] / mean_seconds[key[1]])
                arrivals.append(key)
        for partner, rank in arrivals:
            number += 1
            if queue.admit(make_work(number, partner, rank, now), VIEW, now).is_ok():
                waiting[partner, rank] += 1
        while (item := queue.take(VIEW, now)) is not None:
            waiting[item.partner, item.rank] -= 1
            length = generator.lognormvariate(-0.5, 1.0) * mean_seconds[item.rank]
            running.append((now + length, item))
        running.sort(key=lambda pair: pair[0])
        now, item = running.pop(0)
        used[item.partner, item.rank] += queue.finish(item.id, now)
    total = sum(used.values())
    return {key: seconds / total for key, seconds in used.items()}


def rank_part(parts, rank):
    return sum(part for (_, other), part in parts.items() if other == rank)


def partner_part(parts, partner):
    return sum(part for (other, _), part in parts.items() if other == partner)


EVEN = dict.fromkeys(RANKS, 0.1)
LONG_BACKGROUND = EVEN | {"background": 0.5}


@pytest.mark.parametrize("mean_seconds", [EVEN, LONG_BACKGROUND])
def test_floors_and_shares_hold_when_all_flood(mean_seconds):
    """Guards against urgent floods or long statements that violate a rank floor."""
    parts = flood(ALL, seconds=400, mean_seconds=mean_seconds)
    assert rank_part(parts, "background") == pytest.approx(0.1, abs=0.01)
    assert rank_part(parts, "normal") == pytest.approx(0.2, abs=0.01)
    assert rank_part(parts, "urgent") == pytest.approx(0.7, abs=0.01)
    assert partner_part(parts, "a") == pytest.approx(0.7, abs=0.02)


@pytest.mark.parametrize(
    ("a_rank", "b_rank"),
    [("urgent", "background"), ("background", "urgent"), ("urgent", "urgent")],
)
def test_share_holds_against_a_more_urgent_partner(a_rank, b_rank):
    """Guards against a partner losing its share because its rank is less urgent."""
    parts = flood([("a", a_rank), ("b", b_rank)], seconds=200, mean_seconds=EVEN)
    assert partner_part(parts, "b") == pytest.approx(0.3, abs=0.02)


def test_unused_share_is_used_by_others():
    """Guards against idle slots reserved for a partner that does not use them."""
    parts = flood([("b", "normal")], seconds=50, mean_seconds=EVEN)
    assert partner_part(parts, "b") == pytest.approx(1.0)


def test_light_partner_is_served_in_a_flood_of_all_ranks():
    """Guards against a flooding partner that starves one within its share."""
    light = {("b", "urgent"): 0.3, ("b", "normal"): 0.3}
    parts = flood(
        [("a", rank) for rank in RANKS], seconds=300, mean_seconds=EVEN, light=light
    )
    assert parts["b", "urgent"] == pytest.approx(0.1, abs=0.02)
    assert parts["b", "normal"] == pytest.approx(0.1, abs=0.02)


def test_returning_owner_gets_its_share_at_once():
    """Guards against a partner that waits after others used its idle share."""
    queue = make_queue()
    for number in range(40):
        queue.admit(make_work(number, "a", "normal"), VIEW, 0.0)
    now = 0.0
    for _ in range(20):
        item = queue.take(VIEW, now)
        now += 0.5
        queue.finish(item.id, now)
    queue.admit(make_work("owner", "b", "normal", now), VIEW, now)
    assert queue.take(VIEW, now).id == "owner"


def test_urgent_burst_goes_before_background_within_the_window():
    """Guards against a floor that delays a short urgent burst."""
    queue = make_queue()
    for number in range(10):
        queue.admit(make_work(number, "a", "background"), VIEW, 0.0)
    now = 0.0
    for _ in range(5):
        item = queue.take(VIEW, now)
        now += 0.3
        queue.finish(item.id, now)
    for number in range(3):
        queue.admit(make_work(f"u{number}", "a", "urgent", now), VIEW, now)
    taken = [queue.take(VIEW, now).rank for _ in range(3)]
    assert taken == ["urgent"] * 3


def test_urgent_goes_before_a_rank_within_its_floor():
    """Guards against less urgent statements that overtake urgent work."""
    queue = make_queue()
    queue.admit(make_work(1, "a", "normal"), VIEW, 0.0)
    queue.admit(make_work(2, "b", "background"), VIEW, 0.0)
    queue.admit(make_work(3, "b", "urgent"), VIEW, 0.0)
    assert [queue.take(VIEW, 0.0).id for _ in range(3)] == ["3", "1", "2"]


def test_idle_rank_gets_credit_in_an_urgent_flood():
    """Guards against long waits of a rank within its floor in an urgent flood."""
    queue, now = make_queue(), 0.0
    for number in range(40):
        queue.admit(make_work(number), VIEW, 0.0)
    for _ in range(20):
        item = queue.take(VIEW, now)
        now += 0.3
        queue.finish(item.id, now)
    queue.admit(make_work("normal", "a", "normal", now), VIEW, now)
    assert queue.take(VIEW, now).id == "normal"


def test_transaction_statement_goes_first():
    """Guards against open transactions that wait while they hold connections."""
    queue = make_queue()
    queue.admit(make_work(1), VIEW, 0.0)
    queue.admit(make_work(2, "b", "background", in_transaction=True), VIEW, 0.0)
    assert queue.take(VIEW, 0.0).id == "2"


def test_real_slot_time_is_charged():
    """Guards against a partner that gains service by understating its slot time."""
    queue = make_queue()
    view = attrs.evolve(VIEW, slots=1)
    for number in range(20):
        queue.admit(make_work(f"a{number}", "a", estimated_seconds=0.001), view, 0.0)
        queue.admit(make_work(f"b{number}", "b", estimated_seconds=0.001), view, 0.0)
    now, used = 0.0, collections.Counter()
    while now < 10.0:
        item = queue.take(view, now)
        now += 0.9 if item.partner == "a" else 0.3
        used[item.partner] += queue.finish(item.id, now)
    assert used["a"] / now == pytest.approx(0.7, abs=0.1)


def test_full_queue_sheds_the_partner_above_its_part():
    """Guards against one partner that fills the queue of a rank for all."""
    queue = make_queue()
    for number in range(50):
        assert queue.admit(make_work(number, "a"), VIEW, 0.0).is_ok()
    assert queue.admit(make_work("more", "a"), VIEW, 0.0).is_err()
    shed = queue.admit(make_work("b1", "b"), VIEW, 0.0).unwrap()
    assert [item.id for item in shed] == ["49"]
    assert queue.waiting == 50


def test_late_work_is_shed_first():
    """Guards against shedding work that could still finish in time."""
    queue = make_queue()
    for number in range(50):
        deadline = 1.0 if number == 7 else 1000.0
        queue.admit(make_work(number, "a", deadline=deadline), VIEW, 0.0)
    shed = queue.admit(make_work("new", "a", now=2.0), VIEW, 2.0).unwrap()
    assert [item.id for item in shed] == ["7"]


def test_work_that_cannot_finish_in_time_is_refused():
    """Guards against queueing work that will miss its deadline."""
    queue = make_queue()
    view = attrs.evolve(VIEW, slots=1)
    now = 0.0
    for number in range(20):
        queue.admit(make_work(number, now=now), view, now)
    for _ in range(10):
        item = queue.take(view, now)
        now += 1.0
        queue.finish(item.id, now)
    refusal = queue.admit(
        make_work("tight", now=now, deadline=now + 3.0), view, now
    ).unwrap_err()
    assert refusal.reason == queues.DEADLINE_TOO_CLOSE
    assert refusal.retry_after_seconds > 1.0
    short = queue.admit(
        make_work("short", "b", now=now, deadline=now), view, now
    ).unwrap_err()
    assert short.reason == queues.DEADLINE_TOO_CLOSE


def test_expired_work_is_returned_once():
    """Guards against expired work that is lost or returned twice."""
    queue = make_queue()
    queue.admit(make_work(1, deadline=1.0), VIEW, 0.0)
    queue.admit(make_work(2), VIEW, 0.0)
    assert [item.id for item in queue.expire(1.0)] == ["1"]
    assert queue.expire(1.0) == []
    assert queue.waiting == 1


def test_same_work_twice_is_an_error():
    """Guards against refusing work whose first copy may be running."""
    queue = make_queue()
    queue.admit(make_work(1), VIEW, 0.0)
    with pytest.raises(exceptions.InvariantError):
        queue.admit(make_work(1), VIEW, 0.0)


def test_rank_removed_while_work_waits():
    """Guards against a new configuration that strands or crashes queued work."""
    queue = make_queue()
    queue.admit(make_work(1, "b", "background"), VIEW, 0.0)
    smaller = attrs.evolve(
        VIEW, version=2, ranks={"urgent": RANKS["urgent"]}, capacity={"a": 1.0}
    )
    assert queue.admit(make_work(2, "a", "normal"), smaller, 0.0).is_err()
    item = queue.take(smaller, 0.0)
    assert item.id == "1"
    assert queue.finish("1", 1.0) == 1.0


class QueueMachine(stateful.RuleBasedStateMachine):
    """Guards against lost or duplicated work, excess slots in use and idle slots."""

    def __init__(self):
        super().__init__()
        self.queue = make_queue()
        self.now = 0.0
        self.number = 0
        self.waiting = set()
        self.running = {}

    @stateful.rule(
        key=st.sampled_from(ALL),
        patience=st.sampled_from([0.05, 1.0, 100.0]),
        in_transaction=st.booleans(),
        count=st.integers(1, 30),
    )
    def admit(self, key, patience, in_transaction, count):
        for _ in range(count):
            self.number += 1
            item = make_work(
                self.number,
                *key,
                now=self.now,
                deadline=self.now + patience,
                in_transaction=in_transaction,
            )
            answer = self.queue.admit(item, VIEW, self.now)
            if answer.is_ok():
                self.waiting.add(item.id)
                self.remove({other.id for other in answer.unwrap()})

    def remove(self, ids):
        assert ids <= self.waiting
        self.waiting -= ids

    @stateful.rule()
    def take_all(self):
        while (item := self.queue.take(VIEW, self.now)) is not None:
            self.remove({item.id})
            self.running[item.id] = item
        assert len(self.running) == VIEW.slots or not self.waiting

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), seconds=st.floats(0.0, 2.0))
    def finish(self, data, seconds):
        self.now += seconds
        item = self.running.pop(data.draw(st.sampled_from(sorted(self.running))))
        used = self.queue.finish(item.id, self.now)
        assert used == pytest.approx(self.now - item.started_at)
        assert self.queue.finish(item.id, self.now) == 0.0

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def requeue(self, data):
        item = self.running.pop(data.draw(st.sampled_from(sorted(self.running))))
        self.queue.requeue(item)
        self.waiting.add(item.id)

    @stateful.rule(seconds=st.floats(0.0, 0.5))
    def expire(self, seconds):
        self.now += seconds
        late = self.queue.expire(self.now)
        self.remove({item.id for item in late})

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def discard(self, data):
        work_id = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.discard(work_id)
        assert not self.queue.discard(work_id)
        self.waiting.remove(work_id)

    @stateful.invariant()
    def counts_agree(self):
        assert self.queue.waiting == len(self.waiting)
        assert self.queue.running == len(self.running) <= VIEW.slots


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestQueueMachine = QueueMachine.TestCase
