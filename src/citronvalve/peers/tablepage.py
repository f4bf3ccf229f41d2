"""A part of a table delta that fits into one message."""

from typing import NamedTuple

from citronvalve.peers import change


class Cursor(NamedTuple):
    """A place in the rows ordered by version, table and key."""

    version: int
    table: str = ""
    key: str = ""


class TablePage(NamedTuple):
    """Rows after ``start``; ``last`` is set on the page that ends the delta.

    ``digest`` is that of the whole table at ``version``.
    """

    version: int
    digest: int
    start: Cursor
    changes: tuple[change.Change, ...]
    is_last: bool
