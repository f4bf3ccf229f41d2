"""Handles the callers' requests from their arrival to their end."""

from citronvalve.forward import admission as admissions
from citronvalve.forward import callergone
from citronvalve.forward import callerrequest
from citronvalve.forward import dependencies
from citronvalve.forward import dispatch as dispatches
from citronvalve.forward import reply as replies
from citronvalve.forward import routedrequest
from citronvalve.model import refusal


class Forwarder:
    """Admits a request, passes it on and notes its end.

    :param means: what it works with.
    :param intake: finds route, team and service.
    :ivar in_progress: requests that have no end yet.
    :ivar served: requests that have come so far.
    """

    def __init__(
        self, means: dependencies.Dependencies, intake: admissions.Admission
    ) -> None:
        self._means = means
        self._intake = intake
        self.in_progress = 0
        self.received = 0

    def handle(
        self, request: callerrequest.CallerRequest, reply: replies.Reply
    ) -> None:
        """Answer a request.

        :param request: the caller's.
        :param reply: takes the answer.
        """
        self.in_progress += 1
        self.received += 1
        try:
            demand = self._intake.admit(request)
            if isinstance(demand, refusal.Refusal):
                self._turn_away(request, reply, demand)
            else:
                self._pass_on(demand, reply)
        finally:
            self.in_progress -= 1

    def _turn_away(
        self,
        request: callerrequest.CallerRequest,
        reply: replies.Reply,
        refused: refusal.Refusal,
    ) -> None:
        env = self._means.env
        number = request.header(env.header_names.request_id).decode("latin-1")
        env.metrics.record_request("unknown", "refused", refused.kind)
        env.log.note(
            "turned away", number, kind=refused.kind, why=refused.detail
        )
        reply.send_refusal(refused, number)

    def _pass_on(
        self, demand: routedrequest.RoutedRequest, reply: replies.Reply
    ) -> None:
        env = self._means.env
        self._means.retry_budgets.record_request(demand.service.name)
        passage = dispatches.Dispatch(self._means, demand, reply)
        try:
            passage.run()
        except callergone.CallerGoneError:
            passage.outcome, passage.reason = "left", "caller closed"
            reply.abort()
        except OSError as error:
            passage.outcome, passage.reason = "left", "caller unreachable"
            env.log.note("caller lost", demand.id, why=str(error))
            reply.abort()
        finally:
            self._ended(demand, passage)

    def _ended(
        self, demand: routedrequest.RoutedRequest, passage: dispatches.Dispatch
    ) -> None:
        env = self._means.env
        catalogue = self._means.directory.catalogue
        env.metrics.record_request(
            demand.route.kind, passage.outcome, passage.reason
        )
        env.log.note(
            "request ended",
            demand.id,
            outcome=passage.outcome,
            reason=passage.reason,
            route=demand.route.name,
            model=demand.model,
            upstreams=passage.tried,
            took_ms=env.clock.now() - demand.request.arrived_at,
            config=catalogue.version if catalogue else 0,
        )
