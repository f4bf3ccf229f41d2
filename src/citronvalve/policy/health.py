"""Upstream health and request costs, learned from attempts."""

from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.policy import affinity
from citronvalve.policy import attempt
from citronvalve.policy import candidate
from citronvalve.policy import circuit
from citronvalve.policy import crashbeginnings
from citronvalve.policy import crashfence
from citronvalve.policy import estimate
from citronvalve.policy import fleet
from citronvalve.policy import outcome
from citronvalve.policy import outlier
from citronvalve.policy import work

#: An answer within this many times its expected time shows that a returning
#: data centre can handle its current load.
_ON_TIME_RATIO = 2.0

#: Reports of the same loss differ by no more than this.  A ramp that each of
#: them restarted would never end.
_SAME_LOSS_WINDOW: clock.Ms = 2_000


class HealthMonitor:
    """Learns from attempts, and takes unhealthy upstreams out of service.

    :param upstreams: the fleet.
    """

    def __init__(self, upstreams: fleet.Fleet) -> None:
        self.estimator = estimate.Estimator()
        self.affinity = affinity.Affinity()
        self.fence = crashfence.CrashFence()
        self.beginnings = crashbeginnings.CrashBeginnings()
        self.switches = declared.Switches()
        self._fleet = upstreams

    def record_end(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        """Record an attempt that ended.

        :param ended: the attempt.
        :param how: its outcome.
        :param now: monotonic ms.
        """
        if how is outcome.Outcome.DONE:
            self._record_success(ended, now)
        elif how is outcome.Outcome.CANCELLED:
            self._record_cancelled(ended, now)
        elif how is outcome.Outcome.BUSY:
            ended.candidate.record_busy()
        elif outcome.TRAITS_BY_OUTCOME[how].is_failure:
            self._record_failure(ended, how, now)

    def record_overdue(self, late: attempt.Attempt, now: clock.Ms) -> None:
        """Record an attempt that is overdue.

        Otherwise an upstream that is ten times slower would be detected
        only after ten times the service time, and get requests until then.

        :param late: the attempt.
        :param now: monotonic ms.
        """
        self._update_latency(late, now)

    def handle_report(self, upstream: str, now: clock.Ms) -> None:
        """Handle a load report that was applied to an upstream.

        :param upstream: its name.
        :param now: monotonic ms.
        """
        target = self._fleet.candidate_by_name.get(upstream)
        if target is None:
            return
        if target.restart_pending:
            target.restart_pending = False
            self._fleet.record_restart(target, now)
            self.fence.confirm_loss(upstream, now)
            self.beginnings.confirm_loss(upstream, now)
            self.affinity.drop_upstream(upstream)
        elif target.report.measured_at > target.connection_broke_at:
            self.fence.clear_suspicions(upstream)
            self.beginnings.clear_suspicions(upstream)

    def record_remote_loss(self, loss: crashfence.Loss, now: clock.Ms) -> None:
        """Record a loss that a peer reported.

        Daemons without requests on the lost upstream still have a report
        that shows it warm and free, and would together overload it right
        after its cold start.

        :param loss: the peer's report.
        :param now: monotonic ms.
        """
        self.fence.record_remote_loss(loss, now)
        self.beginnings.record_remote_loss(loss, now)
        target = self._fleet.candidate_by_name.get(loss.upstream)
        lost_at = now - loss.age
        if target is not None and target.lost_at + _SAME_LOSS_WINDOW < lost_at:
            target.record_loss(lost_at)
            self._fleet.refresh(target, now)

    def _record_success(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        item, target = ended.entry.work, ended.candidate
        elapsed = now - ended.started
        target.circuit.record_success()
        self.fence.clear(item.fingerprint)
        self.beginnings.clear(item.prefixes, now)
        if elapsed <= _ON_TIME_RATIO * ended.entry.expected.mean:
            target.datacentre.record_on_time()
        self._update_latency(ended, now)
        self.estimator.record(item, elapsed, now)
        for prefix in item.prefixes:
            self.affinity.add(prefix, target.name, now)

    def _record_cancelled(self, ended: attempt.Attempt, now: clock.Ms) -> None:
        # The request would have taken even longer.  Without this sample, a
        # size that always misses its deadline would never be recorded.
        elapsed = now - ended.started
        if elapsed > ended.entry.expected.mean:
            self.estimator.record(ended.entry.work, elapsed, now)

    def _record_failure(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        target = ended.candidate
        item = ended.entry.work
        if how is outcome.Outcome.CRASHED:
            self.fence.record_loss(item.fingerprint, target.name, now)
            self.beginnings.record_loss(item.prefixes, target.name, now)
            self._record_loss(target, now)
        elif how is outcome.Outcome.BROKEN:
            target.connection_broke_at = now
            self.fence.suspect(item.fingerprint, target.name, now)
            self.beginnings.suspect(item.prefixes, target.name)
        elif how is outcome.Outcome.NOT_RUN:
            self._confirm_loss(target, now)
        is_fatal = outcome.TRAITS_BY_OUTCOME[how].is_fatal
        if is_fatal or self._may_count_failure(target, how, now):
            target.circuit.record_failure(now, is_fatal)

    def tick(self, now: clock.Ms) -> None:
        """Record suspected upstreams with an overdue report as lost.

        :param now: monotonic ms.
        """
        for name in self.fence.overdue(now):
            target = self._fleet.candidate_by_name.get(name)
            self.fence.confirm_loss(name, now)
            self.beginnings.confirm_loss(name, now)
            if target is not None:
                self._record_loss(target, now)

    def admits(self, item: work.Work, now: clock.Ms) -> bool:
        """Return whether a new request may run, perhaps as a trial.

        :param item: the request.
        :param now: monotonic ms.
        """
        return not self._is_whole_fenced(
            item.fingerprint, now
        ) and self.beginnings.admits(item.prefixes, now)

    def is_fenced(self, entry: attempt.Entry, now: clock.Ms) -> bool:
        """Return whether a request has crashed too many upstreams.

        Its prompt's beginning counts only after an attempt: the first one may
        be a trial.

        :param entry: the request.
        :param now: monotonic ms.
        """
        item = entry.work
        return self._is_whole_fenced(item.fingerprint, now) or (
            entry.attempts > 0
            and self.beginnings.is_fenced(item.prefixes, now)
        )

    def is_suspect(self, fingerprint: str, now: clock.Ms) -> bool:
        """Return whether a request may have crashed an upstream.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        """
        span = self.switches.fence_for
        lost = self.fence.loss_count(fingerprint, now, span)
        return lost + self.fence.suspicion_count(fingerprint) > 0

    def must_wait(self, fingerprint: str, now: clock.Ms) -> bool:
        """Return whether another attempt could crash one upstream too many.

        :param fingerprint: the request's.
        :param now: monotonic ms.
        """
        suspicions = self.fence.suspicion_count(fingerprint)
        if not suspicions:
            return False
        lost = self.fence.loss_count(fingerprint, now, self.switches.fence_for)
        return lost + suspicions >= self.switches.crashes_to_fence

    def _is_whole_fenced(self, fingerprint: str, now: clock.Ms) -> bool:
        lost = self.fence.loss_count(fingerprint, now, self.switches.fence_for)
        return lost >= self.switches.crashes_to_fence

    def _confirm_loss(
        self, target: candidate.Candidate, now: clock.Ms
    ) -> None:
        self.beginnings.confirm_loss(target.name, now)
        if self.fence.confirm_loss(target.name, now):
            self._record_loss(target, now)

    def _record_loss(self, target: candidate.Candidate, now: clock.Ms) -> None:
        self.affinity.drop_upstream(target.name)
        # It returns cold, perhaps before its next report: until then it
        # gets only what its coordinator lends.
        target.record_loss(now)

    def _update_latency(
        self, observed: attempt.Attempt, now: clock.Ms
    ) -> None:
        ratio = observed.candidate.latency_ratio
        ratio.record((now - observed.started) / observed.entry.expected.mean)
        if not ratio.is_slow():
            return
        ratios = [
            item.latency_ratio
            for item in self._serving_same_model(observed.candidate)
        ]
        share = self.switches.eject_share
        if outlier.may_eject(ratio, ratios, share, now):
            ratio.eject(now)
            # The cause may also be a cold start that was not reported.
            observed.candidate.ramp.mark_cold(now)

    def _may_count_failure(
        self, target: candidate.Candidate, how: outcome.Outcome, now: clock.Ms
    ) -> bool:
        # The floor applies to upstreams that still answer.  An unreachable
        # one has no capacity, however many others are out of service.  One
        # that is only silent may go on at once, and is as good as any if no
        # other is in service; its reports tell when it is lost.
        if how is outcome.Outcome.NOT_RUN:
            return True
        if how is outcome.Outcome.NOT_OPENED:
            return any(
                item.block_reason(now) is None
                for item in self._serving_same_model(target)
                if item is not target
            )
        return self._may_open_circuit(target, now)

    def _may_open_circuit(
        self, target: candidate.Candidate, now: clock.Ms
    ) -> bool:
        peers = self._serving_same_model(target)
        closed = circuit.State.CLOSED
        unavailable = sum(
            item.circuit.state is not closed
            or now < item.latency_ratio.ejected_until
            for item in peers
            if item is not target
        )
        return unavailable + 1 <= self.switches.eject_share * len(peers)

    def _serving_same_model(
        self, target: candidate.Candidate
    ) -> list[candidate.Candidate]:
        return self._fleet.serving(target.upstream.serves[0])
