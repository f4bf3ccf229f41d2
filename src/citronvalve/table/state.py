"""The stored rows of the table at one version, and how changes fold in."""

from typing import Any
from typing import NamedTuple

from citronvalve.storage import rows
from citronvalve.table import layout


class State(NamedTuple):
    """Every stored row, with the head among them.

    ``version`` is the table's own, which rises by one with each edit;
    ``revision`` is the store's when the head was last written, and is what
    the next scan and the next edit's condition start from.
    """

    version: int
    revision: int
    row_by_key: dict[str, rows.Row]

    @property
    def value_by_key(self) -> dict[str, dict[str, Any]]:
        """Return the rows' columns, without the head and removed rows."""
        return {
            key: row.value
            for key, row in self.row_by_key.items()
            if key != layout.HEAD and row.value
        }


#: The table before its first edit.
EMPTY = State(0, rows.NO_ROW, {})


def fold(state: State, scan: rows.Scan) -> State:
    """Return the state after a scan of what changed.

    :param state: what was seen so far.
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
