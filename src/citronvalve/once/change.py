"""A change of the row of one key."""

import enum
from typing import NamedTuple

from citronvalve.once import record as records
from citronvalve.storage import rows


class ChangeKind(enum.StrEnum):
    """Purpose of a change."""

    #: Claim the key before the request is dispatched.
    CLAIM = "claim"
    #: Record the outcome of the dispatch.
    FINISH = "finish"
    #: Delete the claim, because the request was not run.
    RELEASE = "release"


class Change(NamedTuple):
    """A change that is conditional on ``version`` of the row.

    ``record`` is the new row, or None to delete it.  ``maybe_applied`` is
    set when the response to an earlier commit of the change was lost.
    """

    kind: ChangeKind
    row_key: str
    attempt_id: str
    record: records.Record | None
    version: int = rows.NO_ROW
    maybe_applied: bool = False


def claim(row_key: str, record: records.Record) -> Change:
    """Return the change that claims a key without a row.

    :param row_key: key of the row.
    :param record: the pending row.
    """
    return Change(ChangeKind.CLAIM, row_key, record.attempt, record)


def release(
    row_key: str, attempt_id: str, version: int = rows.NO_ROW
) -> Change:
    """Return the change that deletes the row of an attempt.

    :param row_key: key of the row.
    :param attempt_id: the attempt; rows of other attempts are kept.
    :param version: version of the row; :data:`rows.NO_ROW` when it is not
        known whether the claim took effect.  The commit then conflicts if
        there is a row, and returns it.
    """
    return Change(ChangeKind.RELEASE, row_key, attempt_id, None, version)
