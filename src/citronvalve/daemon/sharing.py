"""What the decisions of one daemon have to agree with its peers' on."""

from citronvalve.model import clock
from citronvalve.peers import loankey
from citronvalve.peers import peer as peers
from citronvalve.policy import crashfence
from citronvalve.policy import dispatcher
from citronvalve.policy import limits

#: A loan is asked for anew at each step; what is said now holds for a few
#: of them and no longer, since it may have been lost since.
_HOLDS: clock.Ms = 200


class Sharing:
    """Brings place, loans and crashes between peers and dispatcher.

    :param peer: this daemon among its peers.
    :param decides: the policy.
    :param home: this daemon's data centre.
    """

    def __init__(
        self,
        peer: peers.Peer,
        decides: dispatcher.Dispatcher,
        home: str,
    ) -> None:
        self._peer = peer
        self._dispatcher = decides
        self._home = home
        self._place = limits.Share(0, 0)
        self._wanted: set[loankey.LoanKey] = set()
        self._lost: set[tuple[str, str]] = set()
        self._stepped_at: clock.Ms = 0
        peer.set_default_limit(self._warm_slots)

    def step(self, now: clock.Ms) -> None:
        """Bring what is new either way.

        :param now: monotonic ms.
        """
        self._stepped_at = now
        self._divide(now)
        self._borrow(now)
        self._spread_losses(now)

    def _divide(self, now: clock.Ms) -> None:
        place = limits.Share(*self._peer.member_rank())
        if place != self._place:
            self._place = place
            self._dispatcher.set_share(place, now)

    def _borrow(self, now: clock.Ms) -> None:
        wanted = set()
        for want in self._dispatcher.needed_loans(now):
            # Each data centre has a keeper of its own, so that two would
            # lend the same slots; only the upstream's own one does.
            if want.datacentre != self._home:
                continue
            key = loankey.LoanKey(
                loankey.LoanKind.COLD, want.upstream, want.start_id
            )
            wanted.add(key)
            self._peer.request_slots(key, want.slots)
            if self._peer.is_coordinator_of(key.lender_key):
                self._peer.set_limit(key, want.bound)
            slots = self._peer.usable_slots(key)
            until = now + _HOLDS
            self._dispatcher.accept_loan(want.upstream, slots, until, now)
        for key in self._wanted - wanted:
            self._peer.request_slots(key, 0)
            self._peer.set_limit(key, 0)
        self._wanted = wanted

    def _warm_slots(self, key: loankey.LoanKey) -> int:
        # Whether an upstream is cold is in part each daemon's own view: one
        # for which it is warm lends to those for which it is not.
        if key.kind is not loankey.LoanKind.COLD:
            return 0
        return self._dispatcher.warm_slots(
            key.name, key.start_id, self._stepped_at
        )

    def _spread_losses(self, now: clock.Ms) -> None:
        facts = self._peer.crashes()
        for fact in facts:
            known = (fact.fingerprint, fact.upstream)
            if known not in self._lost:
                self._lost.add(known)
                self._dispatcher.record_remote_loss(
                    crashfence.Loss(*known, fact.age), now
                )
        for loss in self._dispatcher.recent_losses(now):
            known = (loss.fingerprint, loss.upstream)
            if known not in self._lost:
                self._lost.add(known)
                start_id = self._dispatcher.fleet.start_id(loss.upstream)
                self._peer.publish_crash(*known, start_id)
        if not facts:
            self._lost.clear()
