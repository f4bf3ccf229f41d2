"""A replica group that requests can be routed to."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared


class GroupRoute(NamedTuple):
    """A complete group that was observed to serve.

    ``fence`` is sent with each request, so that an engine that has been
    assigned to another group since can refuse it.  ``observed_at`` is the
    monotonic ms of the oldest observation among the group's VMs.
    """

    upstream: declared.Upstream
    fence: int
    observed_at: clock.Ms
