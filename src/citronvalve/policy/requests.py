"""Requests from their arrival to their one end."""

from citronvalve.model import clock
from citronvalve.model import invariant
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import attempt
from citronvalve.policy import backlog
from citronvalve.policy import decision
from citronvalve.policy import fleet
from citronvalve.policy import judge
from citronvalve.policy import limits
from citronvalve.policy import outcome
from citronvalve.policy import refusals
from citronvalve.policy import retries
from citronvalve.policy import starter
from citronvalve.policy import work

_Kind = refusal.RefusalKind

#: Places of a team's line that are looked at for work that may start now.
_LOOK = 4


class Requests:
    """Accepts requests, queues them, and gives each exactly one end.

    :param upstreams: the fleet.
    :param caps: limits by team, model and data centre.
    :param wise: knows service times, caches and crashes.
    :param starts: starts attempts.
    :param answers: builds refusals.
    :param invariants: asserts the promises.
    :ivar weight_by_team: from the table.
    """

    def __init__(
        self,
        upstreams: fleet.Fleet,
        caps: limits.Limits,
        wise: judge.HealthMonitor,
        starts: starter.Starter,
        answers: refusals.Refusals,
        invariants: invariant.Invariants,
    ) -> None:
        self.weight_by_team: dict[str, float] = {}
        self._fleet = upstreams
        self._limits = caps
        self._judge = wise
        self._starter = starts
        self._refusals = answers
        self._invariants = invariants
        self._retries = retries.AttemptBudget("retries", invariants)
        self._hedges = retries.AttemptBudget("hedges", invariants)
        self._backlog_by_model: dict[str, backlog.Backlog] = {}
        self._entry_by_request: dict[str, attempt.Entry] = {}
        self._out: list[decision.Decision] = []

    def __len__(self) -> int:
        return len(self._entry_by_request)

    def submit(self, item: work.Work, now: clock.Ms) -> decision.Verdict:
        """Start, queue or refuse a request at once.

        :param item: the request.
        :param now: monotonic ms.
        """
        if self._judge.is_fenced(item.fingerprint, now):
            return self._refusals.fenced()
        expected = self._judge.estimate.expect(item, now)
        suspect = self._judge.is_suspect(item.fingerprint, now)
        entry = attempt.Entry(item, expected, suspect)
        line = self._backlog(item.model)
        line.record_arrival(entry)
        if not line.queue and not entry.would_be_late(now):
            begun = self._start(entry, now)
            if begun is not None:
                self._accept(entry)
                return begun
        return self._queue(entry, line, now)

    def handle_end(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        """Decide what an attempt's end means for its request.

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
            self._end(entry, now)
            return
        entry.failed_upstreams.add(ended.candidate.name)
        if how is outcome.Outcome.DIVERGED:
            entry.excluded_upstreams.add(ended.candidate.name)
        if outcome.TRAITS_BY_OUTCOME[how].ran is not ran.Ran.NO:
            entry.ran = ran.Ran.UNKNOWN
        if entry.attempt_by_ticket:
            return
        if how is outcome.Outcome.CANCELLED:
            self._end(entry, now)
        elif not self._again(entry, how, now):
            self._give_up(entry, how, now)

    def cancel(self, request: str, now: clock.Ms) -> None:
        """Forget a request whose caller has left.

        :param request: its id; one that has ended is ignored.
        :param now: monotonic ms.
        """
        entry = self._entry_by_request.get(request)
        if entry is not None:
            self._end(entry, now)
            self.start_queued(entry.work.model, now)

    def start_queued(self, model: str, now: clock.Ms) -> None:
        """Start what waits, as far as there is room.

        :param model: whose queue.
        :param now: monotonic ms.
        """
        line = self._backlog(model)
        while line.queue and self._start_next(line, now):
            pass

    def tick(self, now: clock.Ms) -> None:
        """Give up what can't be in time any more, and start what can.

        :param now: monotonic ms.
        """
        for model, line in self._backlog_by_model.items():
            # Without any slot nothing tells how long the wait would be.
            nowhere = line.queue and self._fleet.slots(model) <= 0
            for item in list(line.queue.items()):
                entry = self._entry_by_request[item.request]
                if entry.would_be_late(now):
                    self._refuse(entry, self._refusals.late(entry, now), now)
                elif nowhere:
                    self._refuse(entry, self._nowhere(entry, now), now)
            self.start_queued(model, now)

    def hedge(self, late: attempt.Attempt, now: clock.Ms) -> None:
        """Run a second copy of an overdue request, within the budget.

        Made for an upstream that turned slow with requests on it.  Off
        unless the table gives it a share, since under saturation each copy
        takes a slot from another caller.

        :param late: the attempt that is overdue.
        :param now: monotonic ms.
        """
        entry = late.entry
        alone = len(entry.attempt_by_ticket) == 1
        if not (alone and entry.work.repeatable) or entry.would_be_late(now):
            return
        if self._judge.switches.hedge_share <= 0 or entry.suspect:
            return
        idle = not self._backlog(entry.work.model).queue
        if not (idle and self._hedges.spend(now)):
            return
        entry.failed_upstreams.add(late.candidate.name)
        begun = self._start(entry, now, hedge=True)
        if begun is not None:
            self._out.append(begun)

    def take_decisions(self) -> tuple[decision.Decision, ...]:
        """Return what was decided since the last call."""
        out, self._out = tuple(self._out), []
        return out

    def _backlog(self, model: str) -> backlog.Backlog:
        line = self._backlog_by_model.get(model)
        if line is None:
            line = backlog.Backlog(
                lambda team: self.weight_by_team.get(team, 1.0)
            )
            self._backlog_by_model[model] = line
        return line

    def _queue(
        self, entry: attempt.Entry, line: backlog.Backlog, now: clock.Ms
    ) -> decision.Verdict:
        item = entry.work
        slots = self._fleet.slots(item.model)
        if slots <= 0:
            return self._nowhere(entry, now)
        places = self._fleet.state_by_datacentre
        most = self._limits.total_allowed(item.team, item.model, places, now)
        seen = line.forecast(entry, slots, most, now)
        if not seen.fits:
            limited = most < slots and not entry.would_be_late(now)
            kind = _Kind.OVER_LIMIT if limited else _Kind.NO_TIME
            return self._refusals.late(entry, now, seen.wait, kind)
        self._accept(entry)
        line.push(entry, now)
        self.start_queued(item.model, now)
        return self._own_start(entry, seen.wait)

    def _nowhere(self, entry: attempt.Entry, now: clock.Ms) -> refusal.Refusal:
        why = self._fleet.no_slots_reason(entry.work.model, now)
        return self._refusals.no_upstream(entry, why)

    def _own_start(
        self, entry: attempt.Entry, wait: clock.Ms
    ) -> decision.Verdict:
        # Other work waits for another reason, such as its limit, and this
        # one may have started past it.
        for at, made in enumerate(self._out):
            if isinstance(made, decision.Start) and made.work is entry.work:
                return self._out.pop(at)
        return decision.Queued(entry.work.request, wait)

    def _accept(self, entry: attempt.Entry) -> None:
        self._entry_by_request[entry.work.request] = entry
        self._retries.earn(self._judge.switches.retry_share)
        self._hedges.earn(self._judge.switches.hedge_share)

    def _start(
        self, entry: attempt.Entry, now: clock.Ms, hedge: bool = False
    ) -> decision.Start | None:
        line = self._backlog(entry.work.model)
        if not line.may_start(entry, self._fleet.slots(entry.work.model)):
            return None
        begun = self._starter.start(entry, now, hedge)
        if begun is not None:
            line.record_start(entry, now)
        return begun

    def _start_next(self, line: backlog.Backlog, now: clock.Ms) -> bool:
        for team in line.queue.teams_by_turn():
            for item in line.queue.items_of(team)[:_LOOK]:
                entry = self._entry_by_request[item.request]
                if self._settle(entry, line, now):
                    return True
        return False

    def _settle(
        self, entry: attempt.Entry, line: backlog.Backlog, now: clock.Ms
    ) -> bool:
        if entry.would_be_late(now):
            self._refuse(entry, self._refusals.late(entry, now), now)
            return True
        if self._judge.is_fenced(entry.work.fingerprint, now):
            self._give_up(entry, outcome.Outcome.CRASHED, now)
            return True
        begun = self._start(entry, now)
        if begun is None:
            return False
        line.remove(entry, now)
        self._out.append(begun)
        return True

    def _again(
        self, entry: attempt.Entry, how: outcome.Outcome, now: clock.Ms
    ) -> bool:
        if not retries.may_retry(how, entry.work.repeatable):
            return False
        print_ = entry.work.fingerprint
        entry.suspect = self._judge.is_suspect(print_, now)
        if self._judge.is_fenced(print_, now):
            return False
        if self._fleet.slots(entry.work.model) <= 0:
            # Nobody is left to ask, and nothing tells for how long.
            return False
        if entry.would_be_late(now) or not self._retries.spend(now):
            return False
        entry.predicted_wait = None
        self._backlog(entry.work.model).push(entry, now)
        return True

    def _give_up(
        self, entry: attempt.Entry, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        fenced = self._judge.is_fenced(entry.work.fingerprint, now)
        why = self._refusals.failed(entry, how, fenced, now)
        self._refuse(entry, why, now)

    def _refuse(
        self, entry: attempt.Entry, why: refusal.Refusal, now: clock.Ms
    ) -> None:
        self._end(entry, now)
        self._out.append(decision.Refuse(entry.work.request, why))

    def _end(self, entry: attempt.Entry, now: clock.Ms) -> None:
        ended = self._entry_by_request.pop(entry.work.request, None)
        self._invariants.check(
            "accepted work ends exactly once",
            ended is entry,
            entry.work.request,
        )
        self._backlog(entry.work.model).remove(entry, now)
        for ticket, left in entry.attempt_by_ticket.items():
            self._out.append(decision.Cancel(ticket, left.candidate.name))
