"""How much an upstream in a cold start may hold, over all daemons."""

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load


class Ramp:
    """The cold start of one upstream.

    Made for upstreams that fall over when they get full load right after a
    start.  The bound is one for all daemons together: a keeper lends parts
    of it, and a daemon without a loan sends nothing, since several daemons
    that each trusted a share of their own would together exceed it.

    :param upstream: the declared slots and ramp.
    """

    def __init__(self, upstream: declared.Upstream) -> None:
        self.upstream = upstream
        self._start_id = ""
        self._capacity = 0
        self._cold_since: clock.Ms | None = None

    def observe(self, report: load.LoadReport) -> None:
        """Take in a report and notice a new start.

        :param report: the newest report of this upstream.
        """
        if self._is_new_start(report):
            self._cold_since = report.measured_at
        self._start_id = report.start_id
        self._capacity = report.capacity

    def mark_cold(self, now: clock.Ms) -> None:
        """Take the upstream for cold, though it did not say so.

        For an upstream whose service times jumped and for one whose data
        centre comes back: its caches are empty.

        :param now: monotonic ms.
        """
        self._cold_since = now

    def is_cold(self, now: clock.Ms) -> bool:
        """Tell whether work needs a loan.

        :param now: monotonic ms.
        """
        if self._cold_since is None:
            return False
        ramped = now - self._cold_since >= self.upstream.ramp
        if ramped and self._capacity >= self.upstream.slots:
            self._cold_since = None
        return self._cold_since is not None

    def bound(self, now: clock.Ms) -> int:
        """Return how many requests all daemons together may have there.

        The least of what it says it bears and of a line from ``cold_slots``
        to ``slots``: the first is late, the second can't see a slow start.

        :param now: monotonic ms.
        """
        if not self.is_cold(now):
            return self._capacity
        cold = self.upstream.cold_slots
        elapsed = min(now - self._cold_since, self.upstream.ramp)
        growth = (self.upstream.slots - cold) * elapsed
        ramped = cold + growth // max(1, self.upstream.ramp)
        return max(0, min(self._capacity, ramped))

    def _is_new_start(self, report: load.LoadReport) -> bool:
        weak = report.capacity < self.upstream.slots
        if not self._start_id:
            return weak
        if report.start_id != self._start_id:
            return True
        # It fell back under the same start id: it now bears no more than a
        # cold one, and it bore more before.
        fell = report.capacity <= self.upstream.cold_slots < self._capacity
        return weak and fell and self._cold_since is None
