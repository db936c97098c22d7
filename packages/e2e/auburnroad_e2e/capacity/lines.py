"""Lines through measured points, and what they say of another size."""

import msgspec


class Point(msgspec.Struct, frozen=True):
    """A measured point: a size and what was measured there."""

    size: float
    value: float


class Line(msgspec.Struct, frozen=True):
    """A line fitted by least squares.

    Attributes:
      base: Value at size zero.
      slope: Growth of the value with each unit of size.
      points: Points that it was fitted to.
    """

    base: float
    slope: float
    points: list[Point]

    def compute(self, size: float) -> float:
        """Compute the line's value at a size."""
        return self.base + self.slope * size


def fit_line(pairs: list[tuple[float, float]]) -> Line:
    """Fit a line.

    Args:
      pairs: Sizes and values, of two different sizes at least.

    Returns:
      The line.
    """
    count = len(pairs)
    mean_size = sum(size for size, _ in pairs) / count
    mean_value = sum(value for _, value in pairs) / count
    spread = sum((size - mean_size) ** 2 for size, _ in pairs)
    common = sum(
        (size - mean_size) * (value - mean_value) for size, value in pairs
    )
    slope = common / spread
    return Line(
        mean_value - slope * mean_size,
        slope,
        [Point(size, value) for size, value in pairs],
    )
