"""A clock that is advanced explicitly, for tests and benchmarks."""

from citronvalve.model import clock


class ManualClock(clock.Clock):
    """Clock that only :meth:`advance` changes.

    :param start: initial time in ms.
    """

    def __init__(self, start: clock.Ms = 0) -> None:
        self._now = start

    def now(self) -> clock.Ms:
        return self._now

    def wall(self) -> clock.Ms:
        return self._now

    def advance(self, duration: clock.Ms) -> None:
        """Advance the clock.

        :param duration: ms to add.
        :raises ValueError: if the duration is negative.
        """
        if duration < 0:
            raise ValueError("a monotonic clock can't go backwards")
        self._now += duration
