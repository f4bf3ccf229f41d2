"""A count of events within a sliding window of time."""

import collections

from citronvalve.model import clock


class SlidingCount:
    """Counts events in a sliding window, exact to the ms.

    :param window: its length in ms.
    """

    __slots__ = ("_times", "_window")

    def __init__(self, window: clock.Ms) -> None:
        self._window = window
        self._times: collections.deque[clock.Ms] = collections.deque()

    def add(self, now: clock.Ms) -> None:
        """Count an event.

        :param now: monotonic ms, never less than in an earlier call.
        """
        self._times.append(now)

    def count(self, now: clock.Ms) -> int:
        """Return the number of events in the window that ends now.

        :param now: monotonic ms.
        """
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)
