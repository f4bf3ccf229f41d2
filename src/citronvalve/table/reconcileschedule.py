"""Decides when a daemon compares its table with the whole of the platform's.

A reading of what changed shows nothing of the rows below it: a row that is
wrong here at the platform's own version would stay until somebody edits it.
"""

import random

from citronvalve.model import clock

#: Between two comparisons of a watcher, which reads the whole table for each.
_INTERVAL: clock.Ms = 5 * clock.MINUTE

#: Watchers that were started together do not read together.
_JITTER = 0.2

#: Between two comparisons at least: a peer that is wrong itself may differ
#: for long.
_MIN_INTERVAL: clock.Ms = clock.MINUTE


class ReconcileSchedule:
    """Watchers compare by time, the others when a peer holds other rows.

    :param chance: for jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_read_at: clock.Ms | None = None
        self._next_read_at: clock.Ms | None = None

    def is_due(
        self, now: clock.Ms, is_watcher: bool, peer_differs: bool
    ) -> bool:
        """Tell whether to compare at this moment.

        :param now: monotonic ms.
        :param watches: whether this daemon reads the platform for others.
        :param doubted: whether a peer holds other rows at the same version.
        """
        if self._next_read_at is None:
            self._schedule_next(now)
        if peer_differs:
            at = self._last_read_at
            return at is None or now - at >= _MIN_INTERVAL
        return is_watcher and now >= self._next_read_at

    def record_full_read(self, now: clock.Ms) -> None:
        """Take in that the whole table was asked for.

        :param now: monotonic ms.
        """
        self._last_read_at = now
        self._schedule_next(now)

    def _schedule_next(self, now: clock.Ms) -> None:
        spread = self._rng.uniform(-_JITTER, _JITTER)
        self._next_read_at = now + round(_INTERVAL * (1 + spread))
