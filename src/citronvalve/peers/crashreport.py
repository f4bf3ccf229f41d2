"""A report that a request crashed an upstream."""

from typing import NamedTuple

from citronvalve.model import clock


class CrashReport(NamedTuple):
    """An upstream was lost while it ran a request.

    ``fingerprint`` identifies the request's content.  Reports about the same
    fingerprint from different upstreams add up across all daemons.
    """

    fingerprint: str
    upstream: str
    start_id: str
    age: clock.Ms
