"""What leads from one version of the table to a later one."""

from typing import NamedTuple

from citronvalve.peers import change


class TableDelta(NamedTuple):
    """Rows written after ``base`` up to ``version``, each in its last form.

    It fits any copy whose version is at least ``base`` and below
    ``version``; base 0 is a full copy.
    """

    version: int
    base: int
    changes: tuple[change.Change, ...]
