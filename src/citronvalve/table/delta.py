"""What leads from one revision of the table to a later one."""

from typing import NamedTuple

from citronvalve.storage import rows


class Delta(NamedTuple):
    """Rows written after ``base`` up to ``revision``, in their last form.

    The head is among them.  A removed row is there with an empty value and
    the revision that removed it, so that every watcher tells the same of
    it.  Both numbers are revisions of the store at which the head was
    written: they rise with the table's version.
    """

    base: int
    revision: int
    rows: tuple[rows.Row, ...]
