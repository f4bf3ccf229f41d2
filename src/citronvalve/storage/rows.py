"""Records of the platform's transactional table service."""

from typing import Any
from typing import NamedTuple

from citronvalve.model import missing

#: The version of a row that does not exist, for use in a condition.
NO_ROW = 0


class Row(NamedTuple):
    """A stored row; ``version`` is the revision that last wrote it."""

    table: str
    key: str
    value: dict[str, Any]
    version: int


class Condition(NamedTuple):
    """The row must have exactly this version; :data:`NO_ROW` means absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Put a value; ``None`` deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


class Transaction(NamedTuple):
    """Writes that take effect together if all conditions hold.

    ``attempt`` identifies this attempt in logs.  The service does not
    deduplicate: to learn the outcome after a lost response, a caller writes
    ``attempt`` into a row and reads it back.
    """

    attempt: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Committed(NamedTuple):
    """The transaction took effect at this revision of the whole store."""

    revision: int


class Scan(NamedTuple):
    """Rows of a table at one revision, and keys deleted up to it.

    ``deleted`` is relative to the revision that was requested.
    """

    revision: int
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()


class Conflict(missing.Missing):
    """A condition did not hold; nothing was written.

    :param reason: which condition failed.
    :param where: table and key of the first condition that failed.
    :param rows: current rows of the conditions.
    """

    __slots__ = ("rows",)

    def __init__(
        self, reason: str, where: str, rows: tuple[Row, ...] = ()
    ) -> None:
        super().__init__(reason, where)
        self.rows = rows


#: Result of a commit: done, condition failed, not done, or unknown.
CommitResult = Committed | Conflict | missing.Unavailable | missing.AnswerLost
