"""How much later than usual the messages of other daemons arrive."""

from typing import NamedTuple

from citronvalve.model import clock

#: The fastest message of this long, or of twice as long, is the usual one.  A
#: sender whose monotonic clock stood still seems late until it has passed.
_WINDOW: clock.Ms = 30_000


class _MinimumDelay(NamedTuple):
    """Least difference of the clocks in this window and the one before."""

    window_start: clock.Ms
    current: clock.Ms
    previous: clock.Ms


class DelayTracker:
    """Compares when messages were sent and when they came.

    The daemons' clocks have different origins, so that only the change of
    the difference tells something.  A queue between two daemons, or before
    a task that has too little processor, makes old statements look fresh.
    """

    def __init__(self) -> None:
        self._minimum_by_sender: dict[str, _MinimumDelay] = {}

    def excess_delay(
        self, sender: str, sent_at: clock.Ms, now: clock.Ms
    ) -> clock.Ms:
        """Take in a message; return by how many ms it is later than usual.

        :param sender: the daemon that sent it.
        :param sent_at: by the sender's monotonic clock, in ms.
        :param now: by the own one.
        """
        took = now - sent_at
        held = self._minimum_by_sender.get(sender)
        if held is None:
            held = _MinimumDelay(now, took, took)
        elif now - held.window_start >= _WINDOW:
            held = _MinimumDelay(now, took, held.current)
        held = held._replace(current=min(held.current, took))
        self._minimum_by_sender[sender] = held
        return took - min(held.current, held.previous)
