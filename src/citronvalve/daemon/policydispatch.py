"""Dispatch of the entry path's requests by the policy."""

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
    dispatches.Ending.NOT_OPENED: outcome.Outcome.NOT_OPENED,
    dispatches.Ending.REFUSED: outcome.Outcome.BUSY,
    dispatches.Ending.BROKEN: outcome.Outcome.BROKEN,
    dispatches.Ending.SILENT: outcome.Outcome.SILENT,
    dispatches.Ending.WRONG: outcome.Outcome.WRONG,
    dispatches.Ending.DIVERGED: outcome.Outcome.DIVERGED,
    dispatches.Ending.ABANDONED: outcome.Outcome.CANCELLED,
}

#: A decision that no handler claims within this time is dropped and its slot
#: is freed: the handler ended between two attempts.
_CLAIM_TIMEOUT: clock.Ms = 1_000

_Verdict = decision.Start | refusal.Refusal


class _PendingRequest:
    """A request whose decision a handler awaits or may claim."""

    def __init__(self, work: works.Work) -> None:
        # The reference keeps Python from reusing the object's id, which is
        # part of the key.
        self.work = work
        self.ticket: decision.Ticket = 0
        self.verdict: _Verdict | None = None
        self.decided_at: clock.Ms = 0
        self.waiter: eventlet.event.Event | None = None


class PolicyDispatch(dispatches.Dispatch):
    """Submits requests to the policy and delivers its decisions.

    :param env: the daemon's environment.
    :param view: holds the table in force.
    :param policy: decides on requests.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        policy: dispatcher.Dispatcher,
    ) -> None:
        self._env = env
        self._view = view
        self._policy = policy
        self._pending_by_key: dict[str, _PendingRequest] = {}

    def place(
        self,
        work: works.Work,
        next_attempt: nextattempt.NextAttempt = dispatches.FIRST_ATTEMPT,
    ) -> dispatches.Placement | refusal.Refusal:
        key = _request_key(work)
        pending = self._pending_by_key.get(key)
        if pending is None:
            verdict = self._policy.submit(_policy_work(work, key), self._now())
            if isinstance(verdict, refusal.Refusal):
                return verdict
            pending = self._pending_by_key[key] = _PendingRequest(work)
            if isinstance(verdict, decision.Start):
                pending.verdict = verdict
        return self._claim(key, pending)

    def release(
        self, placement: dispatches.Placement, ending: dispatches.Ending
    ) -> None:
        key = _request_key(placement.work)
        pending = self._pending_by_key[key]
        result = _OUTCOME_BY_ENDING[ending]
        if result not in outcome.UNANSWERED:
            del self._pending_by_key[key]
        self.apply(self._policy.finished(pending.ticket, result, self._now()))

    def tick(self) -> None:
        """Advance the policy's time; call this about every 50 ms."""
        now = self._now()
        self.apply(self._policy.tick(now))
        for key, pending in list(self._pending_by_key.items()):
            is_unclaimed = (
                pending.verdict is not None and pending.waiter is None
            )
            if is_unclaimed and now - pending.decided_at > _CLAIM_TIMEOUT:
                self._drop(key, pending)

    def apply(self, decisions: tuple[decision.Decision, ...]) -> None:
        """Deliver decisions to the handlers that wait for them.

        :param decisions: the decisions of the policy.
        """
        for one in decisions:
            if isinstance(one, decision.Refuse):
                self._deliver(one.request, one.refusal)
            elif isinstance(one, decision.Start) and one.hedge:
                # A relay reads only one stream, so that a hedged attempt has
                # no reader.
                self._cancel_attempt(one.ticket)
            elif isinstance(one, decision.Start):
                self._deliver(one.work.request, one)

    def _deliver(self, key: str, verdict: _Verdict) -> None:
        pending = self._pending_by_key[key]
        pending.verdict = verdict
        pending.decided_at = self._now()
        if pending.waiter is not None:
            pending.waiter.send()

    def _claim(
        self, key: str, pending: _PendingRequest
    ) -> dispatches.Placement | refusal.Refusal:
        while True:
            if pending.verdict is None:
                self._wait(key, pending)
            verdict, pending.verdict = pending.verdict, None
            if isinstance(verdict, refusal.Refusal):
                del self._pending_by_key[key]
                return verdict
            pending.ticket = verdict.ticket
            row = self._view.upstream(verdict.upstream)
            if row is not None:
                return dispatches.Placement(
                    pending.work,
                    verdict.upstream,
                    row.address,
                    self._view.fence(verdict.upstream),
                    verdict.priority,
                )
            # The group closed after the decision, so that nothing was sent.
            result, now = outcome.Outcome.BUSY, self._now()
            self.apply(self._policy.finished(pending.ticket, result, now))

    def _wait(self, key: str, pending: _PendingRequest) -> None:
        pending.waiter = eventlet.event.Event()
        try:
            pending.waiter.wait()
        except BaseException:
            # The handler was killed; its place in the queue is freed.
            self._drop(key, pending)
            raise
        finally:
            pending.waiter = None

    def _drop(self, key: str, pending: _PendingRequest) -> None:
        del self._pending_by_key[key]
        if isinstance(pending.verdict, decision.Start):
            self._cancel_attempt(pending.verdict.ticket)
        elif pending.verdict is None:
            decisions = self._policy.cancel(key, self._now())
            self.apply(decisions)

    def _cancel_attempt(self, ticket: decision.Ticket) -> None:
        cancelled = outcome.Outcome.CANCELLED
        decisions = self._policy.finished(ticket, cancelled, self._now())
        self.apply(decisions)

    def _now(self) -> clock.Ms:
        return self._env.clock.now()


def _request_key(item: works.Work) -> str:
    # Callers choose request ids, so that these need not be unique.
    return f"{item.request}/{id(item):x}"


def _policy_work(item: works.Work, key: str) -> work.Work:
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
