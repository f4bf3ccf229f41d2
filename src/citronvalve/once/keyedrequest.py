"""A request that may not be repeated, as the record needs to know it."""

from typing import NamedTuple

from citronvalve.model import clock


class KeyedRequest(NamedTuple):
    """A keyed request.

    ``digest`` is of method, path and body; ``left`` is ms until its
    deadline.
    """

    team: str
    key: str
    digest: str
    time_left: clock.Ms
