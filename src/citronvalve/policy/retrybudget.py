"""The retry budget of a service within a sliding window."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.policy import slidingcount

#: Part of the declared budget that is used.  Whoever checks the bound uses
#: other window boundaries, and counts a retry when it arrives rather than
#: when it is sent.
_USABLE_SHARE = 0.8


class RetryLimits(NamedTuple):
    """The bound on the retries of a service, over all daemons together.

    In any ``window`` ms there may be ``share`` retries per request, and
    ``slack`` more.
    """

    share: float
    slack: int
    window: clock.Ms


class RetryBudget:
    """One daemon's part of a service's retry budget.

    Retries without a bound would keep overloaded upstreams down.  Each
    daemon applies the share to its own requests and divides the slack by
    the number of daemons, so that the sum keeps the bound without messages
    between them, also during a network partition.

    :param limits: the declared bound.
    :ivar limits: the same; share and slack may be replaced.
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
        """Return whether one more retry is within the budget.

        :param daemons: number of daemons that share the slack.
        :param now: monotonic ms.
        """
        earned = self.limits.share * self._requests.count(now)
        slack = self.limits.slack / max(1, daemons)
        return self._retries.count(now) + 1 <= _USABLE_SHARE * (earned + slack)

    def spend(self, daemons: int, now: clock.Ms) -> bool:
        """Take one retry, or return False if the budget is used up.

        :param daemons: number of daemons that share the slack.
        :param now: monotonic ms.
        """
        if not self.allows(daemons, now):
            return False
        self._retries.add(now)
        return True
