"""What looks at a runner in doubt have shown."""

from citronvalve.model import clock

#: Looks in a row without an answer after which a runner counts as lost.  One
#: packet that was dropped is no proof, and two take under a second.
_LOOKS = 2


class Doubt:
    """One runner that may be lost, from when it is accused.

    :ivar looked_at: monotonic ms of the last look, None before the first.
    :ivar lost_at: monotonic ms from which it counts as lost, or None.
    :ivar outlived_entry: whether it answered after it had left the list.
    """

    __slots__ = ("_failed", "looked_at", "lost_at", "outlived_entry")

    def __init__(self) -> None:
        self._failed = 0
        self.looked_at: clock.Ms | None = None
        self.lost_at: clock.Ms | None = None
        self.outlived_entry = False

    @property
    def is_lost(self) -> bool:
        """Tell whether it counts as lost."""
        return self._failed >= _LOOKS

    @property
    def is_silent(self) -> bool:
        """Tell whether the last look had no answer."""
        return self._failed > 0

    def silent(self, now: clock.Ms) -> None:
        """Note that a look had no answer.

        :param now: monotonic ms.
        """
        self._failed += 1
        if self.lost_at is None and self.is_lost:
            self.lost_at = now

    def outlived(self) -> None:
        """Note that it answered a look though it has left the list."""
        self._failed = 0
        self.lost_at = None
        self.outlived_entry = True
