"""The keys and versions of a table's rows, as one daemon holds them."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from citronvalve.storage import rows


class Difference(NamedTuple):
    """Rows that are new or have another version, and keys that are gone."""

    rows: tuple[rows.Row, ...]
    deleted: tuple[str, ...]


class RowVersions:
    """Tells cheaply whether two daemons hold the same rows.

    :ivar digest: the same for two mirrors with the same rows at the same
        versions; an update costs only the rows that it names.
    """

    def __init__(self) -> None:
        self._version_by_key: dict[str, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._version_by_key)

    def difference(self, all_rows: tuple[rows.Row, ...]) -> Difference:
        """Return what leads from these rows to those of a whole reading.

        :param found: all rows of the table.
        """
        held = self._version_by_key
        changed = tuple(r for r in all_rows if held.get(r.key) != r.version)
        deleted = held.keys() - {row.key for row in all_rows}
        return Difference(changed, tuple(sorted(deleted)))

    def update(
        self, changed: Iterable[rows.Row], deleted: Iterable[str] = ()
    ) -> None:
        """Take changes.

        :param found: rows that are new or differ.
        :param gone: keys of rows that are no more.
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
