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

#: Requests that may reach a runner from a daemon that it asked for rest.
_MOST_IN_REST = 2

#: Seconds after a daemon has passed on that a runner leaves from which
#: requests that callers send may not reach it.
_DRAIN = 2.0

#: Headers of a limit, a rest and a leave.
LIMIT = "Server-Limit"
REST = "Retry-After"
LEAVING = "Server-Leaving"


class Arrival(NamedTuple):
    """A request that reached a runner, by the daemon that took it.

    ``asked_at`` is when its caller sent it, and ``is_told`` says whether its
    daemon had been told of a limit.
    """

    at: float
    upstream: str
    daemon: str
    asked_at: float = 0.0
    is_told: bool = False


class Rest(NamedTuple):
    """A time for which a runner wants nothing from a daemon."""

    upstream: str
    daemon: str
    begin: float
    end: float


class Late(NamedTuple):
    """A request that reached a runner long after the word that it leaves."""

    arrival: Arrival
    told_at: float


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
    :ivar rests: the rests that were asked for.
    :ivar late: requests that reached runners that were known to leave.
    :ivar arrivals: the requests that reached runners.
    """

    def __init__(self) -> None:
        self.limits: list[Limit] = []
        self.rests: list[Rest] = []
        self.late: list[Late] = []
        self._leaving_told_at: dict[tuple[str, str], float] = {}
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

    def tell_leaving(self, daemon: str, upstream: str, at: float) -> None:
        """Take in that a daemon has passed on that a runner leaves.

        :param daemon: its name.
        :param upstream: the runner's id.
        :param at: in seconds.
        """
        self._leaving_told_at.setdefault((daemon, upstream), at)

    def stay(self, upstream: str) -> None:
        """Take in that a runner has started again.

        :param upstream: its id.
        """
        for key in [k for k in self._leaving_told_at if k[1] == upstream]:
            del self._leaving_told_at[key]
        self.rests = [one for one in self.rests if one.upstream != upstream]

    def forget(self, daemon: str) -> None:
        """Take in that a daemon has started again, which excuses it.

        :param daemon: its name.
        """
        for told in (self._told_at, self._leaving_told_at):
            for key in [key for key in told if key[0] == daemon]:
                del told[key]
        self.rests = [rest for rest in self.rests if rest.daemon != daemon]

    def arrive(self, arrival: Arrival) -> None:
        """Take in a request that reached a runner.

        :param arrival: counted if its daemon had been told.
        """
        key = arrival.daemon, arrival.upstream
        told_at = self._told_at.get(key)
        is_told = told_at is not None and told_at <= arrival.at - _HEEDS_AFTER
        self.arrivals.append(arrival._replace(is_told=is_told))
        left_at = self._leaving_told_at.get(key)
        if left_at is not None and arrival.asked_at > left_at + _DRAIN:
            self.late.append(Late(arrival, left_at))

    def broken_rests(self) -> list[tuple[Rest, int]]:
        """Return the rests in which too many requests came, with these."""
        counts = [
            (rest, self.count_from(rest.daemon, rest)) for rest in self.rests
        ]
        return [one for one in counts if one[1] > _MOST_IN_REST]

    def count_from(self, daemon: str, rest: Rest) -> int:
        """Return how many requests of a daemon came in a rest.

        :param daemon: its name.
        :param rest: the rest; the daemon has some time to heed it.
        """
        return sum(
            one.upstream == rest.upstream
            and one.daemon == daemon
            and rest.begin + _HEEDS_AFTER < one.at <= rest.end
            for one in self.arrivals
        )

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
            if one.upstream != limit.upstream or not one.is_told:
                continue
            if is_judged:
                window.append(one.at)
            while window and window[0] <= one.at - WINDOW:
                window.popleft()
            if len(window) > worst.count:
                worst = worst._replace(at=one.at, count=len(window))
        return worst
