"""Which daemon leads the replica groups."""

from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice

TABLE = "citronvalve"
_KEY = "leader"
_DAEMON = "daemon/"

#: How often the holder renews, and the others look.
EVERY: clock.Ms = 1_000

#: A row that has not changed for so long may be taken: two renewals that
#: were lost, and some.  It only saves work: what keeps two leaders apart
#: are the epochs, since a runner refuses one lower than it has seen.
_LAPSE: clock.Ms = 2_600


class Lease:
    """The one row that lasts; its version at taking makes the epochs.

    :param service: the table service.
    :param name: this daemon.
    :param now: the clock.
    :param log: told of each change of the leader.
    :ivar held: version at which this daemon took the lead, or 0.
    :ivar daemons: how many daemons have a row.
    :ivar on_change: told when the lead was won or lost.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        name: str,
        now: clock.Clock,
        log: decisionlog.DecisionLog,
    ) -> None:
        self._service = service
        self._name = name
        self._clock = now
        self._log = log
        self._row: rows.Row | None = None
        self._seen_at: clock.Ms = 0
        self._turn = 0
        self._registered = False
        self.held = 0
        self.daemons = 1
        self.on_change: Callable[[], None] = lambda: None

    def step(self) -> None:
        """Renew, look or take; a failure leaves everything as it is."""
        if self.held and self._row is not None:
            self._renew()
            return
        found = self._service.scan(TABLE)
        if not isinstance(found, rows.Scan):
            return
        self._look(found)
        if self._row is None or self._has_lapsed():
            self._take()

    def resign(self) -> None:
        """Let another daemon take the lead at once."""
        if self.held:
            self._write("")
            self._lose("resigned")

    def _look(self, found: rows.Scan) -> None:
        now = self._clock.now()
        held = {row.key: row for row in found.rows}
        others = [key for key in held if key.startswith(_DAEMON)]
        self.daemons = max(1, len(others))
        row = held.get(_KEY)
        known = self._row.version if self._row else None
        if row is None or row.version != known:
            self._seen_at = now
        self._row = row
        if not self._registered:
            self._register()

    def _register(self) -> None:
        key = f"{_DAEMON}{self._name}"
        write = rows.Write(TABLE, key, {"name": self._name})
        done = self._service.commit(rows.Transaction(key, (), (write,)))
        self._registered = isinstance(done, rows.Committed)

    def _has_lapsed(self) -> bool:
        if not self._row.value.get("holder"):
            return True
        return self._clock.now() - self._seen_at >= _LAPSE

    def _take(self) -> None:
        done = self._write(self._name)
        if isinstance(done, rows.Committed):
            self.held = done.revision
            self._log.change("lead taken", lease=self.held)
            self.on_change()

    def _renew(self) -> None:
        done = self._write(self._name)
        if isinstance(done, rows.Conflict):
            self._row = None
            self._lose("another daemon took it")
        elif isinstance(done, missing.AnswerLost):
            self._read_back()

    def _read_back(self) -> None:
        found = self._service.read(TABLE, _KEY)
        if not isinstance(found, rows.Row):
            return
        if found.value.get("holder") == self._name:
            self._row = found
        else:
            self._row = None
            self._lose("another daemon took it")

    def _write(self, holder: str) -> rows.Outcome:
        self._turn += 1
        version = self._row.version if self._row else rows.NO_ROW
        value = {"holder": holder, "turn": self._turn}
        done = self._service.commit(
            rows.Transaction(
                f"{self._name}/{self._turn}",
                (rows.Condition(TABLE, _KEY, version),),
                (rows.Write(TABLE, _KEY, value),),
            )
        )
        if isinstance(done, rows.Committed):
            self._row = rows.Row(TABLE, _KEY, value, done.revision)
            self._seen_at = self._clock.now()
        return done

    def _lose(self, why: str) -> None:
        self._log.change("lead lost", lease=self.held, why=why)
        self.held = 0
        self.on_change()
