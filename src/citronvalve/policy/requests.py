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

#: A suspect's second copy is told to come back after about this long.
_SUSPECT_WAIT: clock.Ms = 2_000


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
        wise: judge.Judge,
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
        self._retries = retries.Budget("retries", invariants)
        self._hedges = retries.Budget("hedges", invariants)
        self._backlog_by_model: dict[str, backlog.Backlog] = {}
        self._entry_by_request: dict[str, attempt.Entry] = {}
        self._out: list[decision.Decision] = []

    def submit(self, item: work.Work, now: clock.Ms) -> decision.Verdict:
        """Start, queue or refuse a request at once.

        :param item: the request.
        :param now: monotonic ms.
        """
        losses = self._losses(item, now)
        denied = self._fenced(item, losses)
        if denied is not None:
            return denied
        expected = self._judge.estimate.expect(item, now)
        entry = attempt.Entry(item, expected, losses > 0)
        line = self._backlog(item.model)
        if not line.queue and not entry.is_hopeless(now):
            begun = self._start(entry, now)
            if begun is not None:
                self._accept(entry)
                return begun
        return self._queue(entry, line, now)

    def conclude(
        self, ended: attempt.Attempt, how: outcome.Outcome, now: clock.Ms
    ) -> None:
        """Decide what an ended attempt means for its request.

        :param ended: the attempt.
        :param how: its outcome.
        :param now: monotonic ms.
        """
        entry = ended.entry
        request = entry.work.request
        if self._entry_by_request.get(request) is not entry:
            return
        if how is outcome.Outcome.DONE:
            self._end(entry)
            return
        entry.tried.add(ended.candidate.name)
        if outcome.MEANING_BY_OUTCOME[how].ran is not ran.Ran.NO:
            entry.ran = ran.Ran.UNKNOWN
        if entry.attempt_by_ticket:
            return
        if how is outcome.Outcome.CANCELLED:
            self._end(entry)
        elif not self._again(entry, how, now):
            self._refuse(entry, self._failure(entry, how, now))

    def drop(self, request: str, now: clock.Ms) -> None:
        """Forget a request whose caller has left.

        :param request: its id; one that has ended is ignored.
        :param now: monotonic ms.
        """
        entry = self._entry_by_request.get(request)
        if entry is not None:
            self._end(entry)
            self.pump(entry.work.model, now)

    def pump(self, model: str, now: clock.Ms) -> None:
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
            for item in list(line.queue.waiting()):
                entry = self._entry_by_request[item.request]
                if entry.is_hopeless(now):
                    self._refuse(entry, self._late(entry, now))
            self.pump(model, now)

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
        if not (alone and entry.work.repeatable) or entry.is_hopeless(now):
            return
        if self._judge.switches.hedge_share <= 0 or entry.suspect:
            return
        if self._backlog(entry.work.model).queue or not self._hedges.spend():
            return
        entry.tried.add(late.candidate.name)
        begun = self._start(entry, now, hedge=True)
        if begun is not None:
            self._out.append(begun)

    def drain(self) -> tuple[decision.Decision, ...]:
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

    def _losses(self, item: work.Work, now: clock.Ms) -> int:
        span = self._judge.switches.fence_for
        return self._judge.fence.losses(item.fingerprint, now, span)

    def _fenced(self, item: work.Work, losses: int) -> refusal.Refusal | None:
        if losses >= self._judge.switches.crashes_to_fence:
            detail = f"{losses} upstreams were lost while running it"
            return self._refusals.give(_Kind.FENCED_OFF, detail)
        if losses and not self._starter.may_run_beside(item.fingerprint):
            # Two copies at once could cost two more upstreams before the
            # first is known to have cost one.
            detail = "an upstream was lost with it; another try is running"
            give = self._refusals.give
            return give(_Kind.FENCED_OFF, detail, _SUSPECT_WAIT)
        return None

    def _queue(
        self, entry: attempt.Entry, line: backlog.Backlog, now: clock.Ms
    ) -> decision.Verdict:
        item = entry.work
        slots = self._fleet.slots(item.model)
        if slots <= 0:
            detail = f"no upstream of {item.model} is in service"
            return self._refusals.give(_Kind.NO_UPSTREAM, detail)
        places = self._fleet.shift_by_datacentre
        most = self._limits.most(item.team, item.model, places, now)
        seen = line.forecast(entry, slots, most, now)
        if not seen.fits:
            limited = most < slots and not entry.is_hopeless(now)
            kind = _Kind.OVER_LIMIT if limited else _Kind.NO_TIME
            return self._late(entry, now, seen.wait, kind)
        self._accept(entry)
        line.push(entry)
        self.pump(item.model, now)
        return self._own_start(entry, seen.wait)

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
        begun = self._starter.start(entry, now, hedge)
        if begun is not None:
            self._backlog(entry.work.model).started(entry, now)
        return begun

    def _start_next(self, line: backlog.Backlog, now: clock.Ms) -> bool:
        for team in line.queue.teams():
            item = line.queue.line(team)[0]
            entry = self._entry_by_request[item.request]
            if entry.is_hopeless(now):
                self._refuse(entry, self._late(entry, now))
                return True
            begun = self._start(entry, now)
            if begun is not None:
                line.remove(entry)
                self._out.append(begun)
                return True
        return False

    def _again(
        self, entry: attempt.Entry, how: outcome.Outcome, now: clock.Ms
    ) -> bool:
        if not retries.may_repeat(how, entry.work.repeatable):
            return False
        losses = self._losses(entry.work, now)
        entry.suspect = losses > 0
        if losses >= self._judge.switches.crashes_to_fence:
            return False
        if entry.is_hopeless(now) or not self._retries.spend():
            return False
        self._backlog(entry.work.model).push(entry)
        return True

    def _failure(
        self, entry: attempt.Entry, how: outcome.Outcome, now: clock.Ms
    ) -> refusal.Refusal:
        losses = self._losses(entry.work, now)
        fenced = losses >= self._judge.switches.crashes_to_fence
        kind = _Kind.FENCED_OFF if fenced else _Kind.UPSTREAM_FAILED
        detail = f"attempt {entry.attempts} ended: {how.value}"
        return self._refusals.give(kind, detail, has_run=entry.ran)

    def _late(
        self,
        entry: attempt.Entry,
        now: clock.Ms,
        wait: clock.Ms = 0,
        kind: _Kind = _Kind.NO_TIME,
    ) -> refusal.Refusal:
        deadline = entry.work.deadline
        late = now + wait + entry.expected.bound - deadline
        if deadline <= now:
            kind = _Kind.DEADLINE_PASSED
        detail = f"it would be done {late} ms after its deadline"
        return self._refusals.give(kind, detail, late, entry.ran)

    def _refuse(self, entry: attempt.Entry, why: refusal.Refusal) -> None:
        self._end(entry)
        self._out.append(decision.Refuse(entry.work.request, why))

    def _end(self, entry: attempt.Entry) -> None:
        ended = self._entry_by_request.pop(entry.work.request, None)
        self._invariants.hold(
            "accepted work ends exactly once",
            ended is entry,
            entry.work.request,
        )
        self._backlog(entry.work.model).remove(entry)
        for ticket, left in entry.attempt_by_ticket.items():
            self._out.append(decision.Cancel(ticket, left.candidate.name))
