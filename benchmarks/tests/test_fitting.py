"""Tests of the line fits behind the figures in docs/CAPACITY.md."""

import pytest

from benchmarks import fitting


def test_line_through_exact_points():
    """Guards against a slope and an intercept that are swapped or scaled."""
    line = fitting.fit_line([100, 200, 400, 800], [7.0, 12.0, 22.0, 42.0])
    assert line.slope == pytest.approx(0.05)
    assert line.intercept == pytest.approx(2.0)
    assert line.extrapolate(5100) == pytest.approx(257.0)
    assert line.largest_deviation == pytest.approx(0.0)
    assert (line.points, line.largest_argument) == (4, 800)


def test_deviation_of_a_curve():
    """Guards against a quadratic cost that is reported as a good linear fit."""
    arguments = [1, 2, 3, 4]
    line = fitting.fit_line(arguments, [x * x for x in arguments])
    assert line.slope == pytest.approx(5.0)
    assert line.intercept == pytest.approx(-5.0)
    assert line.largest_deviation == pytest.approx(1 / 16)


def test_equal_arguments_are_refused():
    """Guards against a slope that is computed from a single argument."""
    with pytest.raises(ValueError, match="different arguments"):
        fitting.fit_line([5, 5], [1.0, 2.0])
