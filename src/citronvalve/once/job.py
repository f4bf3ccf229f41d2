"""One change of one key's row, waiting for its batch."""

import enum
from typing import NamedTuple

from citronvalve.once import record as records
from citronvalve.storage import rows


class JobKind(enum.StrEnum):
    """What a change is for."""

    #: Claim the key before the request is dispatched.
    CLAIM = "claim"
    #: Record how the dispatch ended.
    FINISH = "finish"
    #: Give the key back: the request was not run.
    RELEASE = "release"


class Job(NamedTuple):
    """A change that happens only while the row has ``version``.

    ``record`` is the new row, or None to delete it.  ``unsure`` says that
    an answer was lost, so that the change may have happened already.
    """

    kind: JobKind
    place: str
    attempt: str
    record: records.Record | None
    version: int = rows.NO_ROW
    unsure: bool = False


def claim(place: str, record: records.Record) -> Job:
    """Return the claim of a key that has no row.

    :param place: key of the row.
    :param record: the pending row.
    """
    return Job(JobKind.CLAIM, place, record.attempt, record)


def release(place: str, attempt: str, version: int = rows.NO_ROW) -> Job:
    """Return the change that gives a key back.

    :param place: key of the row.
    :param attempt: whose row it is; another's is left alone.
    :param version: of the row; :data:`rows.NO_ROW` when it is not known
        whether the claim took effect.  The platform then shows the row.
    """
    return Job(JobKind.RELEASE, place, attempt, None, version)
