"""Keys and versions of a table's rows, and their digest."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from citronvalve.storage import rows


class Difference(NamedTuple):
    """Rows that are new or have another version, and keys of deleted rows."""

    rows: tuple[rows.Row, ...]
    deleted: tuple[str, ...]


class VersionIndex:
    """Versions by key, with a digest to compare the rows of two daemons.

    :ivar digest: equal for equal keys and versions; the cost of an update
        depends only on the number of its rows.
    """

    def __init__(self) -> None:
        self._version_by_key: dict[str, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._version_by_key)

    def difference(self, all_rows: tuple[rows.Row, ...]) -> Difference:
        """Return the changes from the current rows to those of a full read.

        :param all_rows: all rows of the table.
        """
        held = self._version_by_key
        changed = tuple(r for r in all_rows if held.get(r.key) != r.version)
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
            self._version_by_key[row.key] = row.version
            self.digest ^= _digest(row.key, row.version)

    def _remove(self, key: str) -> None:
        version = self._version_by_key.pop(key, None)
        if version is not None:
            self.digest ^= _digest(key, version)


def _digest(key: str, version: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{version}".encode())
