"""Format row changes for output."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from citronvalve.cli import report
from citronvalve.table import edit

_HEADERS = ("", "row", "column", "before", "after")


def format_table(changes: Iterable[edit.Change]) -> str:
    """Return row changes as a text table.

    ``+`` marks an added row, ``-`` a removed row and ``~`` a changed column.

    :param changes: row changes of one edit.
    """
    return report.format_table(
        _HEADERS, (line for c in changes for line in _lines(c))
    )


def to_dicts(changes: Iterable[edit.Change]) -> list[dict[str, Any]]:
    """Return row changes as dictionaries for JSON output.

    :param changes: row changes of one edit.
    """
    return [change._asdict() for change in changes]


def _lines(change: edit.Change) -> Iterator[tuple]:
    if change.before is None:
        yield ("+", change.key, "", "no row", _format_row(change.after))
    elif change.after is None:
        yield ("-", change.key, "", _format_row(change.before), "no row")
    else:
        columns = sorted(change.before.keys() | change.after.keys())
        for column in columns:
            before = change.before.get(column)
            after = change.after.get(column)
            if before != after:
                yield ("~", change.key, column, before, after)


def _format_row(row: dict[str, Any]) -> str:
    return " ".join(f"{k}={v}" for k, v in row.items() if k != "name")
