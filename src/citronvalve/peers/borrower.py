"""The borrower's side of grants: what was asked for and what is held."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loan as loans
from citronvalve.peers import loankey
from citronvalve.peers import loanrequest as asks
from citronvalve.peers import loanresponse
from citronvalve.peers import timing as timings


class _Pending(NamedTuple):
    """An ask on its way; only its own answer counts."""

    serial: int
    sent_at: clock.Ms


class Borrower:
    """Wants slots, asks their keepers in batches and holds what it got.

    :param timing: the fleet's spans.
    """

    def __init__(self, timing: timings.Timing) -> None:
        self._timing = timing
        self._serial = 0
        self._slots_by_key: dict[loankey.LoanKey, int] = {}
        self._loan_by_key: dict[loankey.LoanKey, loans.Loan] = {}
        self._pending_by_lender: dict[str, _Pending] = {}
        self._unrequested: set[loankey.LoanKey] = set()

    def request_slots(self, key: loankey.LoanKey, slots: int) -> None:
        """Say how many slots are needed from now on; 0 needs none.

        :param key: the limit.
        :param slots: at most what the work at hand can use.
        """
        if slots:
            if key not in self._slots_by_key:
                self._unrequested.add(key)
            self._slots_by_key[key] = slots
            return
        self._slots_by_key.pop(key, None)
        self._unrequested.discard(key)

    def due_requests(
        self,
        keepers: dict[loankey.LoanKey, str],
        now: clock.Ms,
        most: int,
    ) -> list[tuple[str, asks.LoanRequest]]:
        """Return the asks to send now, one a keeper.

        :param keepers: the keeper of each wanted limit.
        :param now: monotonic time in ms.
        :param most: asks at once; the others have their turn later.
        """
        keys_by_keeper: dict[str, list[loankey.LoanKey]] = {}
        for key, keeper in keepers.items():
            keys_by_keeper.setdefault(keeper, []).append(key)
        due = [
            keeper
            for keeper, keys in keys_by_keeper.items()
            if self._is_due(
                keeper, not self._unrequested.isdisjoint(keys), now
            )
        ]
        due.sort(key=self._requested_at)
        return [
            (keeper, self._request(keeper, keys_by_keeper[keeper], now))
            for keeper in due[:most]
        ]

    def keys(self) -> list[loankey.LoanKey]:
        """Return the limits that slots are wanted of."""
        return list(self._slots_by_key)

    def apply_response(
        self, answer: loanresponse.LoanResponse, keeper: str, now: clock.Ms
    ) -> list[loans.Loan]:
        """Take an answer in; return the loans that it gave.

        :param answer: from a keeper.
        :param keeper: the keeper.
        :param now: monotonic time in ms.
        """
        pending = self._pending_by_lender.get(keeper)
        # A late answer to an earlier ask, or a repeated one, says nothing
        # about what the keeper counts now.
        if pending is None or pending.serial != answer.serial:
            return []
        self._pending_by_lender[keeper] = pending._replace(serial=0)
        span = (
            min(answer.duration, self._timing.loan_duration)
            - self._timing.loan_margin
        )
        until = pending.sent_at + span
        taken = [
            loans.Loan(granted.key, granted.slots, until)
            for granted in answer.grants
            if granted.key in self._slots_by_key and until > now
        ]
        for loan in taken:
            self._loan_by_key[loan.key] = loan
        return taken

    def usable_slots(self, key: loankey.LoanKey, now: clock.Ms) -> int:
        """Return how many slots are lent at this moment.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        loan = self.loan(key, now)
        return loan.slots if loan is not None else 0

    def loan(self, key: loankey.LoanKey, now: clock.Ms) -> loans.Loan | None:
        """Return the loan in force, even one of no slots, or None.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        loan = self._loan_by_key.get(key)
        return loan if loan is not None and loan.expires_at > now else None

    def has_response(self, key: loankey.LoanKey, now: clock.Ms) -> bool:
        """Tell whether a keeper lately said how much it lends, even none.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        return self.loan(key, now) is not None

    def clear(self) -> None:
        """Drop all loans: a life that is over holds none."""
        self._loan_by_key.clear()
        self._pending_by_lender.clear()

    def prune(self, now: clock.Ms) -> None:
        """Drop what has run out.

        :param now: monotonic time in ms.
        """
        for key, loan in list(self._loan_by_key.items()):
            if loan.expires_at <= now:
                del self._loan_by_key[key]

    def _request(
        self, keeper: str, keys: list[loankey.LoanKey], now: clock.Ms
    ) -> asks.LoanRequest:
        self._serial += 1
        self._pending_by_lender[keeper] = _Pending(self._serial, now)
        self._unrequested.difference_update(keys)
        return asks.LoanRequest(
            self._serial,
            tuple(
                asks.SlotRequest(key, self._slots_by_key[key]) for key in keys
            ),
        )

    def _requested_at(self, keeper: str) -> clock.Ms:
        pending = self._pending_by_lender.get(keeper)
        return pending.sent_at if pending is not None else -1

    def _is_due(self, keeper: str, new: bool, now: clock.Ms) -> bool:
        pending = self._pending_by_lender.get(keeper)
        if pending is None:
            return True
        wait = (
            self._timing.send_interval if new else self._timing.renew_interval
        )
        return now - pending.sent_at >= wait
