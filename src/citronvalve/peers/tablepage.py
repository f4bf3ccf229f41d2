"""A part of a table delta that fits into one message."""

from typing import NamedTuple

from citronvalve.peers import change


class Cursor(NamedTuple):
    """A position in the rows, ordered by version, table and key."""

    version: int
    table: str = ""
    key: str = ""


class TablePage(NamedTuple):
    """Rows after ``start``; ``is_last`` is set on the final page.

    ``digest`` covers the full table at ``version``.
    """

    version: int
    digest: int
    start: Cursor
    changes: tuple[change.Change, ...]
    is_last: bool
