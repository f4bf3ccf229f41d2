"""The rows of a table by key, and the digest of their versions."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from citronvalve.storage import rows


class Difference(NamedTuple):
    """Rows that are new or have another version, and keys of deleted rows."""

    rows: tuple[rows.Row, ...]
    deleted: tuple[str, ...]


class VersionIndex:
    """Rows by key, with a digest to compare the rows of two daemons.

    :ivar digest: equal for equal keys and versions; the cost of an update
        depends only on the number of its rows.
    """

    def __init__(self) -> None:
        self._row_by_key: dict[str, rows.Row] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._row_by_key)

    def all_rows(self) -> tuple[rows.Row, ...]:
        """Return all rows."""
        return tuple(self._row_by_key.values())

    def difference(self, all_rows: tuple[rows.Row, ...]) -> Difference:
        """Return the changes from the current rows to those of a full read.

        :param all_rows: all rows of the table.
        """
        held = self._row_by_key
        changed = tuple(
            row
            for row in all_rows
            if row.key not in held or held[row.key].version != row.version
        )
        deleted = held.keys() - {row.key for row in all_rows}
        return Difference(changed, tuple(sorted(deleted)))

    def update(
        self, changed: Iterable[rows.Row], deleted: Iterable[str] = ()
    ) -> None:
        """Apply changes.

        :param changed: new and changed rows.
        :param deleted: keys of deleted rows.
        """
        for key in deleted:
            self._remove(key)
        for row in changed:
            self._remove(row.key)
            self._row_by_key[row.key] = row
            self.digest ^= _digest(row.key, row.version)

    def _remove(self, key: str) -> None:
        row = self._row_by_key.pop(key, None)
        if row is not None:
            self.digest ^= _digest(key, row.version)


def _digest(key: str, version: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{version}".encode())
