"""The state of a table as one daemon knows it."""

from typing import NamedTuple

from citronvalve.model import clock


class TableState(NamedTuple):
    """State that a reader sends to other daemons for comparison.

    The last change has revision ``changed_revision``, and there is none
    after it up to ``revision``, which was the newest ``age`` ms ago.
    ``digest`` is that of all rows (:class:`versionindex.VersionIndex`), None
    from an older release.
    """

    table: str
    changed_revision: int
    revision: int
    age: clock.Ms
    digest: int | None = None
