"""Fits straight lines to measured points."""

from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class Line:
    """A straight line fitted by least squares, with the quality of the fit.

    Attributes
    ----------
    slope, intercept : float
        Coefficients of the line.
    largest_deviation : float
        Largest absolute residual, as a fraction of the largest absolute value; 0 if
        all values are 0.
    points : int
        Number of fitted points.
    largest_argument : float
        Largest fitted argument; the line is an extrapolation beyond it.
    """

    slope: float
    intercept: float
    largest_deviation: float
    points: int
    largest_argument: float

    def extrapolate(self, argument: float) -> float:
        """Return the value of the line at any argument."""
        return self.intercept + self.slope * argument


def fit_line(arguments: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Raises
    ------
    ValueError
        If all arguments are equal, because the slope is undefined then.
    """
    count = len(arguments)
    mean_argument = sum(arguments) / count
    mean_value = sum(values) / count
    sum_of_squares = sum((argument - mean_argument) ** 2 for argument in arguments)
    if sum_of_squares == 0.0:
        raise ValueError("a line needs points with different arguments")
    pairs = list(zip(arguments, values, strict=True))
    slope = (
        sum((x - mean_argument) * (y - mean_value) for x, y in pairs) / sum_of_squares
    )
    intercept = mean_value - slope * mean_argument
    largest_value = max(abs(value) for value in values)
    deviation = max(abs(y - intercept - slope * x) for x, y in pairs)
    return Line(
        slope=slope,
        intercept=intercept,
        largest_deviation=deviation / largest_value if largest_value else 0.0,
        points=count,
        largest_argument=max(arguments),
    )
