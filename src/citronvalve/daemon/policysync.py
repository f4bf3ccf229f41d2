"""Synchronizes the state of the policy with the peers."""

from citronvalve.model import clock
from citronvalve.peers import loankey
from citronvalve.peers import peer as peers
from citronvalve.policy import crashfence
from citronvalve.policy import dispatcher
from citronvalve.policy import limits

#: Loans are requested again at each step.  A granted one is valid for a few
#: steps only, since it may be lost in the meantime.
_LOAN_VALIDITY: clock.Ms = 200


class PolicySync:
    """Exchanges the limit share, loans and crashes with the peers.

    :param peer: this daemon as a member of the fleet.
    :param policy: decides on requests.
    :param datacentre: this daemon's data centre.
    """

    def __init__(
        self,
        peer: peers.Peer,
        policy: dispatcher.Dispatcher,
        datacentre: str,
    ) -> None:
        self._peer = peer
        self._policy = policy
        self._datacentre = datacentre
        self._share = limits.Share(0, 0)
        self._requested: set[loankey.LoanKey] = set()
        self._known_losses: set[tuple[str, str]] = set()
        self._stepped_at: clock.Ms = 0
        peer.set_default_limit(self._warm_slots)

    def step(self, now: clock.Ms) -> None:
        """Exchange changes in both directions.

        :param now: monotonic ms.
        """
        self._stepped_at = now
        self._update_share(now)
        self._update_loans(now)
        self._exchange_losses(now)

    def _update_share(self, now: clock.Ms) -> None:
        share = limits.Share(*self._peer.member_rank())
        if share != self._share:
            self._share = share
            self._policy.set_share(share, now)

    def _update_loans(self, now: clock.Ms) -> None:
        requested = set()
        for request in self._policy.needed_loans(now):
            # Each data centre has its own coordinator.  Only the one of the
            # upstream's data centre lends, or slots would be lent twice.
            if request.datacentre != self._datacentre:
                continue
            key = loankey.LoanKey(
                loankey.LoanKind.COLD, request.upstream, request.start_id
            )
            requested.add(key)
            self._peer.request_slots(key, request.slots)
            if self._peer.is_coordinator_of(key.lender_key):
                self._peer.set_limit(key, request.bound)
            slots = self._peer.usable_slots(key)
            valid_until = now + _LOAN_VALIDITY
            self._policy.accept_loan(request.upstream, slots, valid_until, now)
        for key in self._requested - requested:
            self._peer.request_slots(key, 0)
            self._peer.set_limit(key, 0)
        self._requested = requested

    def _warm_slots(self, key: loankey.LoanKey) -> int:
        # Daemons may differ on whether an upstream is cold: one for which
        # it is warm lends slots to those for which it is not.
        if key.kind is not loankey.LoanKind.COLD:
            return 0
        return self._policy.warm_slots(
            key.name, key.start_id, self._stepped_at
        )

    def _exchange_losses(self, now: clock.Ms) -> None:
        facts = self._peer.crashes()
        for fact in facts:
            loss_key = (fact.fingerprint, fact.upstream)
            if loss_key not in self._known_losses:
                self._known_losses.add(loss_key)
                self._policy.record_remote_loss(
                    crashfence.Loss(*loss_key, fact.age), now
                )
        for loss in self._policy.recent_losses(now):
            loss_key = (loss.fingerprint, loss.upstream)
            if loss_key not in self._known_losses:
                self._known_losses.add(loss_key)
                start_id = self._policy.fleet.start_id(loss.upstream)
                self._peer.publish_crash(*loss_key, start_id)
        if not facts:
            self._known_losses.clear()
