"""Turns for work of callers that would keep all others waiting."""

from citronvalve.model import clock

#: Time from one turn to the next.
_INTERVAL: clock.Ms = 3

#: Work of a turn, in chunks decoded.
TURN = 1_500

#: Work of a read, in the same unit.
READ = 50


class WorkTurns:
    """Spaces the turns of all callers, so that others run between them."""

    def __init__(self) -> None:
        self._next_at: clock.Ms = 0

    def reserve(self, now: clock.Ms) -> clock.Ms:
        """Return the ms until the next free turn, and take it.

        :param now: monotonic ms.
        """
        at = max(now, self._next_at)
        self._next_at = at + _INTERVAL
        return at - now
