"""How many things happened within the last span of time."""

import collections

from citronvalve.model import clock


class SlidingCount:
    """Counts over a window that moves with time, exact to the ms.

    :param span: ms of the window.
    """

    __slots__ = ("_times", "_window")

    def __init__(self, window: clock.Ms) -> None:
        self._window = window
        self._times: collections.deque[clock.Ms] = collections.deque()

    def add(self, now: clock.Ms) -> None:
        """Count one.

        :param now: monotonic ms, never before an earlier one.
        """
        self._times.append(now)

    def count(self, now: clock.Ms) -> int:
        """Return how many lie within the window that ends now.

        :param now: monotonic ms.
        """
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)
