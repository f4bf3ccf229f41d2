"""The lender's side of loans."""

from collections.abc import Callable
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import loankey
from citronvalve.peers import loanrequest as loanrequests
from citronvalve.peers import share
from citronvalve.peers import views as viewings

#: Slot requests handled of one message; enough for a data centre whose 400
#: upstreams are all cold when it returns to service.
MAX_SLOT_REQUESTS = 512


class _Loan(NamedTuple):
    """Slots that are lent or requested until a time."""

    slots: int
    expires_at: clock.Ms


class Lender:
    """Lends slots that no other lender may be lending, within the limits.

    :param duration: ms that a loan lasts.
    :param invariants: checks the invariants.
    :ivar default_limit: returns the total slots of a limit that was not set.
    """

    def __init__(
        self, duration: clock.Ms, invariants: invariant.Invariants
    ) -> None:
        self._duration = duration
        self._invariants = invariants
        self.default_limit: Callable[[loankey.LoanKey], int] = lambda _: 0
        self._limit_by_key: dict[loankey.LoanKey, int] = {}
        self._loans_by_key: dict[loankey.LoanKey, dict[str, list[_Loan]]] = {}
        self._requests_by_key: dict[loankey.LoanKey, dict[str, _Loan]] = {}

    def set_limit(self, key: loankey.LoanKey, limit: int) -> None:
        """Set the total slots of a limit; 0 removes it.

        :param key: the limit.
        :param limit: total slots.
        """
        self._limit_by_key[key] = limit
        if not limit:
            del self._limit_by_key[key]

    def limit(self, key: loankey.LoanKey) -> int:
        """Return the total slots of a limit.

        :param key: the limit.
        """
        return self._limit_by_key.get(key) or self.default_limit(key)

    def lend(
        self,
        request: loanrequests.SlotRequest,
        borrower: str,
        views: viewings.ViewHistory,
        now: clock.Ms,
    ) -> int:
        """Lend slots to a borrower; return how many, which may be 0.

        :param request: replaces the borrower's previous request.
        :param borrower: an incarnation of a member.
        :param views: this daemon's recent views of the members.
        :param now: monotonic time in ms.
        """
        key = request.key
        self._expire(key, now)
        self._requests_by_key.setdefault(key, {})[borrower] = _Loan(
            request.slots, now + self._duration
        )
        allowed = self._allowed(key, views)
        lent_to_others = sum(
            _counted_slots(loans)
            for name, loans in self._loans_by_key.get(key, {}).items()
            if name != borrower
        )
        fair_share = self._fair_share(key, borrower, allowed)
        slots = max(
            0, min(request.slots, allowed - lent_to_others, fair_share)
        )
        if slots:
            self._record(key, borrower, slots, lent_to_others, now)
        return slots

    def lent_slots(self, key: loankey.LoanKey, now: clock.Ms) -> int:
        """Return how many slots are lent.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        self._expire(key, now)
        return sum(
            map(_counted_slots, self._loans_by_key.get(key, {}).values())
        )

    def clear(self) -> None:
        """Drop all loans, since a new incarnation coordinates nothing.

        Lending resumes only after all of them have expired.
        """
        self._loans_by_key.clear()
        self._requests_by_key.clear()

    def prune(self, now: clock.Ms) -> None:
        """Drop expired loans and requests.

        :param now: monotonic time in ms.
        """
        for key in list(
            self._requests_by_key.keys() | self._loans_by_key.keys()
        ):
            self._expire(key, now)

    def _record(
        self,
        key: loankey.LoanKey,
        borrower: str,
        slots: int,
        lent_to_others: int,
        now: clock.Ms,
    ) -> None:
        self._invariants.check(
            "the sum of loans stays within the limit",
            lent_to_others + slots <= self.limit(key),
            f"{key} {lent_to_others} + {slots} of {self.limit(key)}",
        )
        # A response with fewer slots may be lost, so the larger loan counts
        # until it expires.
        loans = self._loans_by_key.setdefault(key, {}).setdefault(borrower, [])
        loans.append(_Loan(slots, now + self._duration))

    def _allowed(
        self, key: loankey.LoanKey, views: viewings.ViewHistory
    ) -> int:
        limit = self.limit(key)
        known, reachable = views.ever_known(), views.always_alive()
        if key.kind is loankey.LoanKind.TEAM:
            return share.lendable_slots(
                key.lender_key, limit, known, reachable
            )
        # The limit of a cold upstream may be one slot, which can't be split.
        has_majority = share.is_majority(key.lender_key, known, reachable)
        return limit if has_majority else 0

    def _fair_share(
        self, key: loankey.LoanKey, borrower: str, allowed: int
    ) -> int:
        # Max-min fairness.  If more slots are requested than there are, the
        # first borrower would otherwise renew for ever and the others starve.
        remaining = allowed
        requests = sorted(
            (loan.slots, name)
            for name, loan in self._requests_by_key[key].items()
        )
        for index, (slots, name) in enumerate(requests):
            fair_slots = -(-remaining // (len(requests) - index))
            if name == borrower:
                return fair_slots
            remaining -= min(slots, fair_slots)
        return 0

    def _expire(self, key: loankey.LoanKey, now: clock.Ms) -> None:
        loans_by_borrower = self._loans_by_key.get(key, {})
        for name, loans in list(loans_by_borrower.items()):
            loans_by_borrower[name] = [
                loan for loan in loans if loan.expires_at > now
            ]
            if not loans_by_borrower[name]:
                del loans_by_borrower[name]
        requests = self._requests_by_key.get(key, {})
        for name, loan in list(requests.items()):
            if loan.expires_at <= now:
                del requests[name]
        if not loans_by_borrower:
            self._loans_by_key.pop(key, None)
        if not requests:
            self._requests_by_key.pop(key, None)


def _counted_slots(loans: list[_Loan]) -> int:
    return max(loan.slots for loan in loans)
