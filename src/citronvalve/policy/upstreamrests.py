"""Times for which upstreams want no request from this daemon."""

from collections.abc import Iterable
import math
from typing import NamedTuple

from citronvalve.model import clock


class Rest(NamedTuple):
    """The begin and the end of a rest, in monotonic ms."""

    began_at: clock.Ms
    until: clock.Ms


class UpstreamRests:
    """The rests of upstreams.

    :ivar rest_by_upstream: the rests, with some that are over.
    """

    def __init__(self) -> None:
        self.rest_by_upstream: dict[str, Rest] = {}

    def record(self, upstream: str, duration: float, now: clock.Ms) -> bool:
        """Record a rest; return whether none was under way.

        :param upstream: its id.
        :param duration: ms.
        :param now: monotonic ms.
        """
        until = now + math.ceil(duration)
        known = self.rest_by_upstream.get(upstream)
        if known is None or known.until <= now:
            self.rest_by_upstream[upstream] = Rest(now, until)
            return True
        longest = max(known.until, until)
        self.rest_by_upstream[upstream] = known._replace(until=longest)
        return False

    def is_resting(self, upstream: str, now: clock.Ms) -> bool:
        """Return whether an upstream wants no request.

        :param upstream: its id.
        :param now: monotonic ms.
        """
        rest = self.rest_by_upstream.get(upstream)
        return rest is not None and rest.until > now

    def prune(self, now: clock.Ms) -> dict[str, Rest]:
        """Drop the rests that are over, and return them.

        :param now: monotonic ms.
        """
        over = {
            upstream: rest
            for upstream, rest in self.rest_by_upstream.items()
            if rest.until <= now
        }
        for upstream in over:
            del self.rest_by_upstream[upstream]
        return over

    def wait(self, upstreams: Iterable[str], now: clock.Ms) -> float:
        """Return the ms until the first of some rests ends.

        :param upstreams: ids.
        :param now: monotonic ms.
        :returns: infinite if none of them rests.
        """
        return min(
            (
                self.rest_by_upstream[upstream].until - now
                for upstream in upstreams
                if self.is_resting(upstream, now)
            ),
            default=math.inf,
        )
