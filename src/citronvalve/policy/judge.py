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

#: Two tellings of one loss differ by no more than this; a ramp restarted by
#: each of them would never end.
_SAME_LOSS: clock.Ms = 2_000


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
        elif how is outcome.Outcome.CANCELLED:
            self._stopped(ended, now)
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

    def observed(self, upstream: str, now: clock.Ms) -> None:
        """Look at an upstream whose newest report was taken in.

        :param upstream: its name.
        :param now: monotonic ms.
        """
        target = self._fleet.candidate_by_name.get(upstream)
        if target is None:
            return
        if target.started_afresh:
            target.started_afresh = False
            self.fence.confirm(upstream, now)
            self.affinity.forget(upstream)
        elif target.report.measured_at > target.doubted_at:
            self.fence.trust(upstream)

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
        if target is not None and target.lost_at + _SAME_LOSS < lost_at:
            target.lost(lost_at)
            self._fleet.changed(target, now)

    def _answered(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        item, target = ended.entry.work, ended.candidate
        took = now - ended.started
        target.circuit.succeeded()
        self.fence.clear(item.fingerprint)
        if took <= _IN_TIME * ended.entry.expected.mean:
            target.place.showed()
        self._pace(ended, now)
        self.estimate.learn(item, took, now)
        for prefix in item.prefixes:
            self.affinity.add(prefix, target.name, now)

    def _stopped(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        # It would have taken longer still.  Without this a size of work
        # that always runs into its deadline would never be learned of.
        took = now - ended.started
        if took > ended.entry.expected.mean:
            self.estimate.learn(ended.entry.work, took, now)

    def _failed(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        target = ended.candidate
        print_ = ended.entry.work.fingerprint
        if how is outcome.Outcome.CRASHED:
            self.fence.lose(print_, target.name, now)
            self._lost(target, now)
        elif how is outcome.Outcome.BROKEN:
            target.doubted_at = now
            self.fence.doubt(print_, target.name, now)
        elif how is outcome.Outcome.NOT_RUN:
            self._confirm(target, now)
        meaning = outcome.MEANING_BY_OUTCOME[how]
        unreachable = how is outcome.Outcome.NOT_RUN
        # The floor is for upstreams that still answer something.  One that
        # can't be reached bears nothing, however many others are gone.
        if meaning.fatal or unreachable or self._may_lose(target, now):
            target.circuit.failed(now, meaning.fatal)

    def tick(self, now: clock.Ms) -> None:
        """Take upstreams for dead that have been silent for too long.

        :param now: monotonic ms.
        """
        for name in self.fence.overdue(now):
            target = self._fleet.candidate_by_name.get(name)
            self.fence.confirm(name, now)
            if target is not None:
                self._lost(target, now)

    def is_fenced(self, fingerprint: str, now: clock.Ms) -> bool:
        """Tell whether a request has cost too many upstreams.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        """
        lost = self.fence.losses(fingerprint, now, self.switches.fence_for)
        return lost >= self.switches.crashes_to_fence

    def is_suspect(self, fingerprint: str, now: clock.Ms) -> bool:
        """Tell whether a request may have cost an upstream.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        """
        span = self.switches.fence_for
        lost = self.fence.losses(fingerprint, now, span)
        return lost + self.fence.doubts(fingerprint) > 0

    def must_wait(self, fingerprint: str, now: clock.Ms) -> bool:
        """Tell whether one more try could cost one upstream too many.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        """
        doubts = self.fence.doubts(fingerprint)
        if not doubts:
            return False
        lost = self.fence.losses(fingerprint, now, self.switches.fence_for)
        return lost + doubts >= self.switches.crashes_to_fence

    def _confirm(self, target: candidate.Candidate, now: clock.Ms) -> None:
        if self.fence.confirm(target.name, now):
            self._lost(target, now)

    def _lost(self, target: candidate.Candidate, now: clock.Ms) -> None:
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
