"""How many requests a second a cold upstream gets."""

import random

from citronvalve.model import clock
from citronvalve.policy import slidingcount

#: Requests that leave within one second may arrive within a shorter one;
#: this part of the bound leaves room for that.
_USABLE_SHARE = 0.8

#: Turns of many daemons fall together by chance; this much of the part keeps
#: the sum of a second four standard deviations within the bound.
_USABLE_SHARE_IN_TURNS = 0.75


class ColdRate:
    """One daemon's part of a cold upstream's rate.

    Made for an upstream that has just started: well above its rate it
    crashes, and all that it ran is lost.  Each daemon takes an equal part,
    which holds also while the daemons can't reach each other.

    :param chance: spreads turns where each part is under one a second.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sent_by_upstream: dict[str, slidingcount.SlidingCount] = {}
        self._last_by_upstream: dict[str, clock.Ms] = {}

    def allows(
        self, upstream: str, rate: float, daemons: int, now: clock.Ms
    ) -> bool:
        """Tell whether a cold upstream bears one more request now.

        :param upstream: its id.
        :param rate: requests a second from all daemons together.
        :param daemons: how many share it.
        :param now: monotonic ms.
        """
        part = _USABLE_SHARE * rate / max(1, daemons)
        if part < 1:
            return self._is_due(upstream, _USABLE_SHARE_IN_TURNS * part, now)
        sent = self._sent_by_upstream.get(upstream)
        return sent is None or sent.count(now) + 1 <= part

    def _is_due(self, upstream: str, part: float, now: clock.Ms) -> bool:
        # More daemons than requests a second: each waits for its turn, the
        # first of which comes by chance, or all would take it at once.
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
        """Drop what is known of upstreams that are gone.

        :param upstreams: the ids that are still there.
        """
        for upstream in set(self._sent_by_upstream) - upstreams:
            del self._sent_by_upstream[upstream]
            self._last_by_upstream.pop(upstream, None)
