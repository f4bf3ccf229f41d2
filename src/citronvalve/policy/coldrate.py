"""The request rate to a cold upstream."""

import random

from citronvalve.model import clock
from citronvalve.policy import slidingcount

#: Usable part of the rate.  Requests sent within one second may arrive
#: within a shorter time.
_USABLE_SHARE = 0.8

#: Usable part of a daemon's share below one request per second.  The sends
#: of many daemons coincide by chance; this keeps the sum in any second four
#: standard deviations below the bound.
_USABLE_SHARE_IN_TURNS = 0.75


class ColdRate:
    """One daemon's share of the rate of each cold upstream.

    An upstream that has just started crashes well above its rate, and all
    requests on it are lost.  Each daemon uses an equal share, which keeps
    the bound also while the daemons can't reach each other.

    :param rng: spreads the sends when the share is below one per second.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sent_by_upstream: dict[str, slidingcount.SlidingCount] = {}
        self._last_by_upstream: dict[str, clock.Ms] = {}

    def allows(
        self, upstream: str, rate: float, daemons: int, now: clock.Ms
    ) -> bool:
        """Return whether one more request may be sent to a cold upstream.

        :param upstream: its id.
        :param rate: requests per second from all daemons together.
        :param daemons: number of daemons that share it.
        :param now: monotonic ms.
        """
        part = _USABLE_SHARE * rate / max(1, daemons)
        if part < 1:
            return self._is_due(upstream, _USABLE_SHARE_IN_TURNS * part, now)
        sent = self._sent_by_upstream.get(upstream)
        return sent is None or sent.count(now) + 1 <= part

    def _is_due(self, upstream: str, part: float, now: clock.Ms) -> bool:
        # With less than one request per second, each daemon keeps an
        # interval.  The first one is random, or all would send at once.
        interval = clock.SECOND / part
        last = self._last_by_upstream.get(upstream)
        if last is None:
            last = now - round(self._rng.uniform(0, interval))
            self._last_by_upstream[upstream] = last
        return now - last >= interval

    def record_sent(self, upstream: str, now: clock.Ms) -> None:
        """Count a request that is about to be sent.

        :param upstream: its id.
        :param now: monotonic ms.
        """
        counted = self._sent_by_upstream.get(upstream)
        if counted is None:
            counted = slidingcount.SlidingCount(clock.SECOND)
            self._sent_by_upstream[upstream] = counted
        counted.add(now)
        self._last_by_upstream[upstream] = now

    def retain(self, upstreams: set[str]) -> None:
        """Drop the state of all other upstreams.

        :param upstreams: the ids to keep.
        """
        for upstream in set(self._sent_by_upstream) - upstreams:
            del self._sent_by_upstream[upstream]
            self._last_by_upstream.pop(upstream, None)
