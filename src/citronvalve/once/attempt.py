"""The attempt that may dispatch a request."""

from typing import NamedTuple

from citronvalve.model import clock


class Attempt(NamedTuple):
    """One dispatch of a request, recorded in the table.

    ``version`` is the version of the row.  ``expires_at`` is the wall time
    in ms after which other daemons regard the attempt as abandoned.
    """

    attempt_id: str
    row_key: str
    digest: str
    version: int
    expires_at: clock.Ms


class Permit(NamedTuple):
    """Permission to dispatch the request once.

    The holder must report the outcome to the recorder.
    """

    attempt: Attempt
