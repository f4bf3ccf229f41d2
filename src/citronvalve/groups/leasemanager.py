"""Acquisition and renewal of the leader lease of a data centre."""

from citronvalve.groups import lease
from citronvalve.groups import rowcache
from citronvalve.groups import timing
from citronvalve.model import clock
from citronvalve.storage import rows


class LeaseManager:
    """Decides when to write the lease row; the leader writes it.

    Wall clocks are not compared: a new holder must observe the same version
    of the row for a whole lease by its own monotonic clock.

    :param datacentre: name of the data centre.
    :param holder: identifies this process and its start.
    :param timings: timeouts and intervals.
    :ivar acquired_at: monotonic ms when this process acquired its term.
    """

    def __init__(
        self, datacentre: str, holder: str, timings: timing.Timing
    ) -> None:
        self.acquired_at: clock.Ms = 0
        self._datacentre = datacentre
        self._holder = holder
        self._timings = timings
        self._version = rows.NO_ROW
        self._held_until: clock.Ms = -1
        self._next_renewal_at: clock.Ms = -1
        self._observed_version = -1
        self._observed_since: clock.Ms = 0
        self._term = 0
        self._sent_at_by_attempt: dict[str, clock.Ms] = {}

    @property
    def condition(self) -> rows.Condition:
        """Return the condition that the lease row is as last written here."""
        return rows.Condition(
            rowcache.LEASES_TABLE, self._datacentre, self._version
        )

    def is_held(self, now: clock.Ms) -> bool:
        """Tell whether this process holds the lease and may send orders.

        :param now: monotonic time in ms, read just before the order.
        """
        return now < self._held_until

    def is_due(self, now: clock.Ms) -> bool:
        """Tell whether the row is due to be read.

        :param now: monotonic time in ms.
        """
        return now >= self._next_renewal_at

    def next_write(
        self, row: rows.Row | None, now: clock.Ms, attempt: str
    ) -> rows.Transaction | None:
        """Return the due write that acquires or renews the lease, if any.

        :param row: the row as just read; None if it does not exist.
        :param now: monotonic time in ms, read after the row.
        :param attempt: id of this attempt.
        """
        self._next_renewal_at = now + self._timings.renew_interval
        if row is None:
            return self._write(rows.NO_ROW, 1, now, attempt)
        stored = rowcache.read_lease(row)
        if stored.holder == self._holder:
            self._settle_lost_answer(row.version, stored)
            return self._write(row.version, stored.term, now, attempt)
        if row.version != self._observed_version:
            self._observed_version, self._observed_since = row.version, now
        waited = now - self._observed_since
        is_free = (
            waited
            >= self._timings.lease_duration + self._timings.max_clock_drift
        )
        if not is_free and stored.holder:
            return None
        return self._write(row.version, stored.term + 1, now, attempt)

    def _settle_lost_answer(self, version: int, stored: lease.Lease) -> None:
        # The write took effect although its answer was lost.  The lease
        # counts from before the write was sent.
        sent_at = self._sent_at_by_attempt.get(stored.attempt)
        if sent_at is not None:
            self.record_granted(version, stored.term, sent_at)

    def _write(
        self, version: int, term: int, now: clock.Ms, attempt: str
    ) -> rows.Transaction:
        self._sent_at_by_attempt = {attempt: now}
        new_lease = lease.Lease(self._datacentre, self._holder, term, attempt)
        return rows.Transaction(
            attempt,
            (
                rows.Condition(
                    rowcache.LEASES_TABLE, self._datacentre, version
                ),
            ),
            (
                rows.Write(
                    rowcache.LEASES_TABLE,
                    self._datacentre,
                    rowcache.encode(new_lease),
                ),
            ),
        )

    def record_granted(
        self, version: int, term: int, sent_at: clock.Ms
    ) -> None:
        """Record that a write of the row took effect.

        :param version: new version of the row.
        :param term: the term that was written.
        :param sent_at: monotonic time in ms before the write was sent.
        """
        if term != self._term:
            self._term, self.acquired_at = term, sent_at
        self._version = version
        self._held_until = max(
            self._held_until, sent_at + self._timings.lease_duration
        )

    def record_lost(self) -> None:
        """Record that another process holds the lease."""
        self._held_until = -1

    def release(self, now: clock.Ms, attempt: str) -> rows.Transaction | None:
        """Return the write that releases the lease, if it is held.

        :param now: monotonic time in ms.
        :param attempt: id of this attempt.
        """
        if not self.is_held(now):
            return None
        self._held_until = -1
        released = lease.Lease(self._datacentre, "", self._term, attempt)
        value = rowcache.encode(released)
        return rows.Transaction(
            attempt,
            (self.condition,),
            (rows.Write(rowcache.LEASES_TABLE, self._datacentre, value),),
        )
