"""Lends to other members as a coordinator, and borrows from them."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import authority as authorities
from citronvalve.peers import borrower
from citronvalve.peers import lender
from citronvalve.peers import loan as loans
from citronvalve.peers import loankey
from citronvalve.peers import loanrequest as loanrequests
from citronvalve.peers import loanresponse
from citronvalve.peers import share
from citronvalve.peers import timing as timings
from citronvalve.peers import views as viewings

#: Loan requests sent in one tick, 16 a second.  When all upstreams of a data
#: centre of 52 members are cold at once, loans are delayed and the number of
#: messages stays within its limit.
_MAX_REQUESTS_PER_TICK = 2


class AddressedRequest(NamedTuple):
    """A loan request and the member it is sent to."""

    lender: str
    request: loanrequests.LoanRequest


class LoanManager:
    """Lends and borrows slots by the views of the last handover delay.

    :param name: this daemon.
    :param timing: the fleet's timing.
    :param authority: whether this daemon may act.
    :param invariants: checks the invariants.
    :param is_first: whether there is no seed to find other daemons by.
    :param expected_daemons: daemons that the data centre should have, or 0.
    :ivar lender: the loans to other members.
    :ivar borrower: the loans from other members.
    """

    def __init__(
        self,
        name: str,
        timing: timings.Timing,
        authority: authorities.Authority,
        invariants: invariant.Invariants,
        is_first: bool,
        expected_daemons: int,
    ) -> None:
        self._name = name
        self._is_first = is_first
        self._expected_daemons = expected_daemons
        self._timing = timing
        self._authority = authority
        self._views = viewings.ViewHistory(timing.handover_delay)
        self.lender = lender.Lender(timing.loan_duration, invariants)
        self.borrower = borrower.Borrower(timing)

    def record_view(
        self, now: clock.Ms, alive: frozenset[str], known: frozenset[str]
    ) -> None:
        """Record the current view of the members.

        :param now: monotonic time in ms.
        :param alive: the members alive.
        :param known: the members that count.
        """
        if not self._authority.is_joining():
            padded = share.pad_members(known, self._expected_daemons)
            self._views.record(now, alive, padded)

    def reset(self) -> None:
        """Drop all loans and views; lending resumes after the delay."""
        self._views.clear()
        self.lender.clear()
        self.borrower.clear()

    def handle_request(
        self,
        request: loanrequests.LoanRequest,
        member: str,
        incarnation: int,
        now: clock.Ms,
    ) -> loanresponse.LoanResponse | None:
        """Return the response to a borrower, or None if not allowed to act.

        :param request: the slots requested.
        :param member: the borrower.
        :param incarnation: its incarnation; loans to earlier ones count too.
        :param now: monotonic time in ms.
        """
        if not self._authority.may_act():
            return None
        borrower_id = f"{member}/{incarnation}"
        granted = tuple(
            loanresponse.SlotGrant(
                slot_request.key,
                self.lender.lend(slot_request, borrower_id, self._views, now),
            )
            for slot_request in request.slot_requests[
                : lender.MAX_SLOT_REQUESTS
            ]
            if self._may_lend(slot_request.key, now)
        )
        return loanresponse.LoanResponse(
            request.serial, self._timing.loan_duration, granted
        )

    def due_requests(
        self, alive: frozenset[str], now: clock.Ms
    ) -> list[AddressedRequest]:
        """Return the loan requests to send in this tick.

        :param alive: the members alive.
        :param now: monotonic time in ms.
        """
        lender_by_key = {}
        for key in self.borrower.keys():
            lender = self._views.coordinator(key.lender_key)
            if lender in alive:
                lender_by_key[key] = lender
        due = self.borrower.due_requests(
            lender_by_key, now, _MAX_REQUESTS_PER_TICK
        )
        return [AddressedRequest(lender, request) for lender, request in due]

    def apply_response(
        self, response: loanresponse.LoanResponse, lender: str, now: clock.Ms
    ) -> list[loans.Loan]:
        """Apply a lender's response; return the loans that it granted.

        :param response: the slots lent.
        :param lender: the lender.
        :param now: monotonic time in ms.
        """
        return self.borrower.apply_response(response, lender, now)

    def usable_slots(
        self, key: loankey.LoanKey, known: frozenset[str], now: clock.Ms
    ) -> int:
        """Return how many slots may be used at this moment.

        Without a loan, a team's requests use this member's fixed share: the
        limit is for fairness, and rejecting a team because one daemon is
        lost does more harm than exceeding the limit by a share.  Slots of a
        cold upstream or of the weight store need a loan, since one request
        too many can crash it.

        :param key: the limit.
        :param known: the members that count.
        :param now: monotonic time in ms.
        """
        # The monotonic clock may stand still during a pause, so a loan that
        # has expired for its lender would look valid here.
        if self._authority.is_paused():
            return 0
        usable = self.borrower.usable_slots(key, now)
        if usable or key.kind is not loankey.LoanKind.TEAM:
            return usable
        if self.borrower.has_response(key, now):
            return 0
        limit = self.lender.limit(key)
        padded = share.pad_members(known, self._expected_daemons)
        return share.split_limit(key.lender_key, limit, padded).get(
            self._name, 0
        )

    def loan(self, key: loankey.LoanKey, now: clock.Ms) -> loans.Loan | None:
        """Return the current loan, or None.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        if self._authority.is_paused():
            return None
        return self.borrower.loan(key, now)

    def _may_lend(self, key: loankey.LoanKey, now: clock.Ms) -> bool:
        # Without a response the borrower uses its share.  A response of 0
        # slots would leave a team with none during the handover delay.
        if not self.lender.limit(key):
            return False
        # If operators configured a single daemon, no other one can have
        # lent slots.
        if self._expected_daemons == 1 and len(self._views.ever_known()) == 1:
            return True
        # A daemon that started while partitioned knows no members and would
        # consider itself the whole data centre.
        if not (self._authority.has_met_peer or self._is_first):
            return False
        return self._views.was_coordinator(key.lender_key, self._name, now)
