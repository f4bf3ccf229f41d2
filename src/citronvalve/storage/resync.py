"""Schedule of the full reads that correct wrong rows of a followed table."""

from citronvalve.model import clock
from citronvalve.storage import versionindex

#: Wrong rows are corrected within this time, whatever their cause.  A daemon
#: that reads for others reads all rows this often; the others compare digests
#: and read all rows if digests differ or none has matched for this long.
_FULL_READ_INTERVAL: clock.Ms = 1_600

#: Minimum interval per row, so that full reads cost a reader at most 200 rows
#: a second.
_INTERVAL_PER_ROW: clock.Ms = 5

#: Minimum time between two full reads that other daemons request.
_MIN_REQUEST_INTERVAL: clock.Ms = 500


class ResyncSchedule:
    """Decides when a full read of a table is due.

    :ivar version_index: keys and versions of the current rows.
    :ivar is_full_read_needed: whether the next read must be a full one.
    :ivar is_full_update_requested: whether another daemon needs all rows.
    """

    def __init__(self) -> None:
        self.version_index = versionindex.VersionIndex()
        self.is_full_read_needed = True
        self.is_full_update_requested = False
        self._full_read_at: clock.Ms = 0
        self._matched_at: clock.Ms = 0

    def due_at(self, is_reader: bool) -> clock.Ms:
        """Return the monotonic ms at which the next full read is due.

        :param is_reader: whether others rely on this daemon's reads; a
            matching digest of another daemon then proves nothing.
        """
        last_proof_at = self._full_read_at if is_reader else self._matched_at
        return last_proof_at + (
            _MIN_REQUEST_INTERVAL
            if self.is_full_update_requested
            else self._interval
        )

    def record_full_read(self, started_at: clock.Ms) -> None:
        """Record a full read.

        :param started_at: monotonic ms before the read.
        """
        self.is_full_read_needed = self.is_full_update_requested = False
        self._full_read_at = self._matched_at = started_at

    def begin_reading(self) -> None:
        """Record that others now rely on this daemon's reads.

        Up to the last match its rows were those of a reader.
        """
        self._full_read_at = max(self._full_read_at, self._matched_at)

    def record_match(self, at: clock.Ms) -> None:
        """Record that another daemon has the same rows.

        :param at: monotonic ms at which they were current.
        """
        self.is_full_read_needed = False
        self._matched_at = max(self._matched_at, at)

    def record_mismatch(self, now: clock.Ms) -> None:
        """Record that another daemon has different rows.

        After a recent full read this daemon's rows are trusted; the other
        daemon corrects its own at its next full read.

        :param now: monotonic ms.
        """
        if now - self._full_read_at >= self._interval:
            self.is_full_read_needed = True

    @property
    def _interval(self) -> clock.Ms:
        return max(
            _FULL_READ_INTERVAL, len(self.version_index) * _INTERVAL_PER_ROW
        )
