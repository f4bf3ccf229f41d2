"""Holding the lease of a data centre, or waiting for it."""

from citronvalve.groups import lease
from citronvalve.groups import rowcache
from citronvalve.groups import timing
from citronvalve.model import clock
from citronvalve.storage import rows


class LeaseManager:
    """Decides when to write the lease row; the leader does the writing.

    No wall clock is compared: a taker must see one version of the row for
    a whole lease by its own clock.

    :param datacentre: its name.
    :param holder: name of this process and this start of it.
    :param spans: the limits.
    :ivar taken_at: when this process took the current term.
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
        """Return the condition that the lease row is as this holder wrote."""
        return rows.Condition(
            rowcache.LEASES_TABLE, self._datacentre, self._version
        )

    def is_held(self, now: clock.Ms) -> bool:
        """Tell whether this process may give orders.

        :param now: monotonic time in ms, read just before the order.
        """
        return now < self._held_until

    def is_due(self, now: clock.Ms) -> bool:
        """Tell whether the row should be read now.

        :param now: monotonic time in ms.
        """
        return now >= self._next_renewal_at

    def next_write(
        self, row: rows.Row | None, now: clock.Ms, attempt: str
    ) -> rows.Transaction | None:
        """Return the write of the row that is due, if any.

        :param row: the row as just read; None when there is none.
        :param now: monotonic time in ms, read after the row.
        :param attempt: id of this try.
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
        # The answer to our write was lost, and here it stands.  Its time
        # counts from before it was sent.
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
        """Take in that a write of the row took effect.

        :param version: of the row.
        :param term: that was written.
        :param sent_at: monotonic time in ms before it was sent.
        """
        if term != self._term:
            self._term, self.acquired_at = term, sent_at
        self._version = version
        self._held_until = max(
            self._held_until, sent_at + self._timings.lease_duration
        )

    def record_lost(self) -> None:
        """Take in that another process wrote the row."""
        self._held_until = -1

    def release(self, now: clock.Ms, attempt: str) -> rows.Transaction | None:
        """Return the write that frees the row for the next holder.

        :param now: monotonic time in ms.
        :param attempt: id of this try.
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
