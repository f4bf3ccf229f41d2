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
    """The row must have this very version; :data:`NO_ROW` means absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Put a value; ``None`` deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


class Transaction(NamedTuple):
    """All writes happen if all conditions hold, else none does.

    ``attempt`` names this try in logs.  The service does not deduplicate;
    callers that must settle a lost answer put it into a row and read back.
    """

    attempt: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Committed(NamedTuple):
    """The transaction took effect at this revision of the whole store."""

    revision: int


class Scan(NamedTuple):
    """Rows of a table at one revision; ``deleted`` holds keys gone since."""

    revision: int
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()


class Conflict(missing.Missing):
    """A condition did not hold; nothing was written.

    :param reason: which condition failed.
    :param where: table and key of the first that failed.
    :param rows: the rows that the conditions named, as they are now.
    """

    __slots__ = ("rows",)

    def __init__(
        self, reason: str, where: str, rows: tuple[Row, ...] = ()
    ) -> None:
        super().__init__(reason, where)
        self.rows = rows


#: What a commit comes to: done, refused, not done, or not known.
CommitResult = Committed | Conflict | missing.Unavailable | missing.AnswerLost
