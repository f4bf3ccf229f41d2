"""The borrower's side of loans."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.peers import loan as loans
from citronvalve.peers import loankey
from citronvalve.peers import loanrequest as loanrequests
from citronvalve.peers import loanresponse
from citronvalve.peers import timing as timings


class _Pending(NamedTuple):
    """The last request to a lender; only its own response counts."""

    serial: int
    sent_at: clock.Ms


class Borrower:
    """Requests slots from their lenders in batches and keeps the loans.

    :param timing: the fleet's timing.
    """

    def __init__(self, timing: timings.Timing) -> None:
        self._timing = timing
        self._serial = 0
        self._slots_by_key: dict[loankey.LoanKey, int] = {}
        self._loan_by_key: dict[loankey.LoanKey, loans.Loan] = {}
        self._pending_by_lender: dict[str, _Pending] = {}
        self._unrequested: set[loankey.LoanKey] = set()

    def request_slots(self, key: loankey.LoanKey, slots: int) -> None:
        """Set how many slots to borrow; 0 borrows none.

        :param key: the limit.
        :param slots: the most that current requests can use.
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
        lender_by_key: dict[loankey.LoanKey, str],
        now: clock.Ms,
        max_requests: int,
    ) -> list[tuple[str, loanrequests.LoanRequest]]:
        """Return the requests to send, one for each lender.

        :param lender_by_key: the lender of each requested limit.
        :param now: monotonic time in ms.
        :param max_requests: maximum number; the others follow later.
        """
        keys_by_lender: dict[str, list[loankey.LoanKey]] = {}
        for key, lender in lender_by_key.items():
            keys_by_lender.setdefault(lender, []).append(key)
        due = [
            lender
            for lender, keys in keys_by_lender.items()
            if self._is_due(
                lender, not self._unrequested.isdisjoint(keys), now
            )
        ]
        due.sort(key=self._requested_at)
        return [
            (lender, self._request(lender, keys_by_lender[lender], now))
            for lender in due[:max_requests]
        ]

    def keys(self) -> list[loankey.LoanKey]:
        """Return the limits of which slots are requested."""
        return list(self._slots_by_key)

    def apply_response(
        self, response: loanresponse.LoanResponse, lender: str, now: clock.Ms
    ) -> list[loans.Loan]:
        """Apply a response; return the loans that it granted.

        :param response: from a lender.
        :param lender: the lender.
        :param now: monotonic time in ms.
        """
        pending = self._pending_by_lender.get(lender)
        # A late response to an earlier request, or a duplicate, doesn't match
        # what the lender counts.
        if pending is None or pending.serial != response.serial:
            return []
        self._pending_by_lender[lender] = pending._replace(serial=0)
        duration = (
            min(response.duration, self._timing.loan_duration)
            - self._timing.loan_margin
        )
        expires_at = pending.sent_at + duration
        granted = [
            loans.Loan(grant.key, grant.slots, expires_at)
            for grant in response.grants
            if grant.key in self._slots_by_key and expires_at > now
        ]
        for loan in granted:
            self._loan_by_key[loan.key] = loan
        return granted

    def usable_slots(self, key: loankey.LoanKey, now: clock.Ms) -> int:
        """Return how many slots are lent to this daemon at this moment.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        loan = self.loan(key, now)
        return loan.slots if loan is not None else 0

    def loan(self, key: loankey.LoanKey, now: clock.Ms) -> loans.Loan | None:
        """Return the current loan, which may be of 0 slots, or None.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        loan = self._loan_by_key.get(key)
        return loan if loan is not None and loan.expires_at > now else None

    def has_response(self, key: loankey.LoanKey, now: clock.Ms) -> bool:
        """Return whether a lender's response is in force, even of 0 slots.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        return self.loan(key, now) is not None

    def clear(self) -> None:
        """Drop all loans, which a dead incarnation may not use."""
        self._loan_by_key.clear()
        self._pending_by_lender.clear()

    def prune(self, now: clock.Ms) -> None:
        """Drop expired loans.

        :param now: monotonic time in ms.
        """
        for key, loan in list(self._loan_by_key.items()):
            if loan.expires_at <= now:
                del self._loan_by_key[key]

    def _request(
        self, lender: str, keys: list[loankey.LoanKey], now: clock.Ms
    ) -> loanrequests.LoanRequest:
        self._serial += 1
        self._pending_by_lender[lender] = _Pending(self._serial, now)
        self._unrequested.difference_update(keys)
        return loanrequests.LoanRequest(
            self._serial,
            tuple(
                loanrequests.SlotRequest(key, self._slots_by_key[key])
                for key in keys
            ),
        )

    def _requested_at(self, lender: str) -> clock.Ms:
        pending = self._pending_by_lender.get(lender)
        return pending.sent_at if pending is not None else -1

    def _is_due(self, lender: str, has_new_key: bool, now: clock.Ms) -> bool:
        pending = self._pending_by_lender.get(lender)
        if pending is None:
            return True
        interval = (
            self._timing.send_interval
            if has_new_key
            else self._timing.renew_interval
        )
        return now - pending.sent_at >= interval
