"""Probe results of a runner that may be lost."""

from citronvalve.model import clock

#: Consecutive failed probes after which a runner counts as lost.  One may be
#: due to a dropped packet; two still take less than a second.
_FAILURES_UNTIL_LOST = 2


class Suspicion:
    """Suspicion that one runner is lost.

    :ivar probed_at: monotonic ms of the last probe, None before the first.
    :ivar lost_at: monotonic ms from which it counts as lost, or None.
    :ivar answered_unlisted: whether it answered after it had left the list.
    """

    __slots__ = ("_failed_probes", "answered_unlisted", "lost_at", "probed_at")

    def __init__(self) -> None:
        self._failed_probes = 0
        self.probed_at: clock.Ms | None = None
        self.lost_at: clock.Ms | None = None
        self.answered_unlisted = False

    @property
    def is_lost(self) -> bool:
        """Return whether the runner counts as lost."""
        return self._failed_probes >= _FAILURES_UNTIL_LOST

    @property
    def last_probe_failed(self) -> bool:
        """Return whether the last probe had no answer."""
        return self._failed_probes > 0

    def record_failure(self, now: clock.Ms) -> None:
        """Record that a probe had no answer.

        :param now: monotonic ms.
        """
        self._failed_probes += 1
        if self.lost_at is None and self.is_lost:
            self.lost_at = now

    def record_unlisted_answer(self) -> None:
        """Record that the runner answered a probe after it left the list."""
        self._failed_probes = 0
        self.lost_at = None
        self.answered_unlisted = True
