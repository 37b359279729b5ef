"""Tests of the order of watchers."""

import pytest

from hyssopshelf.failover import watchers


@pytest.mark.parametrize("size", [1, 2, 8, 200])
def test_every_database_has_each_rank_once(size):
    """Guards against a database without a watcher or with two first watchers."""
    hosts = [f"h{number}" for number in range(size)]
    databases = watchers.DatabaseRing()
    databases.update(frozenset(f"p/d{number}" for number in range(100)))
    ranks = {}
    for host in hosts:
        for database, rank in watchers.find_ranks(databases, hosts, host).items():
            ranks.setdefault(database, []).append(rank)
    assert len(ranks) == 100
    expected = list(range(min(size, watchers.WATCHERS_PER_DATABASE)))
    assert all(sorted(found) == expected for found in ranks.values())


def test_second_watcher_takes_over_from_the_first():
    """Guards against an order in which the second watcher does not come next."""
    hosts = [f"h{number}" for number in range(8)]
    order = watchers.compute_order("p/d", hosts)
    rest = [host for host in hosts if host != order[0]]
    assert watchers.compute_order("p/d", rest)[:2] == order[1:]
