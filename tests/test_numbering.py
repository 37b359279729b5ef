"""Tests of the numbers that tell processes of a host apart."""

import itertools

import msgpack

from hyssopshelf import numbering

DAY = 24 * 3600 * 10**9


def start_at(monkeypatch, nanoseconds: int, count: int = 1000) -> list[int]:
    monkeypatch.setattr(numbering.time, "time_ns", lambda: nanoseconds)
    return list(itertools.islice(numbering.start_count(), count))


# MIXED and PINNED: a number of a killed process was used by its successor.
def test_two_processes_share_no_number_although_the_clock_is_set_back(monkeypatch):
    now = 20_000 * DAY
    found: set[int] = set()
    random_parts = iter((7, 0, (1 << 20) - 1, 5000, 500_000))
    monkeypatch.setattr(numbering.secrets, "randbits", lambda _: next(random_parts))
    for started in (now, now + 10**9, now - 10**9, now, now):
        numbers = set(start_at(monkeypatch, started))
        assert not numbers & found
        found |= numbers
    assert all(len(msgpack.packb(number)) == 9 for number in found)


def test_an_earlier_process_is_told_by_its_numbers(monkeypatch):
    now = 20_000 * DAY
    former = start_at(monkeypatch, now)
    numbers = start_at(monkeypatch, now + 200 * 10**6)
    assert numbering.is_earlier_process(former[-1], numbers[0])
    assert not numbering.is_earlier_process(numbers[0], former[-1])
    assert not numbering.is_earlier_process(numbers[0], numbers[-1])


def test_numbers_of_the_next_century_fit_into_messages(monkeypatch):
    (number,) = start_at(monkeypatch, 100 * 365 * DAY, 1)
    assert number < 1 << 63
