"""The right to dispatch a request once."""

from typing import NamedTuple

from citronvalve.model import clock


class Attempt(NamedTuple):
    """One dispatch, whose row is in the table.

    ``version`` is the row's, and ``until`` the wall time in ms after which
    others take it as left behind.
    """

    attempt_id: str
    row_key: str
    digest: str
    version: int
    expires_at: clock.Ms


class Permit(NamedTuple):
    """Dispatch it now, once, and tell the recorder how it ended."""

    attempt: Attempt
