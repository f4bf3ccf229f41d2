"""Changes between two revisions of the table."""

from typing import NamedTuple

from citronvalve.storage import rows


class Delta(NamedTuple):
    """Latest values of the rows written after ``base`` up to ``revision``.

    The head row is included.  A removed row has an empty value and the
    revision that removed it, so that all watchers report it alike.  Both
    numbers are store revisions at which the head was written; they rise
    with the table's version.
    """

    base: int
    revision: int
    rows: tuple[rows.Row, ...]
