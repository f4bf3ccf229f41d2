"""What looks at a runner in doubt have shown."""

from citronvalve.model import clock

#: Looks in a row without an answer after which a runner counts as lost.  One
#: packet that was dropped is no proof, and two take under a second.
_FAILURES_UNTIL_LOST = 2


class Suspicion:
    """One runner that may be lost, from when it is accused.

    :ivar looked_at: monotonic ms of the last look, None before the first.
    :ivar lost_at: monotonic ms from which it counts as lost, or None.
    :ivar outlived_entry: whether it answered after it had left the list.
    """

    __slots__ = ("_failed_probes", "answered_unlisted", "lost_at", "probed_at")

    def __init__(self) -> None:
        self._failed_probes = 0
        self.probed_at: clock.Ms | None = None
        self.lost_at: clock.Ms | None = None
        self.answered_unlisted = False

    @property
    def is_lost(self) -> bool:
        """Tell whether it counts as lost."""
        return self._failed_probes >= _FAILURES_UNTIL_LOST

    @property
    def last_probe_failed(self) -> bool:
        """Tell whether the last look had no answer."""
        return self._failed_probes > 0

    def record_failure(self, now: clock.Ms) -> None:
        """Note that a look had no answer.

        :param now: monotonic ms.
        """
        self._failed_probes += 1
        if self.lost_at is None and self.is_lost:
            self.lost_at = now

    def record_unlisted_answer(self) -> None:
        """Note that it answered a look though it has left the list."""
        self._failed_probes = 0
        self.lost_at = None
        self.answered_unlisted = True
