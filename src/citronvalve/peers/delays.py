"""Measures how late the messages of other daemons arrive."""

from typing import NamedTuple

from citronvalve.model import clock

#: The minimum delay is taken over this window and the one before.  A sender
#: whose monotonic clock stood still seems late until both have passed.
_WINDOW: clock.Ms = 30_000


class _MinimumDelay(NamedTuple):
    """Minimum clock difference in the current and the previous window."""

    window_start: clock.Ms
    current: clock.Ms
    previous: clock.Ms


class DelayTracker:
    """Compares send and receive times of messages by sender.

    The monotonic clocks have different origins, so only changes of their
    difference are meaningful.  Queueing between two daemons, or before a
    task that lacks CPU time, would make old information look fresh.
    """

    def __init__(self) -> None:
        self._minimum_by_sender: dict[str, _MinimumDelay] = {}

    def excess_delay(
        self, sender: str, sent_at: clock.Ms, now: clock.Ms
    ) -> clock.Ms:
        """Record a message; return its delay in ms beyond the minimum.

        :param sender: the daemon that sent it.
        :param sent_at: the sender's monotonic time in ms.
        :param now: this daemon's monotonic time in ms.
        """
        delay = now - sent_at
        minimum = self._minimum_by_sender.get(sender)
        if minimum is None:
            minimum = _MinimumDelay(now, delay, delay)
        elif now - minimum.window_start >= _WINDOW:
            minimum = _MinimumDelay(now, delay, minimum.current)
        minimum = minimum._replace(current=min(minimum.current, delay))
        self._minimum_by_sender[sender] = minimum
        return delay - min(minimum.current, minimum.previous)
