"""Follows one table of the platform for as long as the daemon runs."""

from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing
from citronvalve.storage import outage
from citronvalve.storage import resync
from citronvalve.storage import rows
from citronvalve.storage import rowversions
from citronvalve.storage import tablelistener as listeners
from citronvalve.storage import tableservice
from citronvalve.storage import tablestate

#: Longest time one call waits for a change.  A service that went silent is
#: noticed soon after it, so that "the newest" is not said of an older view.
_MAX_WAIT: clock.Ms = 800

#: What another daemon has read counts for so long since it read it, however
#: often it says so: its own call may hang, and a runner that leaves must be
#: known two seconds after the store has it.  A reader confirms every 0.9 s
#: and says so every 0.3 s, so in calm this never expires.
_CONFIRMATION_LIFETIME: clock.Ms = 1_500

#: A daemon that goes by a reader waits so much longer for its statement
#: before it calls the store: statements expire for all daemons at once, and
#: they would all call.  A reading is then 1.7 s old at most.
_CONFIRMATION_GRACE: clock.Ms = 150

#: A call after this time without a reading does not wait for changes, since
#: what is needed first is to know whether there were any.
_MAX_WAIT_STALENESS: clock.Ms = 1_200

#: Pause between two looks whether another daemon still vouches.
_POLL_INTERVAL: clock.Ms = 50

#: Changes within this time come in one answer: at the start each runner
#: changes several times a second, and each call is paid for.
_MIN_CALL_INTERVAL: clock.Ms = 70

#: Source of an update that this daemon read itself, in the log.
_STORE_SOURCE = "store"

#: Removed rows that one line of the log names.
_MAX_LOGGED_KEYS = 10


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
        listener: listeners.TableListener,
        log: decisionlog.DecisionLog,
        time_source: clock.Clock,
        sleep: Callable[[float], None],
    ) -> None:
        self._service = service
        self._table = table
        self._listener = listener
        self._log = log
        self._clock = time_source
        self._sleep = sleep
        self._confirmed_until: clock.Ms = 0
        self._resync = resync.ResyncSchedule()
        self.on_read: Callable[[int, rows.Scan], clock.Ms] = lambda *_: 0
        self.on_call: Callable[[bool], None] = lambda _: None
        self.on_unreadable: Callable[[], None] = lambda: None
        self.is_reader: Callable[[], bool] = lambda: True
        self.revision = 0
        self.changed_revision = 0
        self.confirmed_at: clock.Ms = 0
        self.outage = outage.Outage(table, log)

    def run(self) -> None:
        """Follow for ever."""
        while True:
            self._sleep(self.step() / clock.SECOND)

    def step(self) -> clock.Ms:
        """Make one call, or none; return the ms until the next."""
        started_at = self._clock.now()
        is_reader = self.is_reader()
        is_full_read_needed = self._resync.is_full_read_needed
        if not is_full_read_needed and started_at < self._next_call_at(
            is_reader
        ):
            return _POLL_INTERVAL
        if is_full_read_needed or started_at >= self._resync.full_read_due_at(
            is_reader
        ):
            return self._read_all(started_at, is_reader)
        return self._read_changes(started_at, is_reader)

    def _read_all(self, started_at: clock.Ms, is_reader: bool) -> clock.Ms:
        scan = self._service.scan(self._table)
        self.on_call(not isinstance(scan, missing.Unavailable))
        if isinstance(scan, missing.Missing):
            return self._handle_failure(scan)
        self.outage.record_success(self._clock.now())
        if scan.revision < self.revision:
            # It was made before an update that came meanwhile.
            return _MIN_CALL_INTERVAL
        update = self._update_from(scan)
        self._apply_all(_STORE_SOURCE, scan)
        self._resync.record_full_read(started_at)
        self._record_read(started_at, started_at, is_reader)
        return max(_MIN_CALL_INTERVAL, self.on_read(*update))

    def _update_from(self, scan: rows.Scan) -> tuple[int, rows.Scan]:
        if self._resync.is_full_update_requested:
            return 0, scan
        changed, deleted = self._resync.row_versions.difference(scan.rows)
        return self.changed_revision, rows.Scan(
            scan.revision, changed, deleted
        )

    def _read_changes(self, started_at: clock.Ms, is_reader: bool) -> clock.Ms:
        base, wait = self.revision, 0
        if is_reader and started_at - self.confirmed_at < _MAX_WAIT_STALENESS:
            wait = min(
                _MAX_WAIT,
                self._resync.full_read_due_at(is_reader) - started_at,
            )
        scan = self._service.follow(self._table, base, wait)
        self.on_call(not isinstance(scan, missing.Unavailable))
        if isinstance(scan, missing.NotFound):
            self._log.change("history lost", table=self._table)
            self._resync.is_full_read_needed = True
            return 0
        if isinstance(scan, missing.Missing):
            return self._handle_failure(scan)
        self.outage.record_success(self._clock.now())
        # Others that have the last change lack none up to ``base``, whether
        # or not they have heard how far the counter has gone on.
        update_base = self.changed_revision
        if scan.revision >= self.revision:
            self._apply_changes(_STORE_SOURCE, base, scan)
        # An answer without changes was held back to the end of the wait, so
        # there was none until then; one with changes was just made.
        has_changes = scan.rows or scan.deleted
        newest_at = self._clock.now() if has_changes else started_at + wait
        self._record_read(started_at, newest_at, is_reader)
        return max(_MIN_CALL_INTERVAL, self.on_read(update_base, scan))

    def _record_read(
        self, started_at: clock.Ms, newest_at: clock.Ms, is_reader: bool
    ) -> None:
        self._record_confirmation(newest_at)
        if not is_reader:
            self._confirmed_until = started_at + _CONFIRMATION_LIFETIME

    def apply_update(
        self, base: int, scan: rows.Scan, source: str = ""
    ) -> None:
        """Take what another daemon has read.

        :param base: revision after which the rows changed, 0 for the whole
            table.
        :param scan: the changes.
        :param source: name of that daemon, for the log.
        """
        if scan.revision <= self.revision:
            return
        if not base:
            self._apply_all(source, scan)
            return
        if base > self.revision:
            # Something in between did not arrive; it is read from the
            # platform itself.
            self._confirmed_until = 0
            self._log.change(
                "table update missed",
                table=self._table,
                source=source,
                base=base,
                revision=self.revision,
            )
            return
        self._apply_changes(source, base, scan)

    def confirm(self, state: tablestate.TableState, source: str = "") -> None:
        """Take another daemon's word on what the newest revision is.

        :param told: what it states.
        :param source: name of that daemon, for the log.
        """
        if state.changed_revision > self.revision:
            # That change did not arrive; it is read from the platform itself.
            self._confirmed_until = 0
            return
        read_at = self._clock.now() - state.age
        if state.revision >= self.revision:
            if state.digest == self._resync.row_versions.digest:
                self._resync.record_match(read_at)
            elif state.digest is not None:
                self._handle_mismatch(state, source)
                return
            self.revision = state.revision
        self._confirmed_until = read_at + _CONFIRMATION_LIFETIME
        self._record_confirmation(read_at)

    def request_full_update(self) -> None:
        """Take that another daemon needs the whole table told."""
        self._resync.is_full_update_requested = True

    def state(self) -> tablestate.TableState | None:
        """Return what others may go by, None before the first reading."""
        if not self.revision or not self.confirmed_at:
            return None
        age = self._clock.now() - self.confirmed_at
        return tablestate.TableState(
            self._table,
            self.changed_revision,
            self.revision,
            age,
            self._resync.row_versions.digest,
        )

    def _handle_mismatch(
        self, state: tablestate.TableState, source: str
    ) -> None:
        self._confirmed_until = 0
        self._log.change(
            "table differs",
            table=self._table,
            source=source,
            revision=self.revision,
            their_revision=state.revision,
        )
        self._resync.record_mismatch(self._clock.now())

    def _log_update(
        self,
        source: str,
        base: int,
        revision: int,
        difference: rowversions.Difference,
    ) -> None:
        self._log.change(
            "table updated",
            table=self._table,
            source=source,
            base=base,
            held=self.revision,
            revision=revision,
            rows=len(difference.rows),
            removed=list(difference.deleted[:_MAX_LOGGED_KEYS]),
        )

    def _next_call_at(self, is_reader: bool) -> clock.Ms:
        if not self._confirmed_until or is_reader:
            return self._confirmed_until
        return min(
            self._confirmed_until + _CONFIRMATION_GRACE,
            self._resync.full_read_due_at(is_reader),
        )

    def _apply_all(self, source: str, scan: rows.Scan) -> None:
        difference = self._resync.row_versions.difference(scan.rows)
        if difference.rows or difference.deleted or not self.revision:
            self._log_update(source, 0, scan.revision, difference)
            self._resync.row_versions.update(*difference)
            self.changed_revision = scan.revision
        self.revision = scan.revision
        # Rows that went before it are named nowhere.
        self._listener.replace_all(scan.rows)

    def _apply_changes(self, source: str, base: int, scan: rows.Scan) -> None:
        if scan.rows or scan.deleted:
            difference = rowversions.Difference(scan.rows, scan.deleted)
            self._log_update(source, base, scan.revision, difference)
            self._resync.row_versions.update(*difference)
            self._listener.apply_changes(scan.rows, scan.deleted)
            self.changed_revision = scan.revision
        self.revision = scan.revision

    def _record_confirmation(self, at: clock.Ms) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        self._listener.confirm(self.confirmed_at)

    def _handle_failure(self, failure: missing.Missing) -> clock.Ms:
        now = self._clock.now()
        if self._confirmed_until <= now:
            self.on_unreadable()
        return self.outage.record_failure(failure, now)
