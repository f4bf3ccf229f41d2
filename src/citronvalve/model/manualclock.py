"""A clock that moves only when told to, for tests and benchmarks."""

from citronvalve.model import clock


class ManualClock(clock.Clock):
    """A clock set by hand.

    :param start: the first reading in ms.
    """

    def __init__(self, start: clock.Ms = 0) -> None:
        self._now = start

    def now(self) -> clock.Ms:
        return self._now

    def wall(self) -> clock.Ms:
        return self._now

    def advance(self, duration: clock.Ms) -> None:
        """Move the clock on.

        :param span: ms to add; negative spans raise :exc:`ValueError`.
        """
        if duration < 0:
            raise ValueError("a monotonic clock does not go back")
        self._now += duration
