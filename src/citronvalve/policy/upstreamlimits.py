"""Request rates that upstreams have named."""

from typing import NamedTuple

from citronvalve.model import clock

#: Ends are kept for this time: a late message may name a limit that is over.
_END_VALIDITY: clock.Ms = 30_000


class Limit(NamedTuple):
    """The rate of one upstream, in requests per second from all daemons.

    ``began_at`` is when it was first named, ``heard_at`` when the newest
    answer came that names it, both in monotonic ms.
    """

    rate: float
    began_at: clock.Ms
    heard_at: clock.Ms


class UpstreamLimits:
    """The limits in force, and those that are over since a short time.

    :ivar limit_by_upstream: the limits in force.
    :ivar ended_at_by_upstream: monotonic ms at which others ended.
    """

    def __init__(self) -> None:
        self.limit_by_upstream: dict[str, Limit] = {}
        self.ended_at_by_upstream: dict[str, clock.Ms] = {}

    def record(self, upstream: str, limit: Limit) -> bool:
        """Record a limit; return whether another rate is now in force.

        :param upstream: its id.
        :param limit: as heard here or by another daemon.
        """
        ended_at = self.ended_at_by_upstream.get(upstream)
        if ended_at is not None and limit.heard_at <= ended_at:
            return False
        known = self.limit_by_upstream.get(upstream)
        merged = limit
        if known is not None:
            newest = max(known, limit, key=lambda one: one.heard_at)
            began_at = min(known.began_at, limit.began_at)
            merged = newest._replace(began_at=began_at)
        self.limit_by_upstream[upstream] = merged
        return known is None or known.rate != merged.rate

    def record_end(self, upstream: str, at: clock.Ms) -> Limit | None:
        """Record that a limit is over; return it if it was in force.

        :param upstream: its id.
        :param at: monotonic ms at which the upstream had no limit.
        """
        limit = self.limit_by_upstream.get(upstream)
        if limit is None or limit.heard_at >= at:
            return None
        self.ended_at_by_upstream[upstream] = at
        return self.limit_by_upstream.pop(upstream)

    def retain(self, upstreams: set[str], now: clock.Ms) -> None:
        """Drop other upstreams, and ends that no message contradicts.

        :param upstreams: the ids to keep.
        :param now: monotonic ms.
        """
        for upstream in self.limit_by_upstream.keys() - upstreams:
            del self.limit_by_upstream[upstream]
        self.ended_at_by_upstream = {
            upstream: at
            for upstream, at in self.ended_at_by_upstream.items()
            if now - at < _END_VALIDITY
        }
