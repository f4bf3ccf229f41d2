"""What runners in need ask of the daemons, and what reaches them."""

import collections
from collections.abc import Iterator
from typing import NamedTuple

#: Seconds after a limit was first named from which it is judged, and the
#: length of the windows in which requests are counted.
STABLE, WINDOW = 3.0, 4.0

#: Requests in a window beyond the share of the rate that is allowed.
_OVER, _SLACK = 1.5, 5

#: Seconds after which a daemon heeds what it has passed on.
_HEEDS_AFTER = 0.5

#: Header of a limit.
LIMIT = "Server-Limit"


class Arrival(NamedTuple):
    """A request that reached a runner, by the daemon that took it."""

    at: float
    upstream: str
    daemon: str


class Limit(NamedTuple):
    """A rate that a runner named, in requests per second."""

    upstream: str
    rate: float
    begin: float
    end: float = float("inf")


class Excess(NamedTuple):
    """More requests than allowed, in the window that ends at ``at``."""

    upstream: str
    at: float
    count: int
    allowed: float


class Needs:
    """The accounts of runners in need.

    :ivar limits: the rates that were named.
    :ivar arrivals: the requests that reached runners.
    """

    def __init__(self) -> None:
        self.limits: list[Limit] = []
        self.arrivals: list[Arrival] = []
        self._told_at: dict[tuple[str, str], float] = {}

    def begin(self, limit: Limit) -> None:
        """Take in that a runner names a rate from now on.

        :param limit: the rate; daemons have yet to pass it on.
        """
        self.limits.append(limit)
        for key in [key for key in self._told_at if key[1] == limit.upstream]:
            del self._told_at[key]

    def tell(self, daemon: str, upstream: str, at: float) -> None:
        """Take in that a daemon has passed on an answer with a limit.

        :param daemon: its name.
        :param upstream: the runner's id.
        :param at: in seconds.
        """
        self._told_at.setdefault((daemon, upstream), at)

    def forget(self, daemon: str) -> None:
        """Take in that a daemon has started again, which excuses it.

        :param daemon: its name.
        """
        for key in [key for key in self._told_at if key[0] == daemon]:
            del self._told_at[key]

    def arrive(self, arrival: Arrival) -> None:
        """Take in a request that reached a runner.

        :param arrival: counted if its daemon had been told.
        """
        told_at = self._told_at.get((arrival.daemon, arrival.upstream))
        if told_at is None or told_at > arrival.at - _HEEDS_AFTER:
            arrival = arrival._replace(daemon="")
        self.arrivals.append(arrival)

    def excesses(self) -> Iterator[Excess]:
        """Return the worst window of each limit that was passed."""
        for limit in self.limits:
            worst = self._worst(limit)
            if worst.count > worst.allowed:
                yield worst

    def count(self, upstream: str, begin: float, end: float) -> int:
        """Return how many requests reached a runner.

        :param upstream: its id.
        :param begin: in seconds.
        :param end: in seconds.
        """
        return sum(
            one.upstream == upstream and begin <= one.at < end
            for one in self.arrivals
        )

    def _worst(self, limit: Limit) -> Excess:
        allowed = _OVER * limit.rate * WINDOW + _SLACK
        worst = Excess(limit.upstream, limit.begin, 0, allowed)
        window: collections.deque[float] = collections.deque()
        for one in self.arrivals:
            is_judged = limit.begin + STABLE <= one.at <= limit.end
            if one.upstream != limit.upstream or not one.daemon:
                continue
            if is_judged:
                window.append(one.at)
            while window and window[0] <= one.at - WINDOW:
                window.popleft()
            if len(window) > worst.count:
                worst = worst._replace(at=one.at, count=len(window))
        return worst
