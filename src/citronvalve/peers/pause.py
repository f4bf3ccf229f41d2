"""Finds out that this process was stopped for a while."""

from citronvalve.model import clock


class PauseDetector:
    """Compares clocks between ticks.

    A stopped process can't see its lease lapse; the first thing that runs
    afterwards may be any task, so every act asks first.  The wall clock is
    compared too, since a suspended VM may come back with its monotonic clock
    unmoved.  A wall clock that was merely set costs one needless rejoin.

    :param clock_: the clock.
    :param limit: ms without a tick that count as a pause.
    """

    def __init__(self, clock_: clock.Clock, limit: clock.Ms) -> None:
        self._clock = clock_
        self._limit = limit
        self.tick()

    def is_paused(self) -> bool:
        """Tell whether the last tick is too long ago to trust one's view."""
        gap = self._clock.now() - self._now
        drift = abs(self._clock.wall() - self._wall - gap)
        return gap > self._limit or drift > self._limit

    def tick(self) -> None:
        """Note that the process runs."""
        self._now = self._clock.now()
        self._wall = self._clock.wall()
