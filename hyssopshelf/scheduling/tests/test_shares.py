"""Tests of the usage exchange between the serving nodes of a pool."""

import collections
import random

import attrs
import pytest

from hyssopshelf import base, blackboard
from hyssopshelf.configuration import resources
from hyssopshelf.scheduling import queues, shares
from hyssopshelf.scheduling.tests import test_queues

HOSTS = ("h1", "h2", "h3")
DATABASE = resources.DatabaseSpec(
    name="d",
    endpoints=tuple(
        resources.EndpointSpec(name=host, address="127.0.0.1:1", place="x")
        for host in HOSTS
    ),
)
VIEW = attrs.evolve(test_queues.VIEW, databases={"d": DATABASE})


def make_board(host, hosts=HOSTS, view=VIEW, seed=1):
    """Return a board that serves the endpoint of its own name in each pool."""
    board = blackboard.Blackboard(
        identity=blackboard.Identity(host=host, address="127.0.0.1:7000", place="x"),
        random=random.Random(seed),
    )
    board.pools["p"] = view
    for name in hosts:
        board.hosts[name] = blackboard.HostRecord(name=name, address="", place="x")
        board.placement[f"p/d/{name}"] = name
    endpoint = f"p/d/{host}"
    board.endpoint_queues[endpoint] = queues.EndpointQueue(endpoint=endpoint, pool="p")
    return board


def deliver(boards, now, lost=lambda message: False):
    """Deliver the peer messages of all boards; return the other actions."""
    rest = []
    for board in boards.values():
        actions, board.actions = board.actions, []
        for action in actions:
            if not isinstance(action, base.SendPeer):
                rest.append((board.identity.host, action))
            elif action.host in boards and not lost(action.message):
                base.receive(
                    action.message, boards[action.host], board.identity.host, now
                )
    return rest


def run_fleet(demand, seconds, *, lost=lambda message: False, mean_seconds=0.05):
    """Return the slot time by partner in the second half of a run.

    ``demand`` maps a host to the partners that always have work waiting there.
    """
    boards = {host: make_board(host) for host in HOSTS}
    generator = random.Random(1)
    used = dict.fromkeys("ab", 0.0)
    running = {host: {} for host in HOSTS}
    waiting = collections.Counter()
    number = 0
    for tick in range(round(seconds / 0.01)):
        now = tick * 0.01
        for host, board in boards.items():
            (queue,) = board.endpoint_queues.values()
            for work_id in [i for i, end in running[host].items() if end[0] <= now]:
                _, item = running[host].pop(work_id)
                slot_seconds = queue.finish(work_id, now)
                shares.record_usage(board, "p", item.partner, item.rank, slot_seconds)
                if now > seconds / 2:
                    used[item.partner] += slot_seconds
            for partner in demand[host]:
                for _ in range(8 - waiting[host, partner]):
                    number += 1
                    item = test_queues.make_work(number, partner, "normal", now)
                    queue.admit(item, VIEW, now).unwrap()
                    waiting[host, partner] += 1
            while (item := queue.take(VIEW, now)) is not None:
                length = generator.expovariate(1 / mean_seconds)
                running[host][item.id] = (now + length, item)
                waiting[host, item.partner] -= 1
            if tick % 5 == 0:
                shares.step(board, now)
        deliver(boards, now, lost)
    return used, boards


SKEWED = {"h1": "ab", "h2": "ab", "h3": "a"}


def test_shares_hold_across_endpoints_with_different_demand():
    """Guards against shares that hold at each endpoint but not in the pool."""
    used, _ = run_fleet(SKEWED, 120.0)
    assert used["a"] / sum(used.values()) == pytest.approx(0.7, abs=0.02)


def test_shares_hold_when_messages_are_lost():
    """Guards against shares that drift when usage reports are lost."""
    generator = random.Random(2)
    used, _ = run_fleet(SKEWED, 120.0, lost=lambda message: generator.random() < 0.5)
    assert used["a"] / sum(used.values()) == pytest.approx(0.7, abs=0.02)


def test_lone_partner_gets_no_correction():
    """Guards against corrections that grow while no other partner is backlogged."""
    _, boards = run_fleet({"h1": "a", "h2": "a", "h3": "a"}, 20.0)
    assert boards["h1"].usage.pools["p"].corrections["a"] == pytest.approx(1.0)


def test_correction_is_bounded_when_the_share_cannot_be_reached():
    """Guards against starving a partner at one endpoint for its service elsewhere."""
    used, boards = run_fleet({"h1": "ab", "h2": "b", "h3": "b"}, 60.0)
    corrections = boards["h1"].usage.pools["p"].corrections
    assert corrections["a"] == pytest.approx(shares.MAXIMUM_CORRECTION)
    assert used["a"] / sum(used.values()) < 1 / 3


def make_large_board(count):
    """Return a board in a pool with ``count`` serving hosts."""
    hosts = tuple(f"host-{number}" for number in range(count))
    endpoints = tuple(
        resources.EndpointSpec(name=host, address="", place="x") for host in hosts
    )
    database = resources.DatabaseSpec(name="d", endpoints=endpoints)
    return make_board(hosts[0], hosts, attrs.evolve(VIEW, databases={"d": database}))


def sent_bytes(board):
    return sum(
        shares.encoded_bytes(board, action.message)
        for action in board.actions
        if isinstance(action, base.SendPeer)
    )


@pytest.mark.parametrize("count", [3, 400])
def test_sent_bytes_do_not_grow_with_the_pool(count):
    """Guards against control traffic above the budget in a large pool."""
    board = make_large_board(count)
    for tick in range(1200):
        shares.record_usage(board, "p", "a", "urgent", 0.01)
        shares.record_usage(board, "p", "b", "normal", 0.01)
        shares.step(board, tick * 0.05)
    assert 0 < sent_bytes(board) <= shares.BYTES_PER_SECOND * 61


def test_report_of_an_unserved_pool_takes_no_state():
    """Guards against state that grows with reports of unserved pools."""
    board = make_board("h1")
    report = shares.UsageReport(
        pool="q", partners=(), ranks=(), milli_slots=(), waiting=()
    )
    base.receive(report, board, "h9", 0.0)
    assert board.usage.pools == {}
