"""Budgets for retries and hedges."""

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import ran
from citronvalve.policy import outcome

#: Attempts in the budget that need not be earned, refilled with time.  A
#: daemon with few requests could not earn a retry before it needs one, and
#: so few extra attempts overload no upstream.
RESERVE = 10.0

#: Refill of the reserve, in attempts per second.
_REFILL_PER_SECOND = 2.0

#: Largest balance.  With more, a long quiet period would pay for a retry
#: storm when every upstream fails at once.
_MAX_BALANCE = 20.0


class AttemptBudget:
    """Limits additional attempts to a share of the first attempts.

    When upstreams fail because they are overloaded, retries without a
    budget multiply the load and keep them down.

    :param name: kind of attempts, part of the invariant's name.
    :param invariants: checks that the budget is kept.
    """

    def __init__(self, name: str, invariants: invariant.Invariants) -> None:
        self._invariant = f"{name} stay within their share of first tries"
        self._invariants = invariants
        self._balance = RESERVE
        self._earned = RESERVE
        self._spent = 0
        self._refilled_at: clock.Ms | None = None

    def earn(self, share: float) -> None:
        """Add to the budget for a first attempt.

        :param share: additional attempts that it pays for.
        """
        self._earned += share
        self._balance = min(self._balance + share, _MAX_BALANCE)

    def spend(self, now: clock.Ms) -> bool:
        """Take one attempt from the budget, or return False if it is empty.

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
    """Return whether a request may be retried after an attempt.

    A request that may have run and is not repeatable is never retried,
    since it could run twice and, for example, issue two certificates.

    :param ended: how the attempt ended.
    :param repeatable: whether the request may run more than once.
    """
    if ended not in outcome.UNANSWERED:
        return False
    never_ran = outcome.TRAITS_BY_OUTCOME[ended].ran is ran.Ran.NO
    return never_ran or repeatable
