"""One change of one key's row, waiting for its batch."""

import enum
from typing import NamedTuple

from citronvalve.once import record as records
from citronvalve.storage import rows


class ChangeKind(enum.StrEnum):
    """What a change is for."""

    #: Claim the key before the request is dispatched.
    CLAIM = "claim"
    #: Record how the dispatch ended.
    FINISH = "finish"
    #: Give the key back: the request was not run.
    RELEASE = "release"


class Change(NamedTuple):
    """A change that happens only while the row has ``version``.

    ``record`` is the new row, or None to delete it.  ``unsure`` says that
    an answer was lost, so that the change may have happened already.
    """

    kind: ChangeKind
    row_key: str
    attempt_id: str
    record: records.Record | None
    version: int = rows.NO_ROW
    maybe_applied: bool = False


def claim(row_key: str, record: records.Record) -> Change:
    """Return the claim of a key that has no row.

    :param place: key of the row.
    :param record: the pending row.
    """
    return Change(ChangeKind.CLAIM, row_key, record.attempt, record)


def release(
    row_key: str, attempt_id: str, version: int = rows.NO_ROW
) -> Change:
    """Return the change that gives a key back.

    :param place: key of the row.
    :param attempt: whose row it is; another's is left alone.
    :param version: of the row; :data:`rows.NO_ROW` when it is not known
        whether the claim took effect.  The platform then shows the row.
    """
    return Change(ChangeKind.RELEASE, row_key, attempt_id, None, version)
