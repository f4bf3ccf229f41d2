"""How many requests a second a cold upstream gets."""

from citronvalve.model import clock
from citronvalve.policy import slidingcount

#: Requests that leave within one second may arrive within a shorter one;
#: this part of the bound leaves room for that.
_USED = 0.8


class ColdRate:
    """One daemon's part of a cold upstream's rate.

    Made for an upstream that has just started: well above its rate it
    crashes, and all that it ran is lost.  Each daemon takes an equal part,
    which holds also while the daemons can't reach each other.
    """

    def __init__(self) -> None:
        self._sent_by_upstream: dict[str, slidingcount.SlidingCount] = {}

    def bears(
        self, upstream: str, rate: float, daemons: int, now: clock.Ms
    ) -> bool:
        """Tell whether a cold upstream bears one more request now.

        :param upstream: its id.
        :param rate: requests a second from all daemons together.
        :param daemons: how many share it.
        :param now: monotonic ms.
        """
        sent = self._sent_by_upstream.get(upstream)
        if sent is None:
            return True
        part = max(1.0, _USED * rate / max(1, daemons))
        return sent.count(now) + 1 <= part

    def sent(self, upstream: str, now: clock.Ms) -> None:
        """Count a request that is about to be sent.

        :param upstream: its id.
        :param now: monotonic ms.
        """
        counted = self._sent_by_upstream.get(upstream)
        if counted is None:
            counted = slidingcount.SlidingCount(clock.SECOND)
            self._sent_by_upstream[upstream] = counted
        counted.add(now)

    def forget(self, upstreams: set[str]) -> None:
        """Drop what is known of upstreams that are gone.

        :param upstreams: the ids that are still there.
        """
        for upstream in set(self._sent_by_upstream) - upstreams:
            del self._sent_by_upstream[upstream]
