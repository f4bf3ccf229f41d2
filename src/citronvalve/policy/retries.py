"""How many attempts may follow failed ones."""

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import ran
from citronvalve.policy import outcome

#: Second attempts that need not be earned, refilled with time.  A quiet
#: daemon has too few first tries to earn one before it is needed, and so
#: few more attempts can overload nobody.
RESERVE = 10.0

#: Refill of the reserve, in attempts a second.
_REFILL_PER_SECOND = 2.0

#: Most that idle time may save up.  When every upstream fails at once, more
#: would let a long quiet spell pay for a storm of retries.
_MAX_BALANCE = 20.0


class AttemptBudget:
    """Second attempts as a share of first tries.

    Made for the moment when upstreams fail because they are overloaded:
    retries without a budget multiply the load and keep them down.

    :param name: which budget, for the invariant.
    :param invariants: asserts that the budget holds.
    """

    def __init__(self, name: str, invariants: invariant.Invariants) -> None:
        self._invariant = f"{name} stay within their share of first tries"
        self._invariants = invariants
        self._balance = RESERVE
        self._earned = RESERVE
        self._spent = 0
        self._refilled_at: clock.Ms | None = None

    def earn(self, share: float) -> None:
        """Count a first try.

        :param share: second attempts that it pays for.
        """
        self._earned += share
        self._balance = min(self._balance + share, _MAX_BALANCE)

    def spend(self, now: clock.Ms) -> bool:
        """Take one second attempt, or return False.

        :param now: monotonic ms.
        """
        self._refill(now)
        if self._balance < 1:
            return False
        self._balance -= 1
        self._spent += 1
        self._invariants.check(
            self._invariant,
            self._spent <= self._earned,
            f"{self._spent} spent, {self._earned} earned",
        )
        return True

    def _refill(self, now: clock.Ms) -> None:
        passed = 0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        due = min(
            _REFILL_PER_SECOND * passed / clock.SECOND, RESERVE - self._balance
        )
        if due > 0:
            self._balance += due
            self._earned += due


def may_retry(ended: outcome.Outcome, repeatable: bool) -> bool:
    """Tell whether another attempt can do no harm.

    Work that may have run and may not be repeated is never retried: a
    second run would be a second certificate or confirmation.

    :param ended: how the attempt ended.
    :param repeatable: whether the work may run more than once.
    """
    if ended not in outcome.UNANSWERED:
        return False
    never_ran = outcome.TRAITS_BY_OUTCOME[ended].ran is ran.Ran.NO
    return never_ran or repeatable
