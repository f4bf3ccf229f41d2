"""Edits of the table, and what may come of them."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.table import mistake


class Change(NamedTuple):
    """One row before and after; None where there is no row."""

    key: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class Author(NamedTuple):
    """Who edits the table, and why."""

    who: str
    why: str


class Entry(NamedTuple):
    """One entry of the audit trail.

    ``at`` is the wall clock of the author's machine: the order of edits is
    that of ``version``.
    """

    version: int
    edit: str
    who: str
    why: str
    at: clock.Ms
    changes: tuple[Change, ...]


class Plan(NamedTuple):
    """What an edit would change, on which version, and what is wrong."""

    base: int
    changes: tuple[Change, ...]
    mistakes: tuple[mistake.Mistake, ...] = ()


class Accepted(NamedTuple):
    """The edit is committed as this version, with an id of its own."""

    version: int
    edit: str
    changes: tuple[Change, ...]


class Unchanged(NamedTuple):
    """The table already says all this; nothing was written."""

    version: int


class Refused(NamedTuple):
    """The edit is wrong; nothing was written."""

    mistakes: tuple[mistake.Mistake, ...]


class Conflict(NamedTuple):
    """The table is no longer at the expected version; nothing was written.

    ``winners`` are the edits since, oldest first; ``lost`` says why they
    could not be read, when so.
    """

    expected: int
    version: int
    winners: tuple[Entry, ...]
    unread_reason: str = ""


class Unknown(NamedTuple):
    """The edit may or may not be committed; its id settles it later."""

    edit: str
    base: int
    reason: str


Outcome = (
    Accepted | Unchanged | Refused | Conflict | Unknown | missing.Unavailable
)
