"""How many attempts may follow failed ones."""

from citronvalve.model import invariant
from citronvalve.model import ran
from citronvalve.policy import outcome

#: Retries that may come before any first try has earned one; without
#: these the first failure after a start would always reach the caller.
RESERVE = 2.0

#: Most that idle time may save up.  When every upstream fails at once, more
#: would let a long quiet spell pay for a storm of retries.
_MOST_SAVED = 20.0


class Budget:
    """Second attempts as a share of first tries.

    Made for the moment when upstreams fail because they are overloaded:
    retries without a budget multiply the load and keep them down.

    :param name: which budget, for the invariant.
    :param invariants: asserts that the budget holds.
    """

    def __init__(self, name: str, invariants: invariant.Invariants) -> None:
        self._promise = f"{name} stay within their share of first tries"
        self._invariants = invariants
        self._saved = RESERVE
        self._earned = RESERVE
        self._spent = 0

    def earn(self, share: float) -> None:
        """Count a first try.

        :param share: second attempts that it pays for.
        """
        self._earned += share
        self._saved = min(self._saved + share, _MOST_SAVED)

    def spend(self) -> bool:
        """Take one second attempt, or return False."""
        if self._saved < 1:
            return False
        self._saved -= 1
        self._spent += 1
        self._invariants.hold(
            self._promise,
            self._spent <= self._earned,
            f"{self._spent} spent, {self._earned} earned",
        )
        return True


def may_repeat(ended: outcome.Outcome, repeatable: bool) -> bool:
    """Tell whether another attempt can do no harm.

    Work that may have run and may not be repeated is never retried: a
    second run would be a second certificate or confirmation.

    :param ended: how the attempt ended.
    :param repeatable: whether the work may run more than once.
    """
    if ended not in outcome.UNANSWERED:
        return False
    never_ran = outcome.MEANING_BY_OUTCOME[ended].ran is ran.Ran.NO
    return never_ran or repeatable
