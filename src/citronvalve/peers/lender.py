"""The keeper's side of grants: who holds how many slots of which limit."""

from collections.abc import Callable
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import loankey
from citronvalve.peers import loanrequest as asks
from citronvalve.peers import share
from citronvalve.peers import views as viewing

#: Asks of one message that are looked at.  It is made for a data centre
#: whose 400 upstreams are all cold after its return.
MAX_SLOT_REQUESTS = 512


class _Loan(NamedTuple):
    """Slots out until a moment."""

    slots: int
    expires_at: clock.Ms


class Lender:
    """Lends what no other keeper may be lending, and never past the limit.

    :param span: ms that a loan lasts.
    :param invariants: where promises are asserted.
    :ivar other_limit: returns how much there is of a limit that was not set.
    """

    def __init__(
        self, span: clock.Ms, invariants: invariant.Invariants
    ) -> None:
        self._duration = span
        self._invariants = invariants
        self.default_limit: Callable[[loankey.LoanKey], int] = lambda _: 0
        self._limit_by_key: dict[loankey.LoanKey, int] = {}
        self._loans_by_key: dict[loankey.LoanKey, dict[str, list[_Loan]]] = {}
        self._requests_by_key: dict[loankey.LoanKey, dict[str, _Loan]] = {}

    def set_limit(self, key: loankey.LoanKey, limit: int) -> None:
        """Say how much of a limit there is; 0 ends it.

        :param key: the limit.
        :param limit: slots in all.
        """
        self._limit_by_key[key] = limit
        if not limit:
            del self._limit_by_key[key]

    def limit(self, key: loankey.LoanKey) -> int:
        """Return how much of a limit there is.

        :param key: the limit.
        """
        return self._limit_by_key.get(key) or self.default_limit(key)

    def lend(
        self,
        want: asks.SlotRequest,
        borrower: str,
        views: viewing.ViewHistory,
        now: clock.Ms,
    ) -> int:
        """Lend slots to a borrower; return how many, maybe none.

        :param want: what is asked for; it replaces the borrower's last ask.
        :param borrower: one life of a member.
        :param views: how this keeper saw the members lately.
        :param now: monotonic time in ms.
        """
        key = want.key
        self._expire(key, now)
        self._requests_by_key.setdefault(key, {})[borrower] = _Loan(
            want.slots, now + self._duration
        )
        allowed = self._allowed(key, views)
        others = sum(
            _counted_slots(loans)
            for name, loans in self._loans_by_key.get(key, {}).items()
            if name != borrower
        )
        fair = self._fair_share(key, borrower, allowed)
        slots = max(0, min(want.slots, allowed - others, fair))
        if slots:
            self._record(key, borrower, slots, others, now)
        return slots

    def lent_slots(self, key: loankey.LoanKey, now: clock.Ms) -> int:
        """Return how many slots are out.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        self._expire(key, now)
        return sum(
            map(_counted_slots, self._loans_by_key.get(key, {}).values())
        )

    def clear(self) -> None:
        """Drop all loans, since this life starts as no one's keeper.

        Lending starts again only after the longest of them has run out.
        """
        self._loans_by_key.clear()
        self._requests_by_key.clear()

    def prune(self, now: clock.Ms) -> None:
        """Drop what has run out.

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
        others: int,
        now: clock.Ms,
    ) -> None:
        self._invariants.check(
            "the sum of loans stays within the limit",
            others + slots <= self.limit(key),
            f"{key} {others} + {slots} of {self.limit(key)}",
        )
        # A renewal with fewer slots may be lost on its way.  The larger loan
        # therefore counts until it has run out on its own.
        loans = self._loans_by_key.setdefault(key, {}).setdefault(borrower, [])
        loans.append(_Loan(slots, now + self._duration))

    def _allowed(
        self, key: loankey.LoanKey, views: viewing.ViewHistory
    ) -> int:
        limit = self.limit(key)
        known, seen = views.ever_known(), views.always_alive()
        if key.kind is loankey.LoanKind.TEAM:
            return share.lendable_slots(key.lender_key, limit, known, seen)
        # The limit of a cold upstream may be one slot, which can't be split.
        most = share.is_majority(key.lender_key, known, seen)
        return limit if most else 0

    def _fair_share(
        self, key: loankey.LoanKey, borrower: str, allowed: int
    ) -> int:
        # Under more demand than slots, the first to ask would renew for
        # ever and the others starve.  Each may hold what is left when
        # those that want less have got theirs.
        left = allowed
        wants = sorted(
            (loan.slots, name)
            for name, loan in self._requests_by_key[key].items()
        )
        for served, (slots, name) in enumerate(wants):
            part = -(-left // (len(wants) - served))
            if name == borrower:
                return part
            left -= min(slots, part)
        return 0

    def _expire(self, key: loankey.LoanKey, now: clock.Ms) -> None:
        by_name = self._loans_by_key.get(key, {})
        for name, loans in list(by_name.items()):
            by_name[name] = [loan for loan in loans if loan.expires_at > now]
            if not by_name[name]:
                del by_name[name]
        wants = self._requests_by_key.get(key, {})
        for name, loan in list(wants.items()):
            if loan.expires_at <= now:
                del wants[name]
        if not by_name:
            self._loans_by_key.pop(key, None)
        if not wants:
            self._requests_by_key.pop(key, None)


def _counted_slots(loans: list[_Loan]) -> int:
    return max(loan.slots for loan in loans)
