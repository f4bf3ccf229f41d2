"""Schedules comparisons of a daemon's table with the platform's.

An incremental read returns only rows that changed since a revision.  A local
row that is wrong at an older revision would persist until the next edit of
it.
"""

import random

from citronvalve.model import clock

#: Interval between a watcher's comparisons; each is a full read.
_INTERVAL: clock.Ms = 5 * clock.MINUTE

#: Share of the interval by which full reads are spread, so that watchers
#: that start together do not read together.
_JITTER = 0.2

#: Minimum time between a comparison and the next one that a peer causes: a
#: peer whose own table is wrong may differ for long.
_MIN_INTERVAL: clock.Ms = clock.MINUTE


class ReconcileSchedule:
    """Schedules watchers by time, and any daemon when a peer differs.

    :param rng: source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_read_at: clock.Ms | None = None
        self._next_read_at: clock.Ms | None = None

    def is_due(
        self, now: clock.Ms, is_watcher: bool, peer_differs: bool
    ) -> bool:
        """Return whether a comparison is due.

        :param now: monotonic time in ms.
        :param is_watcher: whether this daemon polls the platform.
        :param peer_differs: whether a peer has other rows at this version.
        """
        if self._next_read_at is None:
            self._schedule_next(now)
        if peer_differs:
            at = self._last_read_at
            return at is None or now - at >= _MIN_INTERVAL
        return is_watcher and now >= self._next_read_at

    def record_full_read(self, now: clock.Ms) -> None:
        """Record that a full read was started.

        :param now: monotonic time in ms.
        """
        self._last_read_at = now
        self._schedule_next(now)

    def _schedule_next(self, now: clock.Ms) -> None:
        spread = self._rng.uniform(-_JITTER, _JITTER)
        self._next_read_at = now + round(_INTERVAL * (1 + spread))
