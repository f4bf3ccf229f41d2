"""The stored rows of the table at one version, and updates by scans."""

from typing import Any
from typing import NamedTuple

from citronvalve.storage import rows
from citronvalve.table import layout


class State(NamedTuple):
    """All stored rows, including the head.

    ``version`` is the table's version, which rises by one with each edit.
    ``revision`` is the store's revision of the head; the next scan starts
    from it, and the next edit is conditional on it.
    """

    version: int
    revision: int
    row_by_key: dict[str, rows.Row]

    @property
    def value_by_key(self) -> dict[str, dict[str, Any]]:
        """Return the columns of each row, without head and removed rows."""
        return {
            key: row.value
            for key, row in self.row_by_key.items()
            if key != layout.HEAD and row.value
        }


#: The table before its first edit.
EMPTY = State(0, rows.NO_ROW, {})


def fold(state: State, scan: rows.Scan) -> State:
    """Return the state updated by a scan.

    :param state: the state before the scan.
    :param scan: of :data:`layout.TABLE` after ``state.revision``.
    """
    if not scan.rows:
        return state
    row_by_key = dict(state.row_by_key)
    row_by_key.update((row.key, row) for row in scan.rows)
    head = row_by_key.get(layout.HEAD)
    if not head:
        return EMPTY
    return State(head.value["version"], head.version, row_by_key)
