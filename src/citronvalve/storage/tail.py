"""Follows one table of the platform for as long as the daemon runs."""

from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing
from citronvalve.storage import comparison
from citronvalve.storage import mirror
from citronvalve.storage import outage
from citronvalve.storage import reader as readers
from citronvalve.storage import rows
from citronvalve.storage import tableservice
from citronvalve.storage import tablestate

#: Longest time one call waits for a change.  A service that went silent is
#: noticed soon after it, so that "the newest" is not said of an older view.
_WAIT: clock.Ms = 800

#: What another daemon has read counts for so long since it read it, however
#: often it says so: its own call may hang, and a runner that leaves must be
#: known two seconds after the store has it.  A reader confirms every 0.9 s
#: and says so every 0.3 s, so in calm this never expires.
_VOUCHED: clock.Ms = 1_500

#: A daemon that goes by a reader waits so much longer for its statement
#: before it calls the store: statements expire for all daemons at once, and
#: they would all call.  A reading is then 1.7 s old at most.
_GRACE: clock.Ms = 150

#: A call after this time without a reading does not wait for changes, since
#: what is needed first is to know whether there were any.
_STALE: clock.Ms = 1_200

#: Pause between two looks whether another daemon still vouches.
_LOOK: clock.Ms = 50

#: Changes within this time come in one answer: at the start each runner
#: changes several times a second, and each call is paid for.
_GATHER: clock.Ms = 70

#: Source of an update that this daemon read itself, in the log.
_STORE = "store"

#: Removed rows that one line of the log names.
_NAMED = 10


class Tail:
    """Reads a table whole, then its changes, and again whole after a gap.

    :param service: the table service.
    :param table: name of the table.
    :param reader: takes what is read.
    :param log: told of a lost and regained service.
    :param now: the clock.
    :param sleep: waits for seconds; other tasks run meanwhile.
    :ivar on_read: told the revision asked after and what was read; returns
        the ms in which further changes are better gathered.
    :ivar on_call: told of each call whether it had an answer.
    :ivar on_unreadable: called when updates are missing here and the service
        does not answer; another daemon may tell the whole table.
    :ivar is_reader: tells whether others go by what this daemon reads; one
        that is none asks only when no statement of another has come.
    :ivar revision: how far the table is known, 0 before the first reading.
    :ivar changed: revision up to which the last change came; the platform's
        counter goes on with the changes of other tables.
    :ivar confirmed_at: monotonic ms at which that was the newest, or 0.
    :ivar outage: knows when calls failed.
    """

    def __init__(
        self,
        service: tableservice.TableService,
        table: str,
        reader: readers.Reader,
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
        self._vouched_until: clock.Ms = 0
        self._comparison = comparison.Comparison()
        self.on_read: Callable[[int, rows.Scan], clock.Ms] = lambda *_: 0
        self.on_call: Callable[[bool], None] = lambda _: None
        self.on_unreadable: Callable[[], None] = lambda: None
        self.is_reader: Callable[[], bool] = lambda: True
        self.revision = 0
        self.changed = 0
        self.confirmed_at: clock.Ms = 0
        self.outage = outage.Outage(table, log)

    def run(self) -> None:
        """Follow for ever."""
        while True:
            self._sleep(self.step() / clock.SECOND)

    def step(self) -> clock.Ms:
        """Make one call, or none; return the ms until the next."""
        asked = self._clock.now()
        reads = self.is_reader()
        is_doubted = self._comparison.is_doubted
        if not is_doubted and asked < self._own_turn(reads):
            return _LOOK
        if is_doubted or asked >= self._comparison.due_at(reads):
            return self._read_whole(asked, reads)
        return self._read_changes(asked, reads)

    def _read_whole(self, asked: clock.Ms, reads: bool) -> clock.Ms:
        got = self._service.scan(self._table)
        self.on_call(not isinstance(got, missing.Unavailable))
        if isinstance(got, missing.Missing):
            return self._failed(got)
        self.outage.over(self._clock.now())
        if got.revision < self.revision:
            # It was made before an update that came meanwhile.
            return _GATHER
        told = self._update_of(got)
        self._take_whole(_STORE, got)
        self._comparison.read_whole(asked)
        self._read(asked, asked, reads)
        return max(_GATHER, self.on_read(*told))

    def _update_of(self, got: rows.Scan) -> tuple[int, rows.Scan]:
        if self._comparison.is_requested:
            return 0, got
        found, gone = self._comparison.mirror.difference(got.rows)
        return self.changed, rows.Scan(got.revision, found, gone)

    def _read_changes(self, asked: clock.Ms, reads: bool) -> clock.Ms:
        base, wait = self.revision, 0
        if reads and asked - self.confirmed_at < _STALE:
            wait = min(_WAIT, self._comparison.due_at(reads) - asked)
        got = self._service.follow(self._table, base, wait)
        self.on_call(not isinstance(got, missing.Unavailable))
        if isinstance(got, missing.NotFound):
            self._log.change("history lost", table=self._table)
            self._comparison.is_doubted = True
            return 0
        if isinstance(got, missing.Missing):
            return self._failed(got)
        self.outage.over(self._clock.now())
        # Others that have the last change lack none up to ``base``, whether
        # or not they have heard how far the counter has gone on.
        told_base = self.changed
        if got.revision >= self.revision:
            self._take_changes(_STORE, base, got)
        # An answer without changes was held back to the end of the wait, so
        # there was none until then; one with changes was just made.
        changed = got.rows or got.deleted
        newest_at = self._clock.now() if changed else asked + wait
        self._read(asked, newest_at, reads)
        return max(_GATHER, self.on_read(told_base, got))

    def _read(self, asked: clock.Ms, newest_at: clock.Ms, reads: bool) -> None:
        self._confirm(newest_at)
        if not reads:
            self._vouched_until = asked + _VOUCHED

    def offer(self, base: int, scan: rows.Scan, source: str = "") -> None:
        """Take what another daemon has read.

        :param base: revision after which the rows changed, 0 for the whole
            table.
        :param scan: the changes.
        :param source: name of that daemon, for the log.
        """
        if scan.revision <= self.revision:
            return
        if not base:
            self._take_whole(source, scan)
            return
        if base > self.revision:
            # Something in between did not arrive; it is read from the
            # platform itself.
            self._vouched_until = 0
            self._log.change(
                "table update missed",
                table=self._table,
                source=source,
                base=base,
                revision=self.revision,
            )
            return
        self._take_changes(source, base, scan)

    def vouch(self, told: tablestate.TableState, source: str = "") -> None:
        """Take another daemon's word on what the newest revision is.

        :param told: what it states.
        :param source: name of that daemon, for the log.
        """
        if told.changed > self.revision:
            # That change did not arrive; it is read from the platform itself.
            self._vouched_until = 0
            return
        read_at = self._clock.now() - told.age
        if told.revision >= self.revision:
            if told.digest == self._comparison.mirror.digest:
                self._comparison.matched(read_at)
            elif told.digest is not None:
                self._differ(told, source)
                return
            self.revision = told.revision
        self._vouched_until = read_at + _VOUCHED
        self._confirm(read_at)

    def request_whole(self) -> None:
        """Take that another daemon needs the whole table told."""
        self._comparison.is_requested = True

    def state(self) -> tablestate.TableState | None:
        """Return what others may go by, None before the first reading."""
        if not self.revision or not self.confirmed_at:
            return None
        age = self._clock.now() - self.confirmed_at
        return tablestate.TableState(
            self._table,
            self.changed,
            self.revision,
            age,
            self._comparison.mirror.digest,
        )

    def _differ(self, told: tablestate.TableState, source: str) -> None:
        self._vouched_until = 0
        self._log.change(
            "table differs",
            table=self._table,
            source=source,
            revision=self.revision,
            their_revision=told.revision,
        )
        self._comparison.differed(self._clock.now())

    def _note(
        self,
        source: str,
        base: int,
        revision: int,
        difference: mirror.Difference,
    ) -> None:
        self._log.change(
            "table updated",
            table=self._table,
            source=source,
            base=base,
            held=self.revision,
            revision=revision,
            rows=len(difference.rows),
            removed=list(difference.gone[:_NAMED]),
        )

    def _own_turn(self, reads: bool) -> clock.Ms:
        if not self._vouched_until or reads:
            return self._vouched_until
        return min(
            self._vouched_until + _GRACE, self._comparison.due_at(reads)
        )

    def _take_whole(self, source: str, scan: rows.Scan) -> None:
        difference = self._comparison.mirror.difference(scan.rows)
        if difference.rows or difference.gone or not self.revision:
            self._note(source, 0, scan.revision, difference)
            self._comparison.mirror.update(*difference)
            self.changed = scan.revision
        self.revision = scan.revision
        # Rows that went before it are named nowhere.
        self._reader.whole(scan.rows)

    def _take_changes(self, source: str, base: int, scan: rows.Scan) -> None:
        if scan.rows or scan.deleted:
            difference = mirror.Difference(scan.rows, scan.deleted)
            self._note(source, base, scan.revision, difference)
            self._comparison.mirror.update(*difference)
            self._reader.changed(scan.rows, scan.deleted)
            self.changed = scan.revision
        self.revision = scan.revision

    def _confirm(self, at: clock.Ms) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        self._reader.confirmed(self.confirmed_at)

    def _failed(self, why: missing.Missing) -> clock.Ms:
        now = self._clock.now()
        if self._vouched_until <= now:
            self.on_unreadable()
        return self.outage.failed(why, now)
