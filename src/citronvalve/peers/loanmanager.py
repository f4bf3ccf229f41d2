"""Grants in one daemon: lends as a keeper, borrows from keepers."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.peers import authority as standings
from citronvalve.peers import borrower
from citronvalve.peers import lender
from citronvalve.peers import loan as loans
from citronvalve.peers import loankey
from citronvalve.peers import loanrequest as asks
from citronvalve.peers import loanresponse
from citronvalve.peers import share
from citronvalve.peers import timing as timings
from citronvalve.peers import views as viewing

#: Asks sent in one tick: 16 a second.  It is made for a data centre whose
#: upstreams are all cold at once and kept by 52 members; loans then come
#: later, and the messages stay within their budget.
_MAX_REQUESTS_PER_TICK = 2


class AddressedRequest(NamedTuple):
    """An ask and the member it goes to."""

    lender: str
    request: asks.LoanRequest


class LoanManager:
    """Decides by the views of the last while, never by the present alone.

    :param name: this daemon.
    :param timing: the fleet's spans.
    :param standing: whether this daemon may act.
    :param invariants: where promises are asserted.
    :param first: whether there is no seed to find others by.
    :param expected: daemons that the data centre should have, or 0.
    """

    def __init__(
        self,
        name: str,
        timing: timings.Timing,
        standing: standings.Authority,
        invariants: invariant.Invariants,
        first: bool,
        expected: int,
    ) -> None:
        self._name = name
        self._is_first = first
        self._expected_daemons = expected
        self._timing = timing
        self._authority = standing
        self._views = viewing.ViewHistory(timing.handover_delay)
        self.lender = lender.Lender(timing.loan_duration, invariants)
        self.borrower = borrower.Borrower(timing)

    def record_view(
        self, now: clock.Ms, alive: frozenset[str], known: frozenset[str]
    ) -> None:
        """Take the present view of the members.

        :param now: monotonic time in ms.
        :param alive: the members alive.
        :param known: the members that count.
        """
        if not self._authority.is_joining():
            whole = share.pad_members(known, self._expected_daemons)
            self._views.record(now, alive, whole)

    def reset(self) -> None:
        """Drop every loan and start to wait out those of others."""
        self._views.clear()
        self.lender.clear()
        self.borrower.clear()

    def handle_request(
        self,
        ask: asks.LoanRequest,
        member: str,
        incarnation: int,
        now: clock.Ms,
    ) -> loanresponse.LoanResponse | None:
        """Answer a borrower, or don't while this daemon may not act.

        :param ask: what it wants.
        :param member: the borrower.
        :param incarnation: its life; loans of an earlier one still count.
        :param now: monotonic time in ms.
        """
        if not self._authority.may_act():
            return None
        life = f"{member}/{incarnation}"
        granted = tuple(
            loanresponse.SlotGrant(
                want.key, self.lender.lend(want, life, self._views, now)
            )
            for want in ask.slot_requests[: lender.MAX_SLOT_REQUESTS]
            if self._may_lend(want.key, now)
        )
        return loanresponse.LoanResponse(
            ask.serial, self._timing.loan_duration, granted
        )

    def due_requests(
        self, alive: frozenset[str], now: clock.Ms
    ) -> list[AddressedRequest]:
        """Return the asks to send in this tick.

        :param alive: the members alive.
        :param now: monotonic time in ms.
        """
        keeper_by_key = {}
        for key in self.borrower.keys():
            keeper = self._views.coordinator(key.lender_key)
            if keeper in alive:
                keeper_by_key[key] = keeper
        due = self.borrower.due_requests(
            keeper_by_key, now, _MAX_REQUESTS_PER_TICK
        )
        return [AddressedRequest(keeper, ask) for keeper, ask in due]

    def apply_response(
        self, answer: loanresponse.LoanResponse, keeper: str, now: clock.Ms
    ) -> list[loans.Loan]:
        """Take a keeper's answer; return the loans that it gave.

        :param answer: what was lent.
        :param keeper: who lent it.
        :param now: monotonic time in ms.
        """
        return self.borrower.apply_response(answer, keeper, now)

    def usable_slots(
        self, key: loankey.LoanKey, known: frozenset[str], now: clock.Ms
    ) -> int:
        """Return how many slots may be used at this moment.

        Without a loan a team's work goes on within this member's fixed
        share: the limit is there for fairness, and refusing a whole team
        because one daemon is gone does more harm than running over it
        by a share.  Of a cold upstream, and of the weight store, nothing
        may be used: one request too many can fell it.

        :param key: the limit.
        :param known: the members that count.
        :param now: monotonic time in ms.
        """
        # Right after a stop the monotonic clock may not have moved, and a
        # loan that has run out for its keeper would look good here.
        if self._authority.is_paused():
            return 0
        held = self.borrower.usable_slots(key, now)
        if held or key.kind is not loankey.LoanKind.TEAM:
            return held
        if self.borrower.has_response(key, now):
            return 0
        limit = self.lender.limit(key)
        whole = share.pad_members(known, self._expected_daemons)
        return share.split_limit(key.lender_key, limit, whole).get(
            self._name, 0
        )

    def loan(self, key: loankey.LoanKey, now: clock.Ms) -> loans.Loan | None:
        """Return the loan in force, or None.

        :param key: the limit.
        :param now: monotonic time in ms.
        """
        if self._authority.is_paused():
            return None
        return self.borrower.loan(key, now)

    def _may_lend(self, key: loankey.LoanKey, now: clock.Ms) -> bool:
        # Without an answer the borrower falls back to its share; an answer
        # of none would leave a team with nothing while the keeper settles.
        if not self.lender.limit(key):
            return False
        # Where operators say that one daemon is all there is, no other
        # can have lent.
        if self._expected_daemons == 1 and len(self._views.ever_known()) == 1:
            return True
        # A daemon that started on the far side of a cut knows of nobody,
        # and would take itself for the whole data centre.
        if not (self._authority.has_met_peer or self._is_first):
            return False
        return self._views.was_coordinator(key.lender_key, self._name, now)
