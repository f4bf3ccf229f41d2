"""How far a daemon has read a table."""

from typing import NamedTuple

from citronvalve.model import clock


class TableState(NamedTuple):
    """What a reader states of a table, so that others can compare theirs.

    The last change came with ``changed``, and there was none after it up to
    ``revision``, which was the newest ``age`` ms ago.  ``digest`` is that of
    all rows then (:class:`mirror.Mirror`), None from an older release.
    """

    table: str
    changed_revision: int
    revision: int
    age: clock.Ms
    digest: int | None = None
