"""How many things happened within the last span of time."""

import collections

from citronvalve.model import clock


class SlidingCount:
    """Counts over a window that moves with time, exact to the ms.

    :param span: ms of the window.
    """

    __slots__ = ("_moments", "_span")

    def __init__(self, span: clock.Ms) -> None:
        self._span = span
        self._moments: collections.deque[clock.Ms] = collections.deque()

    def add(self, now: clock.Ms) -> None:
        """Count one.

        :param now: monotonic ms, never before an earlier one.
        """
        self._moments.append(now)

    def count(self, now: clock.Ms) -> int:
        """Return how many lie within the window that ends now.

        :param now: monotonic ms.
        """
        while self._moments and self._moments[0] <= now - self._span:
            self._moments.popleft()
        return len(self._moments)
