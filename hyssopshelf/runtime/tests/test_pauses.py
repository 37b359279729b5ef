"""Tests of how long messages may have waited for a process that was paused."""

import pytest

from hyssopshelf.runtime import pauses


def run_process(*spans: tuple[float, float]) -> pauses.InboxClock:
    """Return the clock of a process that looks into its empty inbox in some spans."""
    clock = pauses.InboxClock(now=0.0, cpu_seconds=0.0)
    for start, end in spans:
        for number in range(round((end - start) / pauses.TICK_SECONDS) + 1):
            now = start + number * pauses.TICK_SECONDS
            clock.find_wait_start(now, 0.0)
            clock.record_empty(now, 0.0)
    return clock


# Guards against messages sent to a process that was paused which count as new.
@pytest.mark.parametrize(
    ("spans", "now", "waited_since"),
    [
        ([(0.0, 1.0)], 1.04, 1.0),
        ([(0.0, 1.0)], 3.0, 1.0),
        ([(0.0, 1.0), (3.0, 3.0)], 3.01, 1.0),
        ([(0.0, 1.0), (3.0, 3.1)], 3.5, 1.0),
        ([(0.0, 1.0), (3.0, 4.0)], 5.0, 4.0),
        ([(0.0, 1.0), (3.0, 3.3)], 3.31, 3.3),
    ],
    ids=["runs", "resumes", "just resumed", "stalls again", "later stall", "settled"],
)
def test_messages_may_have_waited_since_the_pause(spans, now, waited_since):
    found = run_process(*spans).find_wait_start(now, 0.0)
    assert found == pytest.approx(waited_since)


# Guards against a busy loop whose short delays use up the time of forwarded work.
def test_a_short_delay_costs_only_itself():
    clock = run_process((0.0, 1.0), (1.09, 1.09))
    assert clock.find_wait_start(1.1, 0.0) == 1.09


# Guards against a busy holder that refuses all writes for as long as it is busy.
@pytest.mark.parametrize(("busy", "running"), [(0.12, 0.01), (0.2, 0.15), (2.0, 0.0)])
def test_a_busy_loop_costs_only_its_last_delay(busy, running):
    clock = pauses.InboxClock(now=0.0, cpu_seconds=0.0)
    for number in range(20):
        now, cpu_seconds = number * (busy + running), number * busy
        clock.record_empty(now, cpu_seconds)
        since = clock.find_wait_start(now + busy, cpu_seconds + busy)
        assert since == pytest.approx(now)


# Guards against a first pause from which later ones count for ever.
def test_a_pause_settles_between_later_ones():
    paused, ran = 0.2, 0.15
    longest = (pauses.SETTLE_SECONDS / ran + 1) * (paused + ran)
    clock = pauses.InboxClock(now=0.0, cpu_seconds=0.0)
    now = 0.0
    for _ in range(20):
        now += paused
        assert now - clock.find_wait_start(now, 0.0) <= longest
        clock.record_empty(now, 0.0)
        for _ in range(3):
            now += ran / 3
            clock.find_wait_start(now, 0.0)
            clock.record_empty(now, 0.0)
