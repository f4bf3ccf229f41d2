"""Decides when what is held of a table is compared with the whole of it."""

from citronvalve.model import clock
from citronvalve.storage import mirror

#: A wrong belief ends within this time, whatever its origin.  A daemon that
#: others go by reads the whole table; one that goes by their statements
#: compares digests, and reads it when they differ or none came for so long.
_SPAN: clock.Ms = 1_600

#: For each row: a reader reads 200 rows a second for it at most.
_SPAN_ROW: clock.Ms = 5

#: The least between two whole readings that other daemons request.
_REQUESTED: clock.Ms = 500


class Comparison:
    """Remembers when the table held was last known to be the store's.

    :ivar mirror: the keys and versions that are held.
    :ivar is_doubted: whether the whole table is to be read next.
    :ivar is_requested: whether another daemon needs the whole table told.
    """

    def __init__(self) -> None:
        self.mirror = mirror.Mirror()
        self.is_doubted = True
        self.is_requested = False
        self._read_whole_at: clock.Ms = 0
        self._matched_at: clock.Ms = 0

    def due_at(self, reads: bool) -> clock.Ms:
        """Return the ms at which the table is to be read whole.

        :param reads: whether others go by what this daemon reads; a
            statement of another one then proves nothing.
        """
        at = self._read_whole_at if reads else self._matched_at
        return at + (_REQUESTED if self.is_requested else self._span)

    def read_whole(self, asked: clock.Ms) -> None:
        """Take in that the table was read whole.

        :param asked: monotonic ms before the reading.
        """
        self.is_doubted = self.is_requested = False
        self._read_whole_at = self._matched_at = asked

    def matched(self, at: clock.Ms) -> None:
        """Take in that another daemon held the same rows.

        :param at: monotonic ms at which these were the newest.
        """
        self.is_doubted = False
        self._matched_at = max(self._matched_at, at)

    def differed(self, now: clock.Ms) -> None:
        """Take in that another daemon states other rows.

        One that has just read the whole table is not the one to doubt; the
        other finds out at its next whole reading.

        :param now: monotonic ms.
        """
        if now - self._read_whole_at >= self._span:
            self.is_doubted = True

    @property
    def _span(self) -> clock.Ms:
        return max(_SPAN, len(self.mirror) * _SPAN_ROW)
