"""Tests of leaving the failure domain: when it pays and how much leaves."""

import pytest

from hyssopshelf.balancing import spillover


def play(spill, compute_saving, seconds: float, start: float = 0.0) -> float:
    """Send a unit each 10 ms; return the share that left."""
    left = 0
    steps = int(seconds * 100)
    for step in range(steps):
        now = start + step * 0.01
        spill.update(compute_saving(now), now)
        left += spill.draw()
    return left / steps


def test_nothing_leaves_while_home_is_as_quick_but_for_the_price():
    assert play(spillover.Spillover(), lambda now: -0.001, 5.0) == 0.0


def test_a_zone_with_three_times_its_traffic_sends_some_away_but_not_all():
    """The wait at local grows to 0.4 s while the others are idle."""
    spill = spillover.Spillover()
    play(spill, lambda now: 0.4, 2.0)
    share = play(spill, lambda now: 0.4, 2.0, start=2.0)
    assert 0.4 < share <= spillover.MAXIMUM_FRACTION


def test_one_report_moves_little():
    """A single long wait must not turn the flow of a whole zone."""
    spill = spillover.Spillover()
    spill.update(0.0, 0.0)
    spill.update(2.0, 0.01)
    assert spill.fraction < 0.01


def test_load_returns_home_when_it_is_served_again():
    spill = spillover.Spillover()
    play(spill, lambda now: 0.4, 3.0)
    share = play(spill, lambda now: -0.02, 3.0, start=3.0)
    assert share < 0.1
    assert spill.fraction == 0.0


def test_two_zones_do_not_swap_their_load():
    """Each sees the other's wait; both waits follow what is sent."""
    zones = [spillover.Spillover(), spillover.Spillover()]
    waits = [0.3, 0.0]
    fractions = []
    for step in range(800):
        now = step * 0.02
        for number, zone in enumerate(zones):
            zone.update(waits[number] - waits[1 - number] - 0.03, now)
        flow = [1.3, 0.7]
        load = [
            flow[0] * (1 - zones[0].fraction) + flow[1] * zones[1].fraction,
            flow[1] * (1 - zones[1].fraction) + flow[0] * zones[0].fraction,
        ]
        waits = [
            max(0.0, w + 0.02 * (a - 1.05)) for w, a in zip(waits, load, strict=True)
        ]
        fractions.append((zones[0].fraction, zones[1].fraction))
    tail = fractions[-200:]
    assert all(min(pair) < 0.05 for pair in tail)
    assert max(a for a, _ in tail) - min(a for a, _ in tail) < 0.2


def test_work_without_an_endpoint_at_home_leaves():
    spill = spillover.Spillover()
    assert spillover.order([], [(0.1, "away")], spill, 0.0) == ["away"]
    assert spillover.order([(0.1, "local")], [], spill, 0.0) == ["local"]


def test_what_leaves_may_come_back_home():
    spill = spillover.Spillover(fraction=spillover.MAXIMUM_FRACTION)
    found = {
        spillover.order([(0.5, "local")], [(0.1, "away")], spill, 0.0)[0]
        for _ in range(10)
    }
    assert found == {"local", "away"}


@pytest.mark.parametrize(("age", "expected"), [(0.0, 0.2), (0.5, 0.1), (5.0, 0.0002)])
def test_an_old_report_counts_for_less(age, expected):
    report = spillover.ReportedWait(seconds=0.2, at=10.0)
    assert report.estimate(10.0 + age) == pytest.approx(expected, rel=0.05)
