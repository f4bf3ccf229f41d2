"""Lets the policy decide on every request of the entry path."""

import eventlet.event

from citronvalve.entry import dispatch as dispatches
from citronvalve.entry import environment as environments
from citronvalve.entry import view as views
from citronvalve.entry import work as works
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import decision
from citronvalve.policy import dispatcher
from citronvalve.policy import outcome
from citronvalve.policy import work
from citronvalve.upstreams import nextattempt

_OUTCOME_BY_ENDING: dict[dispatches.Ending, outcome.Outcome] = {
    dispatches.Ending.WHOLE: outcome.Outcome.DONE,
    dispatches.Ending.NOT_RUN: outcome.Outcome.NOT_RUN,
    dispatches.Ending.REFUSED: outcome.Outcome.BUSY,
    dispatches.Ending.BROKEN: outcome.Outcome.BROKEN,
    dispatches.Ending.SILENT: outcome.Outcome.SILENT,
    dispatches.Ending.WRONG: outcome.Outcome.WRONG,
    dispatches.Ending.DIVERGED: outcome.Outcome.DIVERGED,
    dispatches.Ending.ABANDONED: outcome.Outcome.CANCELLED,
}

#: A decision that no handler asked for within this time is dropped, and
#: its slot with it: the handler ended between two of its tries.
_UNCLAIMED: clock.Ms = 1_000

_Answer = decision.Start | refusal.Refusal


class _Case:
    """One request between its handler and the policy."""

    def __init__(self, item: works.Work) -> None:
        # Kept so that its identity can't be given to another one.
        self.item = item
        self.ticket: decision.Ticket = 0
        self.answer: _Answer | None = None
        self.answered_at: clock.Ms = 0
        self.waiter: eventlet.event.Event | None = None


class Decided(dispatches.Dispatch):
    """Asks the dispatcher, and lets handlers wait for what it decides.

    :param env: the daemon's environment.
    :param view: the table in force.
    :param decides: the policy.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        decides: dispatcher.Dispatcher,
    ) -> None:
        self._env = env
        self._view = view
        self._dispatcher = decides
        self._case_by_key: dict[str, _Case] = {}

    def place(
        self,
        work: works.Work,
        next_attempt: nextattempt.NextAttempt = dispatches.FIRST_ATTEMPT,
    ) -> dispatches.Placement | refusal.Refusal:
        key = _key(work)
        case = self._case_by_key.get(key)
        if case is None:
            verdict = self._dispatcher.submit(_item(work, key), self._now())
            if isinstance(verdict, refusal.Refusal):
                return verdict
            case = self._case_by_key[key] = _Case(work)
            if isinstance(verdict, decision.Start):
                case.answer = verdict
        return self._claim(key, case)

    def release(
        self, placement: dispatches.Placement, ending: dispatches.Ending
    ) -> None:
        key = _key(placement.work)
        case = self._case_by_key[key]
        how = _OUTCOME_BY_ENDING[ending]
        if how not in outcome.UNANSWERED:
            del self._case_by_key[key]
        self.carry_out(
            self._dispatcher.finished(case.ticket, how, self._now())
        )

    def tick(self) -> None:
        """Let time pass for the policy; to be called every 50 ms or so."""
        now = self._now()
        self.carry_out(self._dispatcher.tick(now))
        for key, case in list(self._case_by_key.items()):
            waits = case.answer is not None and case.waiter is None
            if waits and now - case.answered_at > _UNCLAIMED:
                self._drop(key, case)

    def carry_out(self, decisions: tuple[decision.Decision, ...]) -> None:
        """Hand decisions to the handlers that wait for them.

        :param decisions: as the dispatcher gave them.
        """
        for made in decisions:
            if isinstance(made, decision.Refuse):
                self._hand(made.request, made.refusal)
            elif isinstance(made, decision.Start) and made.hedge:
                # A relay reads one stream; a second one has no reader.
                self._end(made.ticket)
            elif isinstance(made, decision.Start):
                self._hand(made.work.request, made)

    def _hand(self, key: str, answer: _Answer) -> None:
        case = self._case_by_key[key]
        case.answer = answer
        case.answered_at = self._now()
        if case.waiter is not None:
            case.waiter.send()

    def _claim(
        self, key: str, case: _Case
    ) -> dispatches.Placement | refusal.Refusal:
        while True:
            if case.answer is None:
                self._wait(key, case)
            answer, case.answer = case.answer, None
            if isinstance(answer, refusal.Refusal):
                del self._case_by_key[key]
                return answer
            case.ticket = answer.ticket
            row = self._view.upstream(answer.upstream)
            if row is not None:
                return dispatches.Placement(
                    case.item,
                    answer.upstream,
                    row.address,
                    self._view.fence(answer.upstream),
                    answer.priority,
                )
            # Its group closed since the decision; it was not sent.
            how, now = outcome.Outcome.BUSY, self._now()
            self.carry_out(self._dispatcher.finished(case.ticket, how, now))

    def _wait(self, key: str, case: _Case) -> None:
        case.waiter = eventlet.event.Event()
        try:
            case.waiter.wait()
        except BaseException:
            # The handler was killed: its place in the queue goes to others.
            self._drop(key, case)
            raise
        finally:
            case.waiter = None

    def _drop(self, key: str, case: _Case) -> None:
        del self._case_by_key[key]
        if isinstance(case.answer, decision.Start):
            self._end(case.answer.ticket)
        elif case.answer is None:
            made = self._dispatcher.cancel(key, self._now())
            self.carry_out(made)

    def _end(self, ticket: decision.Ticket) -> None:
        cancelled = outcome.Outcome.CANCELLED
        made = self._dispatcher.finished(ticket, cancelled, self._now())
        self.carry_out(made)

    def _now(self) -> clock.Ms:
        return self._env.clock.now()


def _key(item: works.Work) -> str:
    # Callers choose their request ids, and two may choose the same one.
    return f"{item.request}/{id(item):x}"


def _item(item: works.Work, key: str) -> work.Work:
    return work.Work(
        key,
        item.team,
        item.target,
        item.deadline,
        item.prompt_tokens,
        item.max_tokens,
        tuple(reversed(item.prefixes)),
        f"{item.target}/{item.fingerprint}" if item.fingerprint else "",
        item.repeatable,
    )
