"""A row of the table as sent between daemons."""

from typing import NamedTuple


class Change(NamedTuple):
    """A row written at ``version``; an empty ``value`` means deleted.

    ``value`` is the table's encoding of a stored row and opaque here.
    """

    table: str
    key: str
    version: int
    value: bytes
