"""Outages of the store, as seen by the reads of one table."""

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing

#: Delays of a reader after consecutive failures; the last one repeats.
_READER_DELAYS: tuple[clock.Ms, ...] = (50, 100, 200, 400)

#: The same for the other daemons.  They hear from a reader when the store is
#: back, and together they make most of the calls of an outage.
_FOLLOWER_DELAYS: tuple[clock.Ms, ...] = (200, 400, 800, 1_600)


class Outage:
    """Counts consecutive failed calls and logs when an outage begins or ends.

    :param table: name of the table, for the log.
    :param log: gets the begin and end of outages.
    :ivar failed_at: monotonic ms of the last failed call, or None.
    """

    def __init__(self, table: str, log: decisionlog.DecisionLog) -> None:
        self._table = table
        self._log = log
        self._started_at: clock.Ms | None = None
        self._failures = 0
        self.failed_at: clock.Ms | None = None

    def record_failure(
        self, failure: missing.Missing, now: clock.Ms, is_reader: bool
    ) -> clock.Ms:
        """Record a failed call and return the delay in ms before the next.

        :param failure: result of the call.
        :param now: monotonic ms.
        :param is_reader: whether others rely on this daemon's reads.
        """
        self.failed_at = now
        if self._started_at is None:
            self._started_at = now
            self._log.change(
                "store lost", table=self._table, why=failure.reason[:200]
            )
        delays = _READER_DELAYS if is_reader else _FOLLOWER_DELAYS
        delay = delays[min(self._failures, len(delays) - 1)]
        self._failures += 1
        return delay

    def record_success(self, now: clock.Ms) -> None:
        """Record a successful call.

        :param now: monotonic ms.
        """
        if self._started_at is not None:
            self._log.change(
                "store regained",
                table=self._table,
                away_ms=now - self._started_at,
            )
        self._started_at = None
        self._failures = 0
