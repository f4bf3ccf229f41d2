"""Notes when a table can't be read, and when it can again."""

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing

#: Pauses after a failure, the last one repeated; spread by chance.
_RETRY_DELAYS: tuple[clock.Ms, ...] = (50, 100, 200, 400)


class Outage:
    """Counts the calls for a table that fail one after the other.

    :param table: its name, for the log.
    :param log: told of a lost and regained service.
    :ivar failed_at: monotonic ms of the last failed call, or None.
    """

    def __init__(self, table: str, log: decisionlog.DecisionLog) -> None:
        self._table = table
        self._log = log
        self._started_at: clock.Ms | None = None
        self._failures = 0
        self.failed_at: clock.Ms | None = None

    def record_failure(
        self, failure: missing.Missing, now: clock.Ms
    ) -> clock.Ms:
        """Take in that a call failed; return the ms until the next.

        :param why: what came of it.
        :param now: monotonic ms.
        """
        self.failed_at = now
        if self._started_at is None:
            self._started_at = now
            self._log.change(
                "store lost", table=self._table, why=failure.reason[:200]
            )
        delay = _RETRY_DELAYS[min(self._failures, len(_RETRY_DELAYS) - 1)]
        self._failures += 1
        return delay

    def record_success(self, now: clock.Ms) -> None:
        """Take in that a call had an answer.

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
