"""Tests of the conditions under which a primary is replaced."""

import attrs
import pytest

from hyssopshelf.failover import observations
from hyssopshelf.failover.tests import simulated_group


@pytest.fixture
def group():
    group = simulated_group.SimulatedGroup(hosts=6)
    group.run(4.0)
    assert group.find_primary()
    return group


def break_primary(group, how):
    primary = group.find_primary()
    {"killed": group.dead, "silent": group.silent, "isolated": group.isolated}[how].add(
        primary
    )
    return primary


@pytest.mark.parametrize("how", ["killed", "silent", "isolated"])
def test_lost_primary_is_replaced_after_the_window(group, how):
    """Guards against a failover that is missing, too early or too late."""
    primary = break_primary(group, how)
    group.run(observations.FAILURE_WINDOW_SECONDS - 0.1)
    assert len(group.promoted) == 1
    group.run(1.1)
    assert len(group.promoted) == 2
    assert group.find_primary() != primary


@pytest.mark.parametrize("how", ["killed", "silent", "isolated"])
def test_short_loss_changes_nothing(group, how):
    """Guards against a failover for an interruption shorter than the window."""
    break_primary(group, how)
    group.run(observations.FAILURE_WINDOW_SECONDS - 0.3)
    group.dead.clear(), group.silent.clear(), group.isolated.clear()
    group.run(6.0)
    assert len(group.promoted) == 1


def test_primary_that_only_replicas_reach_stays(group):
    """Guards against a failover because nodes cannot reach a working primary."""
    primary = group.find_primary()
    for _ in range(120):
        group.silent.add(primary)
        group.run(0.05)
        group.silent.clear()
        for name in group.names:
            group.replicate(name)
    assert len(group.promoted) == 1


@pytest.mark.parametrize("asked", [0, 1, 2, 3])
def test_half_of_the_asked_hosts_must_fail_to_reach_it(asked):
    """Guards against a replacement that a single host decides."""
    watch = observations.Watch(
        rank=0, term=1, started_at=0.0, last_alive_at=0.0, asked_hosts=3
    )
    watch.unreached_at = {f"h{number}": 9.0 for number in range(asked)}
    assert observations.is_unreached_by_peers(watch, 10.0) == (asked >= 2)


def test_paused_node_observes_anew(group):
    """Guards against a failover based on observations from before a node's pause."""
    primary = break_primary(group, "killed")
    group.run(1.5)
    for board in group.boards.values():
        board.pause_seconds = 3.0
    group.run(0.05)
    for board in group.boards.values():
        board.pause_seconds = 0.0
    group.run(1.5)
    assert group.find_primary() == primary
    group.run(2.0)
    assert len(group.promoted) == 2


def test_slow_replication_is_not_silence():
    """Guards against replacing a primary that answers, but slowly."""
    group = simulated_group.SimulatedGroup()
    status = group.instances[group.names[0]].report_status(0.0)
    report = None
    for polls in range(60):
        # Each fetch takes 1.5 s, so the reported age runs from 1.5 to 3 s.
        age = 1.5 + (polls * 0.1) % 1.5
        now = 100 + polls * 0.1
        status = attrs.evolve(status, upstream_age_seconds=age)
        report = observations.build_report(report, now, status, now)
        if polls > 16:
            assert now - report.primary_heard_at < observations.FAILURE_WINDOW_SECONDS
