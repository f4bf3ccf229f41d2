"""Updates the typed table from deltas of stored rows."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from citronvalve.model import declared
from citronvalve.model import invariant
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.table import builder
from citronvalve.table import delta as deltas
from citronvalve.table import layout
from citronvalve.table import mistake


class Follower:
    """Builds each version from the previous one and the changed rows.

    With 40,000 edits a day of a table of 12,000 rows, checking all rows for
    each edit would exceed a daemon's CPU budget for control work.

    :param invariants: asserts that the version rises.
    :ivar table: the last valid version, or why there is none.
    :ivar revision: of the rows received; the next delta starts from it.
    :ivar mistakes: why received rows are not in force.
    """

    def __init__(self, invariants: invariant.Invariants) -> None:
        self._invariants = invariants
        self.table: declared.Declared | missing.NotFound = missing.NotFound(
            "no table received yet from the platform or a peer", layout.TABLE
        )
        self.revision = rows.NO_ROW
        self.mistakes: tuple[mistake.Mistake, ...] = ()
        self._pending: dict[str, rows.Row] = {}
        # True while the pending rows are the whole table, not changes to it.
        self._pending_is_full = False

    def apply_delta(
        self, delta: deltas.Delta
    ) -> declared.Declared | missing.Stale | None:
        """Apply a delta; return the table if its version rose.

        An edit comes into force completely or not at all: when a row is
        invalid, the last valid version stays in force and all rows are kept
        until later ones correct it.

        :param delta: from a watcher or a peer.
        :return: None when nothing came into force, a missing value when
            rows up to the delta's base were not received.
        """
        if delta.revision <= self.revision:
            return None
        if delta.base > self.revision:
            return missing.Stale(
                f"rows after {self.revision} up to {delta.base} are unknown",
                layout.TABLE,
            )
        for row in delta.rows:
            held = self._pending.get(row.key)
            if held is None or held.version < row.version:
                self._pending[row.key] = row
        self.revision = delta.revision
        return self._build()

    def replace_all(self, full: deltas.Delta) -> declared.Declared | None:
        """Build the table from all rows; return it if it is valid.

        :param full: every row, at the current revision or a later one.
        """
        self._pending = {row.key: row for row in full.rows}
        self._pending_is_full = True
        self.revision = full.revision
        return self._build()

    def _build(self) -> declared.Declared | None:
        head = self._pending[layout.HEAD]
        version = head.value["version"]
        before = builder.EMPTY
        if self.table and not self._pending_is_full:
            before = self.table
        changes = builder.drop_unknown(_row_changes(self._pending.values()))
        built = builder.build_changed(before, changes, version)
        self.mistakes = built.mistakes
        if built.mistakes:
            return None
        self._invariants.check(
            "the table's version never falls",
            version > before.version,
            f"{before.version} to {version}",
        )
        self._pending = {}
        self._pending_is_full = False
        self.table = built.table
        return built.table


def _row_changes(
    newer: Iterable[rows.Row],
) -> Iterator[tuple[str, dict[str, Any] | None]]:
    for row in newer:
        if row.key != layout.HEAD:
            yield row.key, row.value or None
