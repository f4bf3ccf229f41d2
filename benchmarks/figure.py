"""One measured figure, as ``make bench`` prints it."""

from typing import NamedTuple


class Figure(NamedTuple):
    """What one run measured.

    ``baseline`` is the same measurement of the plain way, or of the state
    before; None where there is nothing to compare with.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    @property
    def ratio(self) -> float | None:
        """Return value over baseline, or None without a usable baseline."""
        if not self.baseline:
            return None
        return self.value / self.baseline
