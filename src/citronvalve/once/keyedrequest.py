"""A non-idempotent request, as the recorder sees it."""

from typing import NamedTuple

from citronvalve.model import clock


class KeyedRequest(NamedTuple):
    """A request with an idempotency key.

    ``digest`` covers method, path and body.  ``time_left`` is in ms until
    the deadline.
    """

    team: str
    key: str
    digest: str
    time_left: clock.Ms
