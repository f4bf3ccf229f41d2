"""The difference between two versions of the table."""

from typing import NamedTuple

from citronvalve.peers import change


class TableDelta(NamedTuple):
    """The newest state of the rows written after ``base`` up to ``version``.

    It applies to any copy whose version is at least ``base`` and below
    ``version``; base 0 is a full copy.
    """

    version: int
    base: int
    changes: tuple[change.Change, ...]
