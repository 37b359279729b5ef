"""Tests that the log stays bounded under load and never blocks."""

import os

from hyssopshelf import logs


def test_lines_about_requests_are_bounded():
    """Guards against a log that grows with the rate of requests."""
    budget = logs.LineBudget(rate=20.0, burst=40.0)
    written = sum(budget.try_take(number / 10_000) for number in range(10_000))
    assert written <= 40 + 20
    assert written + budget.suppressed == 10_000


def test_stalled_reader_does_not_block():
    """Guards against blocking on a full pipe; whole lines are dropped and counted."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        output = logs.PipeOutput(descriptor=writer)
        line = "x" * 99 + "\n"
        for _ in range(10_000):
            output.write(line)
        assert output.dropped > 0
        received = os.read(reader, 1 << 20)
        output.write(line)
        received += os.read(reader, 1 << 20)
        lines = received.split(b"\n")
        assert set(lines[:-1]) == {b"x" * 99}
    finally:
        os.close(reader)
        os.close(writer)


def test_closed_log_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    output = logs.PipeOutput(descriptor=writer)
    output.write("line\n")
    assert output.dropped == 1
    os.close(writer)
