"""News that one request took an upstream down."""

from typing import NamedTuple

from citronvalve.model import clock


class CrashReport(NamedTuple):
    """An upstream was lost while it ran a request.

    ``fingerprint`` names the request's content; facts about one fingerprint
    from different upstreams add up, whichever daemon saw them.
    """

    fingerprint: str
    upstream: str
    start_id: str
    age: clock.Ms
