"""How much later than usual the messages of other daemons arrive."""

from typing import NamedTuple

from citronvalve.model import clock

#: The fastest message of this long, or of twice as long, is the usual one.  A
#: sender whose monotonic clock stood still seems late until it has passed.
_WINDOW: clock.Ms = 30_000


class _Fastest(NamedTuple):
    """Least difference of the clocks in this window and the one before."""

    since: clock.Ms
    here: clock.Ms
    before: clock.Ms


class Delays:
    """Compares when messages were sent and when they came.

    The daemons' clocks have different origins, so that only the change of
    the difference tells something.  A queue between two daemons, or before
    a task that has too little processor, makes old statements look fresh.
    """

    def __init__(self) -> None:
        self._fastest_by_sender: dict[str, _Fastest] = {}

    def late(self, sender: str, sent_at: clock.Ms, now: clock.Ms) -> clock.Ms:
        """Take in a message; return by how many ms it is later than usual.

        :param sender: the daemon that sent it.
        :param sent_at: by the sender's monotonic clock, in ms.
        :param now: by the own one.
        """
        took = now - sent_at
        held = self._fastest_by_sender.get(sender)
        if held is None:
            held = _Fastest(now, took, took)
        elif now - held.since >= _WINDOW:
            held = _Fastest(now, took, held.here)
        held = held._replace(here=min(held.here, took))
        self._fastest_by_sender[sender] = held
        return took - min(held.here, held.before)
