"""What ended and overdue attempts say of the upstreams and the work."""

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.policy import affinity
from citronvalve.policy import attempt
from citronvalve.policy import candidate
from citronvalve.policy import circuit
from citronvalve.policy import crashfence
from citronvalve.policy import estimate
from citronvalve.policy import fleet
from citronvalve.policy import outcome
from citronvalve.policy import outlier

#: An answer within this many times its expected time shows that a
#: returning data centre bears what it has.
_IN_TIME = 2.0


class Judge:
    """Learns from attempts, and takes bad upstreams out of service.

    :param upstreams: the fleet.
    """

    def __init__(self, upstreams: fleet.Fleet) -> None:
        self.estimate = estimate.Estimate()
        self.affinity = affinity.Affinity()
        self.fence = crashfence.CrashFence()
        self.switches = declared.Switches()
        self._fleet = upstreams

    def ended(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        """Take in an attempt that ended.

        :param ended: the attempt.
        :param how: its outcome.
        :param now: monotonic ms.
        """
        if how is outcome.Outcome.DONE:
            self._answered(ended, now)
        elif how is outcome.Outcome.BUSY:
            ended.candidate.filled()
        elif outcome.MEANING_BY_OUTCOME[how].fails:
            self._failed(ended, how, now)

    def overdue(self, late: attempt.Attempt, now: clock.Ms) -> None:
        """Take in an attempt that should have ended long ago.

        An upstream that is ten times slower would else be found only after
        ten times the service time, and get work all that while.

        :param late: the attempt.
        :param now: monotonic ms.
        """
        self._pace(late, now)

    def learn(self, loss: crashfence.Loss, now: clock.Ms) -> None:
        """Take in a loss that a peer saw.

        Made for the daemons that had nothing on the lost upstream: their
        last report shows it warm and free, and together they would fill it
        in the first moments of its cold start.

        :param loss: what the peer told.
        :param now: monotonic ms.
        """
        self.fence.learn(loss, now)
        target = self._fleet.candidate_by_name.get(loss.upstream)
        lost_at = now - loss.age
        if target is not None and target.lost_at < lost_at:
            target.lost(lost_at)
            self._fleet.changed(target, now)

    def _answered(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        item, target = ended.entry.work, ended.candidate
        took = now - ended.started
        target.circuit.succeeded()
        if took <= _IN_TIME * ended.entry.expected.mean:
            target.place.showed()
        self._pace(ended, now)
        self.estimate.learn(item, took, now)
        for prefix in item.prefixes:
            self.affinity.add(prefix, target.name, now)

    def _failed(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        target = ended.candidate
        if how is outcome.Outcome.CRASHED:
            self._crashed(ended, now)
        meaning = outcome.MEANING_BY_OUTCOME[how]
        unreachable = how is outcome.Outcome.NOT_RUN
        # The floor is for upstreams that still answer something.  One that
        # can't be reached bears nothing, however many others are gone.
        if meaning.fatal or unreachable or self._may_lose(target, now):
            target.circuit.failed(now, meaning.fatal)

    def _crashed(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        target = ended.candidate
        print_ = ended.entry.work.fingerprint
        self.fence.lose(print_, target.name, now)
        self.affinity.forget(target.name)
        # It comes back cold, and may do so before its next report: from
        # here on it gets only what its keeper lends.
        target.lost(now)

    def _pace(self, seen: attempt.Attempt, now: clock.Ms) -> None:
        pace = seen.candidate.pace
        pace.add((now - seen.started) / seen.entry.expected.mean)
        if not pace.is_slow():
            return
        paces = [item.pace for item in self._peers(seen.candidate)]
        share = self.switches.eject_share
        if outlier.may_eject(pace, paces, share, now):
            pace.eject(now)
            # A jump may also be a cold start that nobody told of.
            seen.candidate.ramp.restart(now)

    def _may_lose(self, target: candidate.Candidate, now: clock.Ms) -> bool:
        peers = self._peers(target)
        closed = circuit.State.CLOSED
        out = sum(
            item.circuit.state is not closed or now < item.pace.until
            for item in peers
            if item is not target
        )
        return out + 1 <= self.switches.eject_share * len(peers)

    def _peers(self, target: candidate.Candidate) -> list[candidate.Candidate]:
        return self._fleet.serving(target.upstream.serves[0])
