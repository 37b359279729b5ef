"""Tests of the conditions under which a primary is replaced."""

import attrs
import pytest

from hyssopshelf.failover import observations
from hyssopshelf.failover.tests import group


@pytest.fixture
def fleet():
    fleet = group.Group(hosts=6)
    fleet.run(4.0)
    assert fleet.find_primary()
    return fleet


def lose(fleet, how):
    primary = fleet.find_primary()
    {"killed": fleet.dead, "silent": fleet.silent, "cut_off": fleet.cut}[how].add(
        primary
    )
    return primary


@pytest.mark.parametrize("how", ["killed", "silent", "cut_off"])
def test_lost_primary_is_replaced_after_the_window(fleet, how):
    """Guards against a failover that comes never, early or after the bound."""
    primary = lose(fleet, how)
    fleet.run(observations.FAILURE_WINDOW_SECONDS - 0.1)
    assert len(fleet.promoted) == 1
    fleet.run(1.1)
    assert len(fleet.promoted) == 2
    assert fleet.find_primary() != primary


@pytest.mark.parametrize("how", ["killed", "silent", "cut_off"])
def test_short_loss_changes_nothing(fleet, how):
    """Guards against a failover for an interruption shorter than the window."""
    lose(fleet, how)
    fleet.run(observations.FAILURE_WINDOW_SECONDS - 0.3)
    fleet.dead.clear(), fleet.silent.clear(), fleet.cut.clear()
    fleet.run(6.0)
    assert len(fleet.promoted) == 1


def test_primary_that_only_replicas_reach_stays(fleet):
    """Guards against a failover because nodes cannot reach a working primary."""
    primary = fleet.find_primary()
    for _ in range(120):
        fleet.silent.add(primary)
        fleet.run(0.05)
        fleet.silent.clear()
        for name in fleet.names:
            fleet.replicate(name)
    assert len(fleet.promoted) == 1


@pytest.mark.parametrize("asked", [0, 1, 2, 3])
def test_half_of_the_asked_hosts_must_fail_to_reach_it(asked):
    """Guards against a replacement on the word of a single node."""
    watch = observations.Watch(
        rank=0, term=1, started_at=0.0, last_alive_at=0.0, asked_hosts=3
    )
    watch.unreached_at = {f"h{number}": 9.0 for number in range(asked)}
    assert observations.is_unreached_by_peers(watch, 10.0) == (asked >= 2)


def test_paused_node_observes_anew(fleet):
    """Guards against a node that judges by what it saw before its own pause."""
    primary = lose(fleet, "killed")
    fleet.run(1.5)
    for board in fleet.boards.values():
        board.pause_seconds = 3.0
    fleet.run(0.05)
    for board in fleet.boards.values():
        board.pause_seconds = 0.0
    fleet.run(1.5)
    assert fleet.find_primary() == primary
    fleet.run(2.0)
    assert len(fleet.promoted) == 2


def test_slow_replication_is_not_silence():
    """Guards against replacing a primary that answers, but slowly."""
    fleet = group.Group()
    status = fleet.instances[fleet.names[0]].report_status(0.0)
    report = None
    for polls in range(60):
        # Each fetch takes 1.5 s, so the reported age runs from 1.5 to 3 s.
        age = 1.5 + (polls * 0.1) % 1.5
        now = 100 + polls * 0.1
        status = attrs.evolve(status, upstream_age_seconds=age)
        report = observations.build_report(report, now, status, now)
        if polls > 16:
            assert now - report.primary_heard_at < observations.FAILURE_WINDOW_SECONDS
