"""A replica group as a place for requests."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import declared


class GroupRoute(NamedTuple):
    """A whole group that was seen to serve.

    ``fence`` travels with each request, so that an engine which was given
    to another group since can refuse it.  ``seen_at`` is the monotonic ms
    at which the VM heard of longest ago was heard of.
    """

    upstream: declared.Upstream
    fence: int
    observed_at: clock.Ms
