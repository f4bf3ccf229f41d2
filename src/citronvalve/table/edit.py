"""Edits of the table and their possible outcomes."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.table import mistake


class Change(NamedTuple):
    """One row before and after an edit; None where there is no row."""

    key: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class Author(NamedTuple):
    """The person who edits the table, and the reason."""

    who: str
    why: str


class Entry(NamedTuple):
    """One entry of the audit trail.

    ``at`` is wall time in ms on the author's machine; edits are ordered by
    ``version``, not by it.
    """

    version: int
    edit: str
    who: str
    why: str
    at: clock.Ms
    changes: tuple[Change, ...]


class Plan(NamedTuple):
    """The changes of an edit, their base version, and its mistakes."""

    base: int
    changes: tuple[Change, ...]
    mistakes: tuple[mistake.Mistake, ...] = ()


class Accepted(NamedTuple):
    """The edit is committed as ``version``; ``edit`` is its id."""

    version: int
    edit: str
    changes: tuple[Change, ...]


class Unchanged(NamedTuple):
    """The table already has these values; nothing was written."""

    version: int


class Refused(NamedTuple):
    """The edit is invalid; nothing was written."""

    mistakes: tuple[mistake.Mistake, ...]


class Conflict(NamedTuple):
    """The table is no longer at the expected version; nothing was written.

    ``winners`` are the edits since, oldest first.  ``unread_reason`` says
    why they could not be read; it is empty when they were.
    """

    expected: int
    version: int
    winners: tuple[Entry, ...]
    unread_reason: str = ""


class Unknown(NamedTuple):
    """It is unknown whether the edit is committed; its id tells later."""

    edit: str
    base: int
    reason: str


Outcome = (
    Accepted | Unchanged | Refused | Conflict | Unknown | missing.Unavailable
)
