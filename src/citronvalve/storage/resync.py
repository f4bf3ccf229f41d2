"""Decides when what is held of a table is compared with the whole of it."""

from citronvalve.model import clock
from citronvalve.storage import rowversions

#: A wrong belief ends within this time, whatever its origin.  A daemon that
#: others go by reads the whole table; one that goes by their statements
#: compares digests, and reads it when they differ or none came for so long.
_FULL_READ_INTERVAL: clock.Ms = 1_600

#: For each row: a reader reads 200 rows a second for it at most.
_INTERVAL_PER_ROW: clock.Ms = 5

#: The least between two whole readings that other daemons request.
_MIN_REQUEST_INTERVAL: clock.Ms = 500


class ResyncSchedule:
    """Remembers when the table held was last known to be the store's.

    :ivar mirror: the keys and versions that are held.
    :ivar is_doubted: whether the whole table is to be read next.
    :ivar is_requested: whether another daemon needs the whole table told.
    """

    def __init__(self) -> None:
        self.row_versions = rowversions.RowVersions()
        self.is_full_read_needed = True
        self.is_full_update_requested = False
        self._full_read_at: clock.Ms = 0
        self._matched_at: clock.Ms = 0

    def full_read_due_at(self, is_reader: bool) -> clock.Ms:
        """Return the ms at which the table is to be read whole.

        :param reads: whether others go by what this daemon reads; a
            statement of another one then proves nothing.
        """
        last_proof_at = self._full_read_at if is_reader else self._matched_at
        return last_proof_at + (
            _MIN_REQUEST_INTERVAL
            if self.is_full_update_requested
            else self._interval
        )

    def record_full_read(self, started_at: clock.Ms) -> None:
        """Take in that the table was read whole.

        :param asked: monotonic ms before the reading.
        """
        self.is_full_read_needed = self.is_full_update_requested = False
        self._full_read_at = self._matched_at = started_at

    def record_match(self, at: clock.Ms) -> None:
        """Take in that another daemon held the same rows.

        :param at: monotonic ms at which these were the newest.
        """
        self.is_full_read_needed = False
        self._matched_at = max(self._matched_at, at)

    def record_mismatch(self, now: clock.Ms) -> None:
        """Take in that another daemon states other rows.

        One that has just read the whole table is not the one to doubt; the
        other finds out at its next whole reading.

        :param now: monotonic ms.
        """
        if now - self._full_read_at >= self._interval:
            self.is_full_read_needed = True

    @property
    def _interval(self) -> clock.Ms:
        return max(
            _FULL_READ_INTERVAL, len(self.row_versions) * _INTERVAL_PER_ROW
        )
