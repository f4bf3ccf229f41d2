"""Deletes the rows of expired keys, one minute at a time."""

from collections.abc import Iterator
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.once import batch as batches
from citronvalve.once import record as records
from citronvalve.once import swept
from citronvalve.storage import objectstore
from citronvalve.storage import rows
from citronvalve.storage import tableservice

_TABLE = "once-sweep"
_KEY = "minute"

#: Time that rows are kept beyond the retention.  They are indexed by the
#: wall clock of the daemon that wrote them, which may be behind.
CLOCK_MARGIN: clock.Ms = 10 * clock.MINUTE

#: Minutes in which a row of another daemon confirms the own clock.
_CLOCK_CHECK_MINUTES = 3

#: Keys in one transaction.  A day of 100 requests a second is swept at two
#: transactions a second; the platform supports several hundred.
_MAX_KEYS = 256
_MAX_ATTEMPTS = 3

_IN_TIME = "a row is swept only after its time"


class _IndexRow(NamedTuple):
    """A row that lists the keys written in the same transaction."""

    table: str
    key: str
    version: int
    row_keys: tuple[str, ...]
    objects: tuple[str, ...]


class Sweeper:
    """Sweeps expired rows; any number of daemons may sweep at once.

    :param daemon: name of this start of the daemon.
    :param table: store of the rows.
    :param objects: store of large response bodies.
    :param invariants: checks and counts the invariants.
    """

    def __init__(
        self,
        daemon: str,
        table: tableservice.TableService,
        objects: objectstore.ObjectStore,
        invariants: invariant.Invariants,
    ) -> None:
        self._daemon = daemon
        self._table = table
        self._objects = objects
        self._invariants = invariants

    def sweep(self, wall: clock.Ms, retention: clock.Ms) -> swept.Swept | None:
        """Delete the rows of the oldest expired minute.

        If the daemon is killed at any step, the minute is swept again.

        :param wall: wall time in ms.
        :param retention: ms that the response to a key is kept.
        :return: None if nothing is due or the platform fails.
        """
        pointer = self._pointer(wall)
        if missing.is_missing(pointer):
            return None
        minute = pointer.value[_KEY] + 1
        end_minute = (wall - retention - CLOCK_MARGIN) // clock.MINUTE
        if minute >= end_minute or not self._clock_confirmed(wall):
            return None
        expired_at = (minute + 1) * clock.MINUTE + retention
        self._invariants.check(
            _IN_TIME, expired_at <= wall, f"minute {minute}"
        )
        deleted = self._delete_minute(
            batches.minute_table(minute * clock.MINUTE)
        )
        if deleted is None or not self._advance_pointer(pointer, minute):
            return None
        return swept.Swept(minute, deleted)

    def _pointer(self, wall: clock.Ms) -> rows.Row | missing.Missing:
        row = self._table.read(_TABLE, _KEY)
        if isinstance(row, missing.NotFound):
            # First sweep of this table: no row is older than this minute.
            self._commit_pointer(rows.NO_ROW, wall // clock.MINUTE - 1)
        return row

    def _advance_pointer(self, pointer: rows.Row, minute: int) -> bool:
        done = self._commit_pointer(pointer.version, minute)
        return isinstance(done, rows.Committed)

    def _commit_pointer(self, version: int, minute: int) -> object:
        return self._table.commit(
            rows.Transaction(
                f"{self._daemon}-sweep-{minute}",
                (rows.Condition(_TABLE, _KEY, version),),
                (rows.Write(_TABLE, _KEY, {_KEY: minute}),),
            )
        )

    def _clock_confirmed(self, wall: clock.Ms) -> bool:
        """Return whether another daemon's clock agrees with the own clock.

        With a clock a day ahead, the sweep would delete rows that were just
        written, and their keys would run again.  No other daemon writes rows
        for the minutes that such a clock regards as the present.
        """
        return any(
            not row.key.startswith(self._daemon)
            for back in range(_CLOCK_CHECK_MINUTES)
            for row in self._rows(
                batches.minute_table(wall - back * clock.MINUTE)
            )
        )

    def _rows(self, table: str) -> tuple[rows.Row, ...]:
        scan = self._table.scan(table)
        return () if missing.is_missing(scan) else scan.rows

    def _delete_minute(self, table: str) -> int | None:
        scan = self._table.scan(table)
        if missing.is_missing(scan):
            return None
        count = 0
        for chunk in _chunks(scan.rows):
            deleted = self._delete_chunk(chunk)
            if deleted is None:
                return None
            count += deleted
        return count

    def _delete_chunk(self, chunk: list[_IndexRow]) -> int | None:
        version_by_row_key = {
            row_key: index_row.version
            for index_row in chunk
            for row_key in index_row.row_keys
        }
        for index_row in chunk:
            for name in index_row.objects:
                # The store can't delete objects, only overwrite them.
                self._objects.put(name, b"")
        for _ in range(_MAX_ATTEMPTS):
            result = self._table.commit(
                _deletion_transaction(chunk, version_by_row_key)
            )
            if isinstance(result, rows.Committed):
                return len(version_by_row_key)
            if not isinstance(result, rows.Conflict):
                return None
            # A row with another version was rewritten and is indexed under
            # a later minute.  A key without a row was released.
            current_version_by_row_key = {
                row.key: row.version for row in result.rows
            }
            version_by_row_key = {
                row_key: version
                for row_key, version in version_by_row_key.items()
                if current_version_by_row_key.get(row_key) == version
            }
        return None


def _chunks(found: tuple[rows.Row, ...]) -> Iterator[list[_IndexRow]]:
    chunk: list[_IndexRow] = []
    size = 0
    for row in found:
        index_row = _IndexRow(
            row.table,
            row.key,
            row.version,
            tuple(row.value["places"]),
            tuple(row.value["objects"]),
        )
        if chunk and size + len(index_row.row_keys) > _MAX_KEYS:
            yield chunk
            chunk, size = [], 0
        chunk.append(index_row)
        size += len(index_row.row_keys)
    if chunk:
        yield chunk


def _deletion_transaction(
    chunk: list[_IndexRow], version_by_row_key: dict[str, int]
) -> rows.Transaction:
    return rows.Transaction(
        "sweep",
        tuple(
            rows.Condition(records.TABLE, row_key, version)
            for row_key, version in version_by_row_key.items()
        ),
        (
            *(
                rows.Write(records.TABLE, row_key, None)
                for row_key in version_by_row_key
            ),
            *(
                rows.Write(index_row.table, index_row.key, None)
                for index_row in chunk
            ),
        ),
    )
