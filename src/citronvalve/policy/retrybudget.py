"""How many requests may be sent to a second upstream."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import slidingcount

#: Part of the declared budget that is used.  Daemons cut their windows at
#: other moments than whoever checks them, and count a repeat when they send
#: it, not when it arrives.
_USABLE_SHARE = 0.8


class RetryLimits(NamedTuple):
    """The bound on repeats of a service, over all daemons together.

    In any ``window`` ms it may get ``share`` a request, and ``slack`` more.
    """

    share: float
    slack: int
    window: clock.Ms


class RetryBudget:
    """One daemon's part of a service's repeats.

    Made for upstreams that fail because they are overloaded: repeats without
    a bound would keep them down.  The share is taken of this daemon's own
    requests and the slack is divided by the daemons, so that the sum keeps
    the bound without a message between them, also when they are cut off
    from each other.

    :param terms: the declared bound.
    :ivar terms: the same; share and slack may be replaced.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self._requests = slidingcount.SlidingCount(limits.window)
        self._retries = slidingcount.SlidingCount(limits.window)

    def record_request(self, now: clock.Ms) -> None:
        """Count a request of a caller.

        :param now: monotonic ms.
        """
        self._requests.add(now)

    def allows(self, daemons: int, now: clock.Ms) -> bool:
        """Tell whether the window holds one more repeat.

        :param daemons: how many share the slack.
        :param now: monotonic ms.
        """
        earned = self.limits.share * self._requests.count(now)
        slack = self.limits.slack / max(1, daemons)
        return self._retries.count(now) + 1 <= _USABLE_SHARE * (earned + slack)

    def spend(self, daemons: int, now: clock.Ms) -> bool:
        """Take one repeat, or return False when the window holds no more.

        :param daemons: how many share the slack.
        :param now: monotonic ms.
        """
        if not self.allows(daemons, now):
            return False
        self._retries.add(now)
        return True
