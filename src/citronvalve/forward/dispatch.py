"""One request on its way, over all the upstreams it takes."""

from citronvalve.forward import attempt as attempts
from citronvalve.forward import attemptresult
from citronvalve.forward import dependencies
from citronvalve.forward import headers
from citronvalve.forward import reply as replies
from citronvalve.forward import routedrequest
from citronvalve.forward import streamprogress
from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.policy import upstreamchoice

#: Tries that were refused without running are not runs; this many of them
#: say that the service as a whole has no room.
_MOST_REFUSED = 3

#: Least time worth another try, in ms.
_WORTH_A_TRY: clock.Ms = 60

_Ending = attemptresult.Ending
_Kind = refusal.RefusalKind


class Dispatch:
    """Sends a request on until it is answered, refused or given up.

    :param means: what it works with.
    :param demand: what is asked for.
    :param reply: takes the answer.
    :ivar outcome: how it ended, for log and metrics.
    :ivar reason: why, from a closed set.
    """

    def __init__(
        self,
        means: dependencies.Dependencies,
        demand: routedrequest.RoutedRequest,
        reply: replies.Reply,
    ) -> None:
        self._means = means
        self._demand = demand
        self._reply = reply
        self._tried: list[str] = []
        self._runs = 0
        self._refused = 0
        self._ran = ran.Ran.NO
        self._failed: attemptresult.AttemptResult | None = None
        self._relayed = streamprogress.StreamProgress()
        self.outcome = "failed"
        self.reason = ""

    @property
    def tried(self) -> tuple[str, ...]:
        """Return the upstreams that it was sent to."""
        return tuple(self._tried)

    def run(self) -> None:
        """Answer the caller."""
        fenced = self._means.crash_detector.find_refusal(self._demand)
        if fenced is not None:
            self._refuse(fenced)
            return
        while True:
            placed = self._means.placement.place(self._demand, self._tried)
            if isinstance(placed, refusal.Refusal):
                self._end_without(placed)
                return
            ended = self._try(placed)
            if ended.ending is _Ending.DELIVERED:
                self.outcome, self.reason = "whole", str(ended.response.status)
                self._means.crash_detector.clear(self._demand)
                return
            if not self._may_go_on(ended):
                self._end_with(ended)
                return

    def _try(
        self, placed: upstreamchoice.Chosen
    ) -> attemptresult.AttemptResult:
        self._tried.append(placed.upstream)
        trial = attempts.Attempt(
            self._means,
            self._demand,
            self._reply,
            placed,
            self._relayed,
            self._has_elsewhere,
        )
        ended = trial.run()
        self._means.env.metrics.record_attempt(ended.ending.name.lower())
        self._means.env.log.note(
            "try ended",
            self._demand.id,
            upstream=placed.upstream,
            ending=ended.ending.name,
            why=ended.why,
            after=self._relayed.last_event_id,
            expected_ms=round(placed.forecast.first),
        )
        if ended.ending is _Ending.NOT_RUN:
            self._refused += 1
        else:
            self._runs += 1
            self._ran = ran.Ran.UNKNOWN
        if ended.response is not None:
            self._failed = ended
        return ended

    def _has_elsewhere(self) -> bool:
        """Tell whether it could go on elsewhere if this try were given up.

        A replica that is only slow looks as one that stands still.  With
        nowhere to go on, giving up loses what it still writes: the caller
        of a stream gets a part, for a pause of some hundred ms.
        """
        means, service = self._means, self._demand.service.name
        return (
            self._may_try_again()
            and self._may_run_again(self._runs + 1)
            and means.retry_budgets.allows(service)
            and means.placement.can_place(self._demand, self._tried)
        )

    def _may_go_on(self, ended: attemptresult.AttemptResult) -> bool:
        if not self._may_try_again():
            return False
        has_run = ended.ending is not _Ending.NOT_RUN
        if has_run and not self._may_run_again(self._runs):
            return False
        return self._means.retry_budgets.spend(self._demand.service.name)

    def _may_try_again(self) -> bool:
        left = self._demand.deadline - self._means.env.clock.now()
        if left < _WORTH_A_TRY or self._refused > _MOST_REFUSED:
            return False
        return self._means.crash_detector.find_refusal(self._demand) is None

    def _may_run_again(self, runs: int) -> bool:
        # What may have run and may not be repeated would run twice.
        route = self._demand.route
        return route.may_repeat and runs < route.max_attempts

    def _end_without(self, refused: refusal.Refusal) -> None:
        if self._failed is not None or self._runs:
            self._end_with(
                attemptresult.AttemptResult(_Ending.BROKEN, refused.detail)
            )
            return
        self._refuse(refused)

    def _end_with(self, ended: attemptresult.AttemptResult) -> None:
        self.reason = ended.ending.name.lower()
        if self._reply.started:
            self.outcome = "broken"
            self._reply.abort()
        elif self._failed is not None:
            self._pass_on(self._failed)
        elif self._ran is ran.Ran.NO:
            self._refuse(
                self._means.placement.not_run_refusal(self._demand, ended)
            )
        else:
            self._refuse(self._unknown(ended))

    def _pass_on(self, failed: attemptresult.AttemptResult) -> None:
        # The upstream's own word on what it ran, as it said it.
        self.outcome = "failed"
        dialect = self._means.env.header_names
        status = failed.response.status
        if status in (408, 421, 429, 503) and failed.response.may_have_run(
            dialect
        ):
            # These promise that nothing ran, which it did not say.
            self._refuse(self._unknown(failed))
            return
        self._reply.send_whole(
            status, headers.end_to_end(failed.response.headers), failed.body
        )

    def _refuse(self, refused: refusal.Refusal) -> None:
        self.outcome, self.reason = "refused", refused.kind.value
        if refused.ran is not ran.Ran.NO:
            self.outcome = "failed"
        self._means.env.log.note(
            "refused",
            self._demand.id,
            kind=refused.kind,
            why=refused.detail,
            ran=refused.ran,
            retry_after_ms=refused.retry_after,
        )
        self._reply.send_refusal(refused, self._demand.id)

    def _unknown(self, ended: attemptresult.AttemptResult) -> refusal.Refusal:
        late = self._demand.deadline - self._means.env.clock.now()
        kind = (
            _Kind.DEADLINE_PASSED
            if late < _WORTH_A_TRY
            else _Kind.OUTCOME_UNKNOWN
        )
        return refusal.Refusal(
            kind,
            f"it was sent on and no whole answer came: {ended.why}",
            "look up whether it took effect before sending it again",
            ran.Ran.UNKNOWN,
        )
