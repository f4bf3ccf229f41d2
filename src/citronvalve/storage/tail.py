"""Follows a table of the platform and keeps a listener up to date."""

from collections.abc import Callable

from citronvalve.model import clock
from citronvalve.model import decisionlog
from citronvalve.model import missing
from citronvalve.storage import outage
from citronvalve.storage import resync
from citronvalve.storage import rows
from citronvalve.storage import tablelistener as listeners
from citronvalve.storage import tableservice
from citronvalve.storage import tablestate
from citronvalve.storage import versionindex

#: Maximum time that a call waits for a change.  It also bounds how long rows
#: are reported as current while the service is silent.
_MAX_WAIT: clock.Ms = 800

#: A confirmation is valid for this long after the read it is based on,
#: however often it is repeated: the reader's own call may hang, and a
#: runner's departure must be known 2 s after the store has it.  A reader
#: confirms every 0.9 s and sends its state every 0.3 s, so that confirmations
#: don't expire without a fault.
_CONFIRMATION_LIFETIME: clock.Ms = 1_500

#: After a confirmation expires, a daemon waits this long for the next one
#: before it calls the store: confirmations expire for all daemons at once,
#: and all would call.  Rows in use are then confirmed at most 1.7 s ago.
_CONFIRMATION_GRACE: clock.Ms = 150

#: If the last confirmation is older than this, a call does not wait for
#: changes: whether there are any must be known first.
_MAX_WAIT_STALENESS: clock.Ms = 1_200

#: Interval between two checks whether a call is due.
_CHECK_INTERVAL: clock.Ms = 50

#: Minimum time between two calls, so that one response has several changes:
#: at startup each runner changes several times a second, and each call is
#: paid for.
_MIN_CALL_INTERVAL: clock.Ms = 70

#: Source of this daemon's own reads in the log.
_STORE_SOURCE = "store"

#: Maximum number of deleted keys in a log line.
_MAX_LOGGED_KEYS = 10


class Tail:
    """Reads all rows of a table, then its changes.

    All rows are read again when changes are lost and at the intervals of
    :class:`resync.ResyncSchedule`.  Rows come from the store or from another
    daemon that reads it.

    :param service: the table service.
    :param table: name of the table.
    :param listener: gets the rows.
    :param log: gets updates, mismatches and outages.
    :param time_source: the clock.
    :param sleep: waits for seconds; other tasks run meanwhile.
    :ivar on_read: called with the base revision and the changes of a read;
        returns the minimum ms until the next call.
    :ivar on_call: called after each call with whether there was a response.
    :ivar on_unreadable: called when a call fails and no confirmation is
        valid; another daemon may then send all rows.
    :ivar peers_until: monotonic ms until which missing rows are expected
        from another daemon; only a reader calls the store before.
    :ivar is_reader: returns whether others rely on this daemon's reads; if
        not, it calls the store only without a valid confirmation.
    :ivar revision: last known revision, 0 before the first read.
    :ivar changed_revision: revision of the last change; the platform's
        counter also rises with changes of other tables.
    :ivar confirmed_at: monotonic ms at which ``revision`` was the newest, or
        0.
    :ivar outage: failed calls.
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
        self.peers_until: clock.Ms = 0
        self._was_reader = False
        self._may_wait = False
        self._retry_at: clock.Ms = 0
        self.revision = 0
        self.changed_revision = 0
        self.confirmed_at: clock.Ms = 0
        self.outage = outage.Outage(table, log)

    def run(self) -> None:
        """Follow the table; never returns."""
        while True:
            self._sleep(self.step() / clock.SECOND)

    def step(self) -> clock.Ms:
        """Make at most one call and return the ms until the next step."""
        started_at = self._clock.now()
        is_reader = self.is_reader()
        if is_reader and not self._was_reader:
            self._begin_reading()
        self._was_reader = is_reader
        if not is_reader and self.expects_peers:
            return _CHECK_INTERVAL
        if started_at < self._retry_at:
            return _CHECK_INTERVAL
        must_read_all = self._resync.is_full_read_needed
        if not must_read_all and started_at < self._next_call_at(is_reader):
            return _CHECK_INTERVAL
        if must_read_all or started_at >= self._resync.due_at(is_reader):
            return self._read_all(started_at, is_reader)
        return self._read_changes(started_at, is_reader)

    def is_store_away(self) -> bool:
        """Return whether the store failed after the last confirmation."""
        failed_at = self.outage.failed_at
        return failed_at is not None and failed_at > self.confirmed_at

    @property
    def expects_peers(self) -> bool:
        """Return whether missing rows are expected from another daemon."""
        now = self._clock.now()
        if self._confirmed_until or now >= self.peers_until:
            return False
        return (
            not self.confirmed_at
            or now - self.confirmed_at < _MAX_WAIT_STALENESS
        )

    def _begin_reading(self) -> None:
        """Read at once and without waiting, before confirmations expire."""
        self._confirmed_until = 0
        self._retry_at = 0
        self._may_wait = False
        self._resync.begin_reading()

    def _read_all(self, started_at: clock.Ms, is_reader: bool) -> clock.Ms:
        scan = self._service.scan(self._table)
        self.on_call(not isinstance(scan, missing.Unavailable))
        if isinstance(scan, missing.Missing):
            return self._handle_failure(scan, is_reader)
        self.outage.record_success(self._clock.now())
        if scan.revision < self.revision:
            # The response is older than an update that arrived meanwhile.
            return _MIN_CALL_INTERVAL
        update = self._update_from(scan)
        self._apply_all(_STORE_SOURCE, scan)
        self._resync.record_full_read(started_at)
        self._record_read(started_at, started_at, is_reader)
        return max(_MIN_CALL_INTERVAL, self.on_read(*update))

    def _update_from(self, scan: rows.Scan) -> tuple[int, rows.Scan]:
        if self._resync.is_full_update_requested:
            return 0, scan
        changed, deleted = self._resync.version_index.difference(scan.rows)
        return self.changed_revision, rows.Scan(
            scan.revision, changed, deleted
        )

    def _read_changes(self, started_at: clock.Ms, is_reader: bool) -> clock.Ms:
        base, wait = self.revision, 0
        staleness = started_at - self.confirmed_at
        if is_reader and self._may_wait and staleness < _MAX_WAIT_STALENESS:
            wait = min(
                _MAX_WAIT,
                self._resync.due_at(is_reader) - started_at,
            )
        scan = self._service.follow(self._table, base, wait)
        self.on_call(not isinstance(scan, missing.Unavailable))
        if isinstance(scan, missing.NotFound):
            self._log.change("history lost", table=self._table)
            self._resync.is_full_read_needed = True
            return 0
        if isinstance(scan, missing.Missing):
            return self._handle_failure(scan, is_reader)
        self.outage.record_success(self._clock.now())
        # Daemons that have the last change lack none up to ``base``, even if
        # they don't know that revision yet.
        update_base = self.changed_revision
        if scan.revision >= self.revision:
            self._apply_changes(_STORE_SOURCE, base, scan)
        # A response without changes was held back to the end of the wait, so
        # there was none until then; one with changes was sent at once.
        has_changes = scan.rows or scan.deleted
        newest_at = self._clock.now() if has_changes else started_at + wait
        self._record_read(started_at, newest_at, is_reader)
        return max(_MIN_CALL_INTERVAL, self.on_read(update_base, scan))

    def _record_read(
        self, started_at: clock.Ms, newest_at: clock.Ms, is_reader: bool
    ) -> None:
        self._may_wait = True
        self._record_confirmation(newest_at)
        if not is_reader:
            self._confirmed_until = started_at + _CONFIRMATION_LIFETIME

    def read_up_to(
        self, revision: int, service: tableservice.TableService
    ) -> bool:
        """Return whether the rows are known up to a revision.

        Reads them if not, beside a call that may be waiting for changes.  The
        next own call begins at once, whatever other daemons have confirmed:
        the caller is the reader now, and nobody tells it changes.

        :param revision: the revision.
        :param service: the table service, with connections of its own.
        """
        self._confirmed_until = 0
        if self.revision >= revision:
            return True
        base, update_base = self.revision, self.changed_revision
        if not base:
            return False
        scan = service.follow(self._table, base, 0)
        self.on_call(not isinstance(scan, missing.Unavailable))
        if isinstance(scan, missing.Missing):
            return False
        if scan.revision > self.revision:
            self.apply_update(base, scan, _STORE_SOURCE)
            self.on_read(update_base, scan)
        return self.revision >= revision

    def apply_update(
        self, base: int, scan: rows.Scan, source: str = ""
    ) -> None:
        """Apply an update that another daemon has read.

        :param base: revision after which the rows changed, 0 for all rows.
        :param scan: the changes.
        :param source: name of that daemon, for the log.
        """
        if scan.revision <= self.revision:
            return
        if not base:
            self._apply_all(source, scan)
            return
        if base > self.revision:
            # An earlier update was lost; the changes are read from the
            # platform.
            self._confirmed_until = self._retry_at = 0
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
        """Compare with another daemon's state, which may confirm the rows.

        :param state: state of the table at that daemon.
        :param source: name of that daemon, for the log.
        """
        # A daemon that has just read all rows knows no revision of the last
        # change but that of its read.
        is_same = state.digest == self._resync.version_index.digest
        if state.changed_revision > self.revision and not is_same:
            # An update was lost; the changes are read from the platform.
            self._confirmed_until = self._retry_at = 0
            return
        read_at = self._clock.now() - state.age
        if state.revision >= self.revision:
            if is_same:
                self._resync.record_match(read_at)
            elif state.digest is not None:
                self._handle_mismatch(state, source)
                return
            self.revision = state.revision
        self._confirmed_until = read_at + _CONFIRMATION_LIFETIME
        self._record_confirmation(read_at)

    def adopt(
        self,
        state: tablestate.TableState,
        all_rows: tuple[rows.Row, ...],
        source: str,
    ) -> None:
        """Take all rows of another daemon, if they are newer.

        :param state: state of the table at that daemon.
        :param all_rows: its rows.
        :param source: name of that daemon, for the log.
        """
        scan = rows.Scan(state.changed_revision, all_rows)
        self.apply_update(0, scan, source)
        self.confirm(state, source)

    def all_rows(self) -> tuple[rows.Row, ...]:
        """Return all current rows."""
        return self._resync.version_index.all_rows()

    def request_full_update(self) -> None:
        """Request an early full read and an update with all of its rows."""
        self._resync.is_full_update_requested = True

    def state(self) -> tablestate.TableState | None:
        """Return the state for other daemons, None before the first read."""
        if not self.revision or not self.confirmed_at:
            return None
        age = self._clock.now() - self.confirmed_at
        return tablestate.TableState(
            self._table,
            self.changed_revision,
            self.revision,
            age,
            self._resync.version_index.digest,
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
        difference: versionindex.Difference,
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
            self._resync.due_at(is_reader),
        )

    def _apply_all(self, source: str, scan: rows.Scan) -> None:
        difference = self._resync.version_index.difference(scan.rows)
        if difference.rows or difference.deleted or not self.revision:
            self._log_update(source, 0, scan.revision, difference)
            self._resync.version_index.update(*difference)
            self.changed_revision = scan.revision
        self.revision = scan.revision
        # A full read does not name the rows that were deleted before it.
        self._listener.replace_all(scan.rows)

    def _apply_changes(self, source: str, base: int, scan: rows.Scan) -> None:
        if scan.rows or scan.deleted:
            difference = versionindex.Difference(scan.rows, scan.deleted)
            self._log_update(source, base, scan.revision, difference)
            self._resync.version_index.update(*difference)
            self._listener.apply_changes(scan.rows, scan.deleted)
            self.changed_revision = scan.revision
        self.revision = scan.revision

    def _record_confirmation(self, at: clock.Ms) -> None:
        self.confirmed_at = max(self.confirmed_at, at)
        self._listener.confirm(self.confirmed_at)

    def _handle_failure(
        self, failure: missing.Missing, is_reader: bool
    ) -> clock.Ms:
        now = self._clock.now()
        if self._confirmed_until <= now:
            self.on_unreadable()
        self._retry_at = now + self.outage.record_failure(
            failure, now, is_reader
        )
        return _CHECK_INTERVAL
