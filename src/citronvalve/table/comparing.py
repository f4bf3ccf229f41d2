"""Decides when a daemon compares its table with the whole of the platform's.

A reading of what changed shows nothing of the rows below it: a row that is
wrong here at the platform's own version would stay until somebody edits it.
"""

import random

from citronvalve.model import clock

#: Between two comparisons of a watcher, which reads the whole table for each.
_SPAN: clock.Ms = 5 * clock.MINUTE

#: Watchers that were started together do not read together.
_JITTER = 0.2

#: Between two comparisons at least: a peer that is wrong itself may differ
#: for long.
_LEAST: clock.Ms = clock.MINUTE


class Comparing:
    """Watchers compare by time, the others when a peer holds other rows.

    :param chance: for jitter.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._compared_at: clock.Ms | None = None
        self._next_at: clock.Ms | None = None

    def is_due(self, now: clock.Ms, watches: bool, doubted: bool) -> bool:
        """Tell whether to compare at this moment.

        :param now: monotonic ms.
        :param watches: whether this daemon reads the platform for others.
        :param doubted: whether a peer holds other rows at the same version.
        """
        if self._next_at is None:
            self._plan(now)
        if doubted:
            at = self._compared_at
            return at is None or now - at >= _LEAST
        return watches and now >= self._next_at

    def compared(self, now: clock.Ms) -> None:
        """Take in that the whole table was asked for.

        :param now: monotonic ms.
        """
        self._compared_at = now
        self._plan(now)

    def _plan(self, now: clock.Ms) -> None:
        spread = self._chance.uniform(-_JITTER, _JITTER)
        self._next_at = now + round(_SPAN * (1 + spread))
