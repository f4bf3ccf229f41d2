"""A daemon's copy of the operators' table, kept in step with its peers."""

import bisect
import functools
import operator

import xxhash

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import change as changes
from citronvalve.peers import tabledelta
from citronvalve.peers import tablepage

#: Bytes of rows in one page.  A message of 64 KiB takes about a
#: millisecond to handle, which delays tokens by as much.
_MAX_PAGE_BYTES = 48 * 1_024

_CHANGE_OVERHEAD = 16


def _digest(row: changes.Change) -> int:
    return xxhash.xxh3_64_intdigest(
        f"{row.table}\0{row.key}\0{row.version}\0".encode() + row.value
    )


def _cursor(row: changes.Change) -> tablepage.Cursor:
    return tablepage.Cursor(row.version, row.table, row.key)


class TableCopy:
    """Rows at one version; the version never falls.

    Deleted rows stay as empty ones, so that any two copies can be brought
    together by the rows newer than the older copy's version.

    :param invariants: where promises are asserted.
    :ivar version: of the newest row.
    :ivar digest: over all rows.
    :ivar refused: how many times pages were refused for their digest.
    :ivar is_doubted: whether another copy differs at this version.
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
        # Set once a digest did not match: the next try takes every row,
        # since the fault may lie in a row held here.
        self._needs_full_copy = False
        self.pages_refused = 0
        self.is_disputed = False
        self.confirmed_at: clock.Ms | None = None

    def confirm(self, at: clock.Ms) -> None:
        """Note that the version was the newest at a moment.

        :param at: monotonic ms.
        """
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def apply(self, delta: tabledelta.TableDelta) -> bool:
        """Take a delta in whole; tell whether the version rose.

        :param delta: as a watcher read it from the platform.
        """
        if delta.version <= self.version or delta.base > self.version:
            return False
        self._commit(delta.version, delta.changes)
        return True

    def reconcile(
        self, whole: tabledelta.TableDelta
    ) -> tuple[tuple[str, str], ...]:
        """Replace the rows held if any of them differs from the platform's.

        :param whole: the whole table as the platform has it; one of an
            earlier version proves nothing.
        :return: table and key of the rows that were wrong here.
        """
        if whole.version < self.version:
            return ()
        self.is_disputed = False
        row_by_key = {(row.table, row.key): row for row in whole.changes}
        wrong = tuple(
            key
            for key in sorted(self._row_by_key.keys() | row_by_key.keys())
            if self._differs(key, row_by_key.get(key))
        )
        if wrong:
            self._clear()
            self._write(whole.version, whole.changes)
        return wrong

    def _differs(
        self, key: tuple[str, str], stored: changes.Change | None
    ) -> bool:
        # What was written after the version held here is only new.
        if stored is not None and stored.version > self.version:
            return False
        return self._row_by_key.get(key) != stored

    def page_after(self, start: tablepage.Cursor) -> tablepage.TablePage:
        """Return the page of rows after a place.

        :param start: the end of what the receiver holds.
        """
        at = bisect.bisect_right(self._cursors, start)
        taken: list[changes.Change] = []
        size = 0
        while at < len(self._cursors) and size < _MAX_PAGE_BYTES:
            place = self._cursors[at]
            row = self._row_by_key[place.table, place.key]
            size += len(row.value) + len(row.key) + _CHANGE_OVERHEAD
            taken.append(row)
            at += 1
        return tablepage.TablePage(
            self.version,
            self.digest,
            start,
            tuple(taken),
            at == len(self._cursors),
        )

    def rows_after(self, version: int) -> tuple[changes.Change, ...]:
        """Return all rows newer than a version.

        :param version: what the receiver holds.
        """
        at = bisect.bisect_right(self._cursors, tablepage.Cursor(version + 1))
        return tuple(
            self._row_by_key[place.table, place.key]
            for place in self._cursors[at:]
        )

    def size_after(self, version: int, most: int) -> int:
        """Return about how large the rows after a version are.

        :param version: what the receiver holds.
        :param most: stop counting here.
        """
        at = bisect.bisect_right(self._cursors, tablepage.Cursor(version + 1))
        size = 0
        for place in self._cursors[at:]:
            row = self._row_by_key[place.table, place.key]
            size += len(row.value) + len(row.key) + _CHANGE_OVERHEAD
            if size > most:
                break
        return size

    def next_cursor(self) -> tablepage.Cursor:
        """Return the place from which this copy needs rows."""
        held = 0 if self._needs_full_copy else self.version + 1
        return max(self._staged_from, tablepage.Cursor(held))

    def apply_page(self, page: tablepage.TablePage) -> bool:
        """Take a page in; tell whether the version rose.

        Pages are staged until the last one: a table half old and half new
        was never declared by anyone.

        :param page: from any peer.
        """
        if page.version <= self.version:
            return False
        if page.start > self.next_cursor():
            self.pages_refused += 1
            return False
        for row in page.changes:
            held = self._staged_by_key.get((row.table, row.key))
            if held is None or held.version < row.version:
                self._staged_by_key[row.table, row.key] = row
        if not page.is_last:
            if page.changes:
                end = _cursor(page.changes[-1])
                self._staged_from = max(end, self.next_cursor())
            return False
        return self._finish(page)

    def _finish(self, page: tablepage.TablePage) -> bool:
        rows = tuple(self._staged_by_key.values())
        whole = self._needs_full_copy
        digest = self._digest_with(rows, whole)
        self._staged_by_key = {}
        self._staged_from = tablepage.Cursor(0)
        # Pages of peers that differ, or a row spoilt on the way, would leave
        # a hole that no later delta fills.  The digest finds it, and the
        # copy is taken again in whole.
        self._needs_full_copy = digest != page.digest
        if self._needs_full_copy:
            self.pages_refused += 1
            return False
        if whole:
            self._clear()
        self._commit(page.version, rows)
        return True

    def _clear(self) -> None:
        self._row_by_key = {}
        self._cursors = []
        self.digest = 0

    def _newer_rows(self, rows: tuple[changes.Change, ...]):
        for row in rows:
            held = self._row_by_key.get((row.table, row.key))
            if held is None or held.version < row.version:
                yield held, row

    def _digest_with(
        self, rows: tuple[changes.Change, ...], whole: bool = False
    ) -> int:
        if whole:
            return functools.reduce(operator.xor, map(_digest, rows), 0)
        digest = self.digest
        for held, row in self._newer_rows(rows):
            digest ^= _digest(row) ^ (_digest(held) if held else 0)
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
        for held, row in list(self._newer_rows(rows)):
            if held is not None:
                place = bisect.bisect_left(self._cursors, _cursor(held))
                del self._cursors[place]
            bisect.insort(self._cursors, _cursor(row))
            self._row_by_key[row.table, row.key] = row
        self.version = version
        self.digest = digest

    def rows(self) -> list[changes.Change]:
        """Return the rows that are not deleted."""
        return [row for row in self._row_by_key.values() if row.value]
