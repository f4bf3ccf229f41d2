"""Follows one table of the platform for as long as the daemon runs."""

import abc
from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice

#: Longest time one call waits for a change.  A service that went silent is
#: noticed after it, so that "the newest" is never said of an older view.
_WAIT: clock.Ms = 3_000

#: Changes within this time come in one answer: at the start each runner
#: changes several times a second, and each call is paid for.
_GATHER: clock.Ms = 40

#: Pauses after a failure, the last one repeated; spread by chance.
_PAUSES: tuple[clock.Ms, ...] = (50, 100, 200, 400)


class Reader(abc.ABC):
    """Takes what is read of a table."""

    @abc.abstractmethod
    def whole(self, found: tuple[rows.Row, ...]) -> None:
        """Take all rows; whatever is not among them is gone.

        :param found: the rows.
        """

    @abc.abstractmethod
    def changed(
        self, found: tuple[rows.Row, ...], gone: tuple[str, ...]
    ) -> None:
        """Take changes.

        :param found: rows that are new or differ.
        :param gone: keys of rows that are no more.
        """

    def confirmed(self) -> None:
        """Take that everything up to now has been read."""


class Tail:
    """Reads a table whole, then its changes, and again whole after a gap.

    :param service: the table service.
    :param table: name of the table.
    :param reader: takes what is read.
    :param log: told of a lost and regained service.
    :param now: the clock.
    :param sleep: waits for seconds; other tasks run meanwhile.
    :ivar failing_since: monotonic ms since which no call succeeds, or None.
    :ivar failed_at: monotonic ms of the last failed call, or None.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        table: str,
        reader: Reader,
        log: decisionlog.DecisionLog,
        now: clock.Clock,
        sleep: Callable[[float], None],
    ) -> None:
        self._service = service
        self._table = table
        self._reader = reader
        self._log = log
        self._clock = now
        self._sleep = sleep
        self._after: int | None = None
        self._failures = 0
        self.failing_since: clock.Ms | None = None
        self.failed_at: clock.Ms | None = None

    def run(self) -> None:
        """Follow for ever."""
        while True:
            self._sleep(self.step() / clock.SECOND)

    def step(self) -> clock.Ms:
        """Make one call; return the ms until the next."""
        if self._after is None:
            got = self._service.scan(self._table)
        else:
            got = self._service.follow(self._table, self._after, _WAIT)
        if isinstance(got, missing.NotFound):
            self._log.change("history lost", table=self._table)
            self._after = None
            return 0
        if isinstance(got, missing.Missing):
            return self._failed(got)
        self._regained()
        if self._after is None:
            self._reader.whole(got.rows)
        else:
            self._reader.changed(got.rows, got.deleted)
        self._after = got.revision
        self._reader.confirmed()
        return _GATHER

    def _failed(self, why: missing.Missing) -> clock.Ms:
        now = self._clock.now()
        self.failed_at = now
        if self.failing_since is None:
            self.failing_since = now
            self._log.change(
                "store lost", table=self._table, why=why.reason[:200]
            )
        pause = _PAUSES[min(self._failures, len(_PAUSES) - 1)]
        self._failures += 1
        return pause

    def _regained(self) -> None:
        if self.failing_since is not None:
            away = self._clock.now() - self.failing_since
            self._log.change("store regained", table=self._table, away_ms=away)
        self.failing_since = None
        self._failures = 0
