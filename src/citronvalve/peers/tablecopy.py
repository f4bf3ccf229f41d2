"""A daemon's copy of the operators' table."""

import bisect
import functools
import operator

import xxhash

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import change as changes
from citronvalve.peers import tabledelta
from citronvalve.peers import tablepage

#: Bytes of rows in one page.  Handling a message of 64 KiB takes about 1 ms,
#: by which tokens are delayed.
_MAX_PAGE_BYTES = 48 * 1_024

_CHANGE_OVERHEAD = 16


def _digest(row: changes.Change) -> int:
    return xxhash.xxh3_64_intdigest(
        f"{row.table}\0{row.key}\0{row.version}\0".encode() + row.value
    )


def _cursor(row: changes.Change) -> tablepage.Cursor:
    return tablepage.Cursor(row.version, row.table, row.key)


class TableCopy:
    """The rows at one version; the version never falls.

    Deleted rows are kept without a value, so that the rows newer than an
    older copy's version bring it up to date.

    :param invariants: checks the invariants.
    :ivar version: version of the newest row.
    :ivar digest: digest of all rows.
    :ivar pages_refused: how often pages were refused.
    :ivar is_disputed: whether another copy differs at this version.
    :ivar confirmed_at: monotonic ms at which the version was the newest.
    """

    def __init__(self, invariants: invariant.Invariants) -> None:
        self._invariants = invariants
        self.version = 0
        self.digest = 0
        self._row_by_key: dict[tuple[str, str], changes.Change] = {}
        self._cursors: list[tablepage.Cursor] = []
        self._staged_by_key: dict[tuple[str, str], changes.Change] = {}
        self._staged_from = tablepage.Cursor(0)
        # Set when a digest doesn't match.  The next copy is of all rows, since
        # the wrong row may be one held here.
        self._needs_full_copy = False
        self.pages_refused = 0
        self.is_disputed = False
        self.confirmed_at: clock.Ms | None = None

    def confirm(self, at: clock.Ms) -> None:
        """Record that the version was the newest at a time.

        :param at: monotonic ms.
        """
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def apply(self, delta: tabledelta.TableDelta) -> bool:
        """Apply a complete delta; return whether the version rose.

        :param delta: as a watcher read it from the platform.
        """
        if delta.version <= self.version or delta.base > self.version:
            return False
        self._commit(delta.version, delta.changes)
        return True

    def reconcile(
        self, full: tabledelta.TableDelta
    ) -> tuple[tuple[str, str], ...]:
        """Replace the rows held if any of them differs from the platform's.

        :param full: the platform's full table; ignored if it is of an earlier
            version.
        :return: table and key of the rows that were wrong here.
        """
        if full.version < self.version:
            return ()
        self.is_disputed = False
        row_by_key = {(row.table, row.key): row for row in full.changes}
        wrong = tuple(
            key
            for key in sorted(self._row_by_key.keys() | row_by_key.keys())
            if self._differs(key, row_by_key.get(key))
        )
        if wrong:
            self._clear()
            self._write(full.version, full.changes)
        return wrong

    def _differs(
        self, key: tuple[str, str], stored: changes.Change | None
    ) -> bool:
        # A row written after the version held here is new, not wrong.
        if stored is not None and stored.version > self.version:
            return False
        return self._row_by_key.get(key) != stored

    def page_after(self, start: tablepage.Cursor) -> tablepage.TablePage:
        """Return the page of rows after a position.

        :param start: the last position that the receiver holds.
        """
        index = bisect.bisect_right(self._cursors, start)
        page_rows: list[changes.Change] = []
        size = 0
        while index < len(self._cursors) and size < _MAX_PAGE_BYTES:
            cursor = self._cursors[index]
            row = self._row_by_key[cursor.table, cursor.key]
            size += len(row.value) + len(row.key) + _CHANGE_OVERHEAD
            page_rows.append(row)
            index += 1
        return tablepage.TablePage(
            self.version,
            self.digest,
            start,
            tuple(page_rows),
            index == len(self._cursors),
        )

    def rows_after(self, version: int) -> tuple[changes.Change, ...]:
        """Return all rows newer than a version.

        :param version: the version that the receiver holds.
        """
        index = bisect.bisect_right(
            self._cursors, tablepage.Cursor(version + 1)
        )
        return tuple(
            self._row_by_key[cursor.table, cursor.key]
            for cursor in self._cursors[index:]
        )

    def size_after(self, version: int, max_bytes: int) -> int:
        """Return the approximate size in bytes of the rows after a version.

        :param version: the version that the receiver holds.
        :param max_bytes: stop counting above this size.
        """
        index = bisect.bisect_right(
            self._cursors, tablepage.Cursor(version + 1)
        )
        size = 0
        for cursor in self._cursors[index:]:
            row = self._row_by_key[cursor.table, cursor.key]
            size += len(row.value) + len(row.key) + _CHANGE_OVERHEAD
            if size > max_bytes:
                break
        return size

    def next_cursor(self) -> tablepage.Cursor:
        """Return the position after which this copy needs rows."""
        version = 0 if self._needs_full_copy else self.version + 1
        return max(self._staged_from, tablepage.Cursor(version))

    def apply_page(self, page: tablepage.TablePage) -> bool:
        """Apply a page; return whether the version rose.

        Pages are staged until the last one, since a mixture of two versions
        of the table was never declared.

        :param page: from any peer.
        """
        if page.version <= self.version:
            return False
        if page.start > self.next_cursor():
            self.pages_refused += 1
            return False
        for row in page.changes:
            current = self._staged_by_key.get((row.table, row.key))
            if current is None or current.version < row.version:
                self._staged_by_key[row.table, row.key] = row
        if not page.is_last:
            if page.changes:
                end = _cursor(page.changes[-1])
                self._staged_from = max(end, self.next_cursor())
            return False
        return self._finish(page)

    def _finish(self, page: tablepage.TablePage) -> bool:
        rows = tuple(self._staged_by_key.values())
        full = self._needs_full_copy
        digest = self._digest_with(rows, full)
        self._staged_by_key = {}
        self._staged_from = tablepage.Cursor(0)
        # Pages from differing peers, or a corrupted row, would leave an error
        # that no later delta repairs.  The digest detects it, and the full
        # table is copied again.
        self._needs_full_copy = digest != page.digest
        if self._needs_full_copy:
            self.pages_refused += 1
            return False
        if full:
            self._clear()
        self._commit(page.version, rows)
        return True

    def _clear(self) -> None:
        self._row_by_key = {}
        self._cursors = []
        self.digest = 0

    def _newer_rows(self, rows: tuple[changes.Change, ...]):
        for row in rows:
            current = self._row_by_key.get((row.table, row.key))
            if current is None or current.version < row.version:
                yield current, row

    def _digest_with(
        self, rows: tuple[changes.Change, ...], full: bool = False
    ) -> int:
        if full:
            return functools.reduce(operator.xor, map(_digest, rows), 0)
        digest = self.digest
        for current, row in self._newer_rows(rows):
            digest ^= _digest(row) ^ (_digest(current) if current else 0)
        return digest

    def _commit(self, version: int, rows: tuple[changes.Change, ...]) -> None:
        self._invariants.check(
            "the table's version never falls",
            version > self.version,
            f"{self.version} to {version}",
        )
        self._write(version, rows)

    def _write(self, version: int, rows: tuple[changes.Change, ...]) -> None:
        digest = self._digest_with(rows)
        for current, row in list(self._newer_rows(rows)):
            if current is not None:
                index = bisect.bisect_left(self._cursors, _cursor(current))
                del self._cursors[index]
            bisect.insort(self._cursors, _cursor(row))
            self._row_by_key[row.table, row.key] = row
        self.version = version
        self.digest = digest

    def rows(self) -> list[changes.Change]:
        """Return the rows that are not deleted."""
        return [row for row in self._row_by_key.values() if row.value]
