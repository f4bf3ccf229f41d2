"""Dispatch of one request to upstreams, with retries."""

from citronvalve.forward import attempt as attempts
from citronvalve.forward import attemptresult
from citronvalve.forward import dependencies
from citronvalve.forward import headers
from citronvalve.forward import parked
from citronvalve.forward import reply as replies
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import upstreamchoice

#: Attempts that may be rejected without running, which don't count as runs;
#: more show that the service as a whole has no free slot.
_MAX_REJECTIONS = 3

#: With less time than this left, another attempt is not worth starting.
_MIN_ATTEMPT_TIME: clock.Ms = 60

_Ending = attemptresult.Ending

#: Nothing was sent, so that no retry is spent.
_UNSENT = frozenset({_Ending.UNLINKED, _Ending.RESTING})

_Kind = refusal.RefusalKind

#: Statuses which imply that the request did not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Dispatch:
    """Sends a request to upstreams until it is answered, refused or aborted.

    :param deps: the daemon's components.
    :param routed: the request.
    :param reply: receives the response.
    :ivar outcome: how the request ended, for log and metrics.
    :ivar reason: the cause, from a closed set.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        routed: routedrequest.RoutedRequest,
        reply: replies.Reply,
    ) -> None:
        self._deps = deps
        self._routed = routed
        self._reply = reply
        self._tried: list[str] = []
        self._ending_by_upstream: dict[str, attemptresult.Ending] = {}
        self._parked = parked.ParkedAttempts(self._record_ending)
        self._attempt: attempts.Attempt | None = None
        self._runs = 0
        self._uncounted_runs = 0
        self._resumed: attempts.Attempt | None = None
        self._rejections = 0
        self._ran = ran.Ran.NO
        self._failure: attemptresult.AttemptResult | None = None
        self._progress = streamprogress.StreamProgress()
        self.outcome = "failed"
        self.reason = ""

    @property
    def tried(self) -> tuple[str, ...]:
        """Return the upstreams that the request was sent to."""
        return tuple(self._tried)

    @property
    def endings(self) -> tuple[str, ...]:
        """Return how each attempt ended, in the order of :attr:`tried`."""
        return tuple(
            ending.name for ending in self._ending_by_upstream.values()
        )

    def run(self) -> None:
        """Run attempts until the caller has a response."""
        refused = self._deps.crash_detector.admit(self._routed)
        if refused is not None:
            self._refuse(refused)
            return
        try:
            self._run_attempts()
        finally:
            if self._tried:
                self._deps.placement.record_end(self._routed)
            self._parked.close()

    def _run_attempts(self) -> None:
        result = None
        while (attempt := self._next(result)) is not None:
            result = self._run_attempt(attempt)
            if result.ending is _Ending.DELIVERED:
                self.outcome, self.reason = (
                    "whole",
                    str(result.response.status),
                )
                self._deps.crash_detector.record_answer(self._routed)
                return

    def _next(
        self, last: attemptresult.AttemptResult | None
    ) -> attempts.Attempt | None:
        """Return the attempt to run or to read on; None after the last one.

        :param last: the result of the one before.
        """
        attempt = self._parked.take_answering()
        if attempt is not None:
            return attempt
        refused = None
        if last is None or self._may_retry(last):
            self._deps.list_check.wait(self._routed.deadline)
            chosen = self._deps.placement.place(self._routed, self._tried)
            if not isinstance(chosen, refusal.Refusal):
                return self._begin(chosen, last)
            refused = chosen
        if not self._has_failure_for_caller():
            # The caller can ask another daemon.
            self._parked.close_where(self._is_cut_off)
            attempt = self._parked.take()
        if attempt is None and refused is not None:
            self._end_unplaced(refused)
        elif attempt is None and last is not None:
            self._end_after(last)
        return attempt

    def _has_failure_for_caller(self) -> bool:
        """Return whether an upstream's own failure can be relayed."""
        failure = self._failure
        if failure is None or failure.response is None or self._reply.started:
            return False
        return failure.response.status not in _NOT_RUN_STATUSES

    def _begin(
        self,
        chosen: upstreamchoice.Chosen,
        last: attemptresult.AttemptResult | None,
    ) -> attempts.Attempt:
        if last is not None and last.ending not in _UNSENT:
            self._deps.retry_budgets.spend(self._routed.service.name)
        if not self._tried:
            self._deps.placement.record_start(self._routed)
        if last is not None and not self._routed.route.may_repeat:
            self._record_sent_again(last, chosen.upstream)
        self._tried.append(chosen.upstream)
        return attempts.Attempt(
            self._deps,
            self._routed,
            self._reply,
            chosen,
            self._progress,
            self._can_switch,
        )

    def _run_attempt(
        self, attempt: attempts.Attempt
    ) -> attemptresult.AttemptResult:
        is_first = attempt.result is None
        self._uncounted_runs = int(is_first)
        self._resumed = None if is_first else attempt
        if self._parked:
            result = attempt.run(self._parked.read, self._parked.close)
        else:
            result = attempt.run()
        if attempt.is_open:
            self._parked.add(attempt)
        self._attempt = attempt
        if is_first:
            self._record_ran(result)
        self._record_ending(attempt)
        return result

    def _record_sent_again(
        self, last: attemptresult.AttemptResult, upstream: str
    ) -> None:
        """Log by what proof a request that may run once is sent once more.

        :param last: the result of the attempt before.
        :param upstream: where it is sent.
        """
        attempt = self._attempt
        if attempt is None or last.proof is None:
            return
        self._deps.env.metrics.record_sent_again(last.proof)
        # Not a note: what was sent twice has to be traced under load, too.
        self._deps.env.log.change(
            "sent again",
            request=self._routed.id,
            proof=last.proof,
            why=last.why,
            upstream=attempt.chosen.upstream,
            address=attempt.address,
            relay=attempt.relay,
            connection=attempt.connection,
            next=upstream,
        )

    def _record_ran(self, result: attemptresult.AttemptResult) -> None:
        self._deps.env.metrics.record_attempt(result.ending.name.lower())
        if result.proof is not None:
            self._rejections += 1
        else:
            self._runs += 1
            self._ran = ran.Ran.UNKNOWN

    def _record_ending(self, attempt: attempts.Attempt) -> None:
        result, chosen = attempt.result, attempt.chosen
        if result is None:
            return
        if result.response is not None:
            self._failure = result
        if self._ending_by_upstream.get(chosen.upstream) is result.ending:
            # It was silent, and is so again.
            return
        self._ending_by_upstream[chosen.upstream] = result.ending
        self._deps.env.log.note(
            "try ended",
            self._routed.id,
            upstream=chosen.upstream,
            relay=attempt.relay,
            ending=result.ending.name,
            why=result.why,
            after=self._progress.last_event_id,
            expected_ms=round(chosen.forecast.first),
            silent_ms=self._silent_for(chosen.upstream),
        )

    def _silent_for(self, upstream: str) -> clock.Ms | None:
        """Return the ms since an upstream sent anything, None if it never did.

        On any connection of this daemon: a replica that others hear from
        was not silent.
        """
        heard_at = self._deps.loads.of(upstream).last_heard_at
        return self._deps.env.clock.now() - heard_at if heard_at else None

    def _can_switch(self) -> bool:
        """Return whether the request could continue at another upstream.

        A slow replica can't be told from a stalled one.  Without another
        upstream, giving up loses what the replica still sends: the caller
        of a stream gets a part, because of a pause of some hundred ms.
        """
        deps, service = self._deps, self._routed.service.name
        if self._resumed is not None and self._is_cut_off(self._resumed):
            return True
        return (
            self._may_attempt_again()
            and self._may_run_again(self._runs + self._uncounted_runs)
            and deps.retry_budgets.allows(service)
            and deps.placement.can_place(self._routed, self._tried)
        )

    def _is_cut_off(self, attempt: attempts.Attempt) -> bool:
        """Return whether nothing can arrive, since all links are lost."""
        return not attempt.relay and self._deps.connector.links.is_cut

    def _may_retry(self, result: attemptresult.AttemptResult) -> bool:
        if not self._may_attempt_again() or not self._may_run_after(result):
            return False
        if result.ending is _Ending.RESTING:
            # Others may be relayed to.
            return True
        if result.ending is _Ending.UNLINKED:
            # Without any link the other upstreams can't be reached either.
            return not self._deps.connector.links.is_cut
        return self._deps.retry_budgets.allows(self._routed.service.name)

    def _may_run_after(self, result: attemptresult.AttemptResult) -> bool:
        """Return whether a request may run after an attempt.

        One that may run once only needs a proof that no attempt ran it.

        :param result: of the last attempt.
        """
        if result.proof is None:
            return self._may_run_again(self._runs)
        return self._routed.route.may_repeat or self._ran is ran.Ran.NO

    def _may_attempt_again(self) -> bool:
        remaining = self._routed.deadline - self._deps.env.clock.now()
        if remaining < _MIN_ATTEMPT_TIME or self._rejections > _MAX_REJECTIONS:
            return False
        return self._deps.crash_detector.find_refusal(self._routed) is None

    def _may_run_again(self, runs: int) -> bool:
        # A request that is not idempotent must not run twice.
        route = self._routed.route
        return route.may_repeat and runs < route.max_attempts

    def _end_unplaced(self, refused: refusal.Refusal) -> None:
        if self._failure is not None or self._runs:
            self._end_after(
                attemptresult.AttemptResult(_Ending.BROKEN, refused.detail)
            )
            return
        self._refuse(refused)

    def _end_after(self, result: attemptresult.AttemptResult) -> None:
        self.reason = result.ending.name.lower()
        if self._reply.started:
            self.outcome = "broken"
            self._reply.abort()
        elif self._failure is not None:
            self._relay_failure(self._failure)
        elif self._ran is ran.Ran.NO:
            self._refuse(
                self._deps.placement.not_run_refusal(self._routed, result)
            )
        else:
            self._refuse(self._outcome_unknown(result))

    def _relay_failure(self, failure: attemptresult.AttemptResult) -> None:
        # The upstream's response says itself whether the request ran.
        self.outcome = "failed"
        names = self._deps.env.header_names
        status = failure.response.status
        is_promise = status in _NOT_RUN_STATUSES
        if is_promise and failure.response.may_have_run(names):
            # These statuses imply that the request did not run, which the
            # upstream did not state.
            self._refuse(self._outcome_unknown(failure))
            return
        self._reply.send_whole(
            status, headers.end_to_end(failure.response.headers), failure.body
        )

    def _refuse(self, refused: refusal.Refusal) -> None:
        self.outcome, self.reason = "refused", refused.kind.value
        if refused.ran is not ran.Ran.NO:
            self.outcome = "failed"
        self._deps.env.log.note(
            "refused",
            self._routed.id,
            kind=refused.kind,
            why=refused.detail,
            ran=refused.ran,
            retry_after_ms=refused.retry_after,
            **dict(refused.facts),
        )
        self._reply.send_refusal(refused, self._routed.id)

    def _outcome_unknown(
        self, result: attemptresult.AttemptResult
    ) -> refusal.Refusal:
        remaining = self._routed.deadline - self._deps.env.clock.now()
        kind = (
            _Kind.DEADLINE_PASSED
            if remaining < _MIN_ATTEMPT_TIME
            else _Kind.OUTCOME_UNKNOWN
        )
        return refusal.Refusal(
            kind,
            f"the request was sent; no complete response came: {result.why}",
            "check whether the request took effect before sending it again",
            ran.Ran.UNKNOWN,
        )
