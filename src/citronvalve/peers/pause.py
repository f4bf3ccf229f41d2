"""Detects that this process was paused."""

from citronvalve.model import clock


class PauseDetector:
    """Compares the clocks with those at the last tick.

    A paused process doesn't see its lease expire.  Any task may run first
    after the pause, so each one checks before it acts.  The wall clock is
    compared too, since the monotonic clock of a suspended VM may stand
    still.  Setting the wall clock costs one needless rejoin.

    :param clock_: the clock.
    :param limit: ms without a tick that count as a pause.
    """

    def __init__(self, clock_: clock.Clock, limit: clock.Ms) -> None:
        self._clock = clock_
        self._limit = limit
        self.tick()

    def is_paused(self) -> bool:
        """Return whether the last tick is too long ago."""
        gap = self._clock.now() - self._now
        drift = abs(self._clock.wall() - self._wall - gap)
        return gap > self._limit or drift > self._limit

    def tick(self) -> None:
        """Record that the process runs."""
        self._now = self._clock.now()
        self._wall = self._clock.wall()
