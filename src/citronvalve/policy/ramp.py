"""The slots of an upstream during a cold start, over all daemons."""

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import load


class Ramp:
    """The cold start of one upstream.

    Upstreams crash when they get full load right after a start.  The bound
    applies to all daemons together: the coordinator lends parts of it, and
    a daemon without a loan sends nothing, since daemons that each assumed a
    share of their own would exceed it together.

    :param upstream: the declared slots and ramp.
    """

    def __init__(self, upstream: declared.Upstream) -> None:
        self.upstream = upstream
        self._start_id = ""
        self._capacity = 0
        self._cold_since: clock.Ms | None = None

    def observe(self, report: load.LoadReport) -> None:
        """Apply a load report and detect a new start.

        :param report: the newest report of this upstream.
        """
        if self._is_new_start(report):
            self._cold_since = report.measured_at
        self._start_id = report.start_id
        self._capacity = report.capacity

    def mark_cold(self, now: clock.Ms) -> None:
        """Treat the upstream as cold although it did not report a start.

        Used when its service times jumped, when it was lost, and when its
        data centre returns with caches that are empty or outdated.

        :param now: monotonic ms.
        """
        self._cold_since = now

    def is_cold(self, now: clock.Ms) -> bool:
        """Return whether the upstream is cold, so that requests need a loan.

        :param now: monotonic ms.
        """
        if self._cold_since is None:
            return False
        ramped = now - self._cold_since >= self.upstream.ramp
        if ramped and self._capacity >= self.upstream.slots:
            self._cold_since = None
        return self._cold_since is not None

    def bound(self, now: clock.Ms) -> int:
        """Return how many requests all daemons together may run there.

        The minimum of the reported capacity, which arrives late, and of a
        linear ramp from ``cold_slots`` to ``slots``, which does not notice
        a start that is slower than declared.

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
        # It became cold again under the same start id: its capacity fell to
        # that of a cold upstream.
        fell = report.capacity <= self.upstream.cold_slots < self._capacity
        return weak and fell and self._cold_since is None
