"""The lifecycle of requests, from arrival to their end."""

import math

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import attempt
from citronvalve.policy import backlog
from citronvalve.policy import decision
from citronvalve.policy import fleet
from citronvalve.policy import health
from citronvalve.policy import limits
from citronvalve.policy import outcome
from citronvalve.policy import refusals
from citronvalve.policy import retries
from citronvalve.policy import starter
from citronvalve.policy import work

_Kind = refusal.RefusalKind

#: Entries at the head of a team's queue that are checked for a request that
#: can start now.
_MAX_SCANNED = 4


class Requests:
    """Accepts and queues requests, and ends each of them exactly once.

    :param upstreams: the fleet.
    :param caps: limits by team, model and data centre.
    :param monitor: tracks service times, caches and crashes.
    :param attempt_starter: starts attempts.
    :param refusal_builder: builds refusals.
    :param invariants: checks the invariants.
    :ivar weight_by_team: the declared weights.
    """

    def __init__(
        self,
        upstreams: fleet.Fleet,
        caps: limits.Limits,
        monitor: health.HealthMonitor,
        attempt_starter: starter.Starter,
        refusal_builder: refusals.Refusals,
        invariants: invariant.Invariants,
    ) -> None:
        self.weight_by_team: dict[str, float] = {}
        self._fleet = upstreams
        self._limits = caps
        self._monitor = monitor
        self._starter = attempt_starter
        self._refusals = refusal_builder
        self._invariants = invariants
        self._retries = retries.AttemptBudget("retries", invariants)
        self._hedges = retries.AttemptBudget("hedges", invariants)
        self._backlog_by_model: dict[str, backlog.Backlog] = {}
        self._entry_by_request: dict[str, attempt.Entry] = {}
        self._decisions: list[decision.Decision] = []

    def __len__(self) -> int:
        return len(self._entry_by_request)

    def submit(self, item: work.Work, now: clock.Ms) -> decision.Verdict:
        """Start, queue or reject a request at once.

        :param item: the request.
        :param now: monotonic ms.
        """
        if not self._monitor.admits(item, now):
            return self._refusals.fenced()
        expected = self._monitor.estimator.predict(item, now)
        suspect = self._monitor.is_suspect(item.fingerprint, now)
        entry = attempt.Entry(item, expected, suspect)
        model_backlog = self._backlog(item.model)
        model_backlog.record_arrival(entry)
        if not model_backlog.queue and not entry.would_be_late(now):
            started = self._start(entry, now)
            if started is not None:
                self._accept(entry)
                return started
        return self._enqueue_or_refuse(entry, model_backlog, now)

    def handle_end(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        """Finish, retry or reject a request whose attempt ended.

        :param ended: the attempt.
        :param how: its outcome.
        :param now: monotonic ms.
        """
        entry = ended.entry
        self._backlog(entry.work.model).record_end(entry)
        request = entry.work.request
        if self._entry_by_request.get(request) is not entry:
            return
        if how is outcome.Outcome.DONE:
            self._finish(entry, now)
            return
        entry.failed_upstreams.add(ended.candidate.name)
        if how is outcome.Outcome.DIVERGED:
            entry.excluded_upstreams.add(ended.candidate.name)
        if outcome.TRAITS_BY_OUTCOME[how].ran is not ran.Ran.NO:
            entry.ran = ran.Ran.UNKNOWN
        if entry.attempt_by_ticket:
            return
        if how is outcome.Outcome.CANCELLED:
            self._finish(entry, now)
        elif self._retry(entry, how, now):
            return
        elif how is outcome.Outcome.BUSY and self._has_only_needs(entry, now):
            self._refuse(entry, self._no_upstream(entry, now), now)
        else:
            self._give_up(entry, how, now)

    def cancel(self, request: str, now: clock.Ms) -> None:
        """End a request whose caller has left.

        :param request: its id; one that has ended is ignored.
        :param now: monotonic ms.
        """
        entry = self._entry_by_request.get(request)
        if entry is not None:
            self._finish(entry, now)
            self.start_queued(entry.work.model, now)

    def start_queued(self, model: str, now: clock.Ms) -> None:
        """Start queued requests while there are free slots.

        :param model: the model or plain service.
        :param now: monotonic ms.
        """
        model_backlog = self._backlog(model)
        while model_backlog.queue and self._start_next(model_backlog, now):
            pass

    def tick(self, now: clock.Ms) -> None:
        """Reject queued requests that would be late, and start others.

        :param now: monotonic ms.
        """
        for model, model_backlog in self._backlog_by_model.items():
            # Without slots the wait can't be predicted.
            no_slots = model_backlog.queue and self._fleet.slots(model) <= 0
            for item in list(model_backlog.queue.items()):
                entry = self._entry_by_request[item.request]
                if entry.would_be_late(now):
                    self._refuse(entry, self._refusals.late(entry, now), now)
                elif no_slots:
                    self._refuse(entry, self._no_upstream(entry, now), now)
            self.start_queued(model, now)

    def hedge(self, late: attempt.Attempt, now: clock.Ms) -> None:
        """Start a second copy of an overdue request, within the budget.

        It rescues requests on an upstream that became slow.  Hedging is off
        unless a share is declared, since under saturation each copy takes a
        slot from another caller.

        :param late: the attempt that is overdue.
        :param now: monotonic ms.
        """
        entry = late.entry
        alone = len(entry.attempt_by_ticket) == 1
        if not (alone and entry.work.repeatable) or entry.would_be_late(now):
            return
        if self._monitor.switches.hedge_share <= 0 or entry.suspect:
            return
        idle = not self._backlog(entry.work.model).queue
        if not (idle and self._hedges.spend(now)):
            return
        entry.failed_upstreams.add(late.candidate.name)
        started = self._start(entry, now, hedge=True)
        if started is not None:
            self._decisions.append(started)

    def take_decisions(self) -> tuple[decision.Decision, ...]:
        """Return the decisions made since the last call."""
        decisions, self._decisions = tuple(self._decisions), []
        return decisions

    def _backlog(self, model: str) -> backlog.Backlog:
        model_backlog = self._backlog_by_model.get(model)
        if model_backlog is None:
            model_backlog = backlog.Backlog(
                lambda team: self.weight_by_team.get(team, 1.0)
            )
            self._backlog_by_model[model] = model_backlog
        return model_backlog

    def _enqueue_or_refuse(
        self,
        entry: attempt.Entry,
        model_backlog: backlog.Backlog,
        now: clock.Ms,
    ) -> decision.Verdict:
        item = entry.work
        slots = self._fleet.slots(item.model)
        if slots <= 0:
            return self._no_upstream(entry, now)
        datacentres = self._fleet.state_by_datacentre
        team_limit = self._limits.total_allowed(
            item.team, item.model, datacentres, now
        )
        predicted = model_backlog.forecast(entry, slots, team_limit, now)
        if not predicted.fits:
            limited = team_limit < slots and not entry.would_be_late(now)
            kind = _Kind.OVER_LIMIT if limited else _Kind.NO_TIME
            return self._refusals.late(entry, now, predicted.wait, kind)
        self._accept(entry)
        model_backlog.push(entry, now)
        self.start_queued(item.model, now)
        return self._take_start(entry, predicted.wait)

    def _no_upstream(
        self, entry: attempt.Entry, now: clock.Ms
    ) -> refusal.Refusal:
        why = self._fleet.no_slots_reason(entry.work.model, now)
        wait = self._fleet.need_wait(entry.work.model, now)
        return self._refusals.no_upstream(entry, why, wait)

    def _take_start(
        self, entry: attempt.Entry, wait: clock.Ms
    ) -> decision.Verdict:
        # The queued requests may have to wait for another reason, such as
        # a limit, so that the new one starts before them.
        for index, decided in enumerate(self._decisions):
            if (
                isinstance(decided, decision.Start)
                and decided.work is entry.work
            ):
                return self._decisions.pop(index)
        return decision.Queued(entry.work.request, wait)

    def _accept(self, entry: attempt.Entry) -> None:
        self._entry_by_request[entry.work.request] = entry
        self._retries.earn(self._monitor.switches.retry_share)
        self._hedges.earn(self._monitor.switches.hedge_share)

    def _start(
        self, entry: attempt.Entry, now: clock.Ms, hedge: bool = False
    ) -> decision.Start | None:
        model_backlog = self._backlog(entry.work.model)
        if not model_backlog.may_start(
            entry, self._fleet.slots(entry.work.model)
        ):
            return None
        started = self._starter.start(entry, now, hedge)
        if started is not None:
            model_backlog.record_start(entry, now)
        return started

    def _start_next(
        self, model_backlog: backlog.Backlog, now: clock.Ms
    ) -> bool:
        for team in model_backlog.queue.teams_by_turn():
            for item in model_backlog.queue.items_of(team)[:_MAX_SCANNED]:
                entry = self._entry_by_request[item.request]
                if self._start_or_refuse(entry, model_backlog, now):
                    return True
        return False

    def _start_or_refuse(
        self,
        entry: attempt.Entry,
        model_backlog: backlog.Backlog,
        now: clock.Ms,
    ) -> bool:
        if entry.would_be_late(now):
            self._refuse(entry, self._refusals.late(entry, now), now)
            return True
        if self._monitor.is_fenced(entry, now):
            self._give_up(entry, outcome.Outcome.CRASHED, now)
            return True
        started = self._start(entry, now)
        if started is None:
            return False
        model_backlog.remove(entry, now)
        self._decisions.append(started)
        return True

    def _retry(
        self, entry: attempt.Entry, how: outcome.Outcome, now: clock.Ms
    ) -> bool:
        if not retries.may_retry(how, entry.work.repeatable):
            return False
        fingerprint = entry.work.fingerprint
        entry.suspect = self._monitor.is_suspect(fingerprint, now)
        if self._monitor.is_fenced(entry, now):
            return False
        if self._fleet.slots(entry.work.model) <= 0:
            # No upstream is left, and the wait can't be predicted.
            return False
        if entry.would_be_late(now) or not self._retries.spend(now):
            return False
        entry.predicted_wait = None
        self._backlog(entry.work.model).push(entry, now)
        return True

    def _has_only_needs(self, entry: attempt.Entry, now: clock.Ms) -> bool:
        """Return whether nothing but upstreams in need is left."""
        model = entry.work.model
        no_slots = self._fleet.slots(model) <= 0
        return no_slots and not math.isinf(self._fleet.need_wait(model, now))

    def _give_up(
        self, entry: attempt.Entry, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        fenced = self._monitor.is_fenced(entry, now)
        why = self._refusals.failed(entry, how, fenced, now)
        self._refuse(entry, why, now)

    def _refuse(
        self, entry: attempt.Entry, why: refusal.Refusal, now: clock.Ms
    ) -> None:
        self._finish(entry, now)
        self._decisions.append(decision.Refuse(entry.work.request, why))

    def _finish(self, entry: attempt.Entry, now: clock.Ms) -> None:
        ended = self._entry_by_request.pop(entry.work.request, None)
        self._invariants.check(
            "accepted work ends exactly once",
            ended is entry,
            entry.work.request,
        )
        self._backlog(entry.work.model).remove(entry, now)
        for ticket, running in entry.attempt_by_ticket.items():
            self._decisions.append(
                decision.Cancel(ticket, running.candidate.name)
            )
