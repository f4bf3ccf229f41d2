"""A transactional table service in memory."""

from collections.abc import Iterable

from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import tableservice
from standins import faults


class MemoryTable(tableservice.TableService):
    """The whole store of a test; every commit raises one revision.

    :ivar faults: what goes wrong with the next calls.
    :ivar reads: how many reads and scans were served.
    :ivar writes: how many transactions took effect.
    """

    def __init__(self) -> None:
        self.faults = faults.Faults()
        self.reads = 0
        self.writes = 0
        self._revision = 0
        self._row_by_place: dict[tuple[str, str], rows.Row] = {}
        self._deleted_at: dict[tuple[str, str], int] = {}

    def read(
        self, table: str, key: str
    ) -> rows.Row | missing.NotFound | missing.Unavailable:
        where = f"{table}/{key}"
        if self.faults.strikes(faults.Fault.DOWN):
            return missing.Unavailable("the table service is down", where)
        self.reads += 1
        row = self._row_by_place.get((table, key))
        return row or missing.NotFound("no such row", where)

    def scan(
        self, table: str, after: int = 0
    ) -> rows.Scan | missing.Unavailable:
        if self.faults.strikes(faults.Fault.DOWN):
            return missing.Unavailable("the table service is down", table)
        self.reads += 1
        found = tuple(
            row
            for (name, _), row in sorted(self._row_by_place.items())
            if name == table and row.version > after
        )
        # A reading of the whole table names no removed rows, as the users'
        # store does.
        gone = tuple(
            key
            for (name, key), at in sorted(self._deleted_at.items())
            if name == table and at > after > 0
        )
        return rows.Scan(self._revision, found, gone)

    def commit(self, transaction: rows.Transaction) -> rows.CommitResult:
        if self.faults.strikes(faults.Fault.DOWN):
            return missing.Unavailable(
                "the table service is down", transaction.attempt
            )
        failed = [c for c in transaction.conditions if not self._holds(c)]
        if failed:
            return self._conflict(failed[0], transaction.conditions)
        self._apply(transaction.writes)
        if self.faults.strikes(faults.Fault.LOSE_ANSWER):
            return missing.AnswerLost(
                "the answer was lost after the write", transaction.attempt
            )
        return rows.Committed(self._revision)

    def _holds(self, condition: rows.Condition) -> bool:
        row = self._row_by_place.get((condition.table, condition.key))
        version = row.version if row else rows.NO_ROW
        return version == condition.version

    def _conflict(
        self,
        failed: rows.Condition,
        conditions: Iterable[rows.Condition],
    ) -> rows.Conflict:
        now = (self._row_by_place.get((c.table, c.key)) for c in conditions)
        return rows.Conflict(
            f"expected version {failed.version}",
            f"{failed.table}/{failed.key}",
            tuple(row for row in now if row),
        )

    def _apply(self, writes: Iterable[rows.Write]) -> None:
        self._revision += 1
        self.writes += 1
        for write in writes:
            place = (write.table, write.key)
            if write.value is None:
                self._row_by_place.pop(place, None)
                self._deleted_at[place] = self._revision
                continue
            self._deleted_at.pop(place, None)
            self._row_by_place[place] = rows.Row(
                write.table, write.key, dict(write.value), self._revision
            )
