"""One row of the table as it travels between daemons."""

from typing import NamedTuple


class Change(NamedTuple):
    """A row written at ``version``; an empty ``value`` means deleted.

    ``value`` is opaque here: the table's own encoding of a stored row.
    """

    table: str
    key: str
    version: int
    value: bytes
