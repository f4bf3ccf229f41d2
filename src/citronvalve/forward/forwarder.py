"""Handles the callers' requests from their arrival to their end."""

from citronvalve.forward import admission as intakes
from citronvalve.forward import callergone
from citronvalve.forward import callerrequest
from citronvalve.forward import dependencies as means_
from citronvalve.forward import dispatch as passages
from citronvalve.forward import reply as replies
from citronvalve.forward import routedrequest as demands
from citronvalve.model import refusal


class Forwarder:
    """Admits a request, passes it on and notes its end.

    :param means: what it works with.
    :param intake: finds route, team and service.
    :ivar in_progress: requests that have no end yet.
    :ivar served: requests that have come so far.
    """

    def __init__(
        self, means: means_.Dependencies, intake: intakes.Admission
    ) -> None:
        self._means = means
        self._intake = intake
        self.in_progress = 0
        self.served = 0

    def handle(
        self, request: callerrequest.CallerRequest, reply: replies.Reply
    ) -> None:
        """Answer a request.

        :param request: the caller's.
        :param reply: takes the answer.
        """
        self.in_progress += 1
        self.served += 1
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
        number = request.header(env.dialect.request).decode("latin-1")
        env.metrics.ended("unknown", "refused", refused.kind)
        env.log.note(
            "turned away", number, kind=refused.kind, why=refused.detail
        )
        reply.refuse(refused, number)

    def _pass_on(
        self, demand: demands.RoutedRequest, reply: replies.Reply
    ) -> None:
        env = self._means.env
        self._means.repeats.requested(demand.service.name)
        passage = passages.Dispatch(self._means, demand, reply)
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
        self, demand: demands.RoutedRequest, passage: passages.Dispatch
    ) -> None:
        env = self._means.env
        catalogue = self._means.directory.catalogue
        env.metrics.ended(demand.route.kind, passage.outcome, passage.reason)
        env.log.note(
            "request ended",
            demand.id,
            outcome=passage.outcome,
            reason=passage.reason,
            route=demand.route.name,
            model=demand.model,
            upstreams=passage.tried,
            took_ms=env.clock.now() - demand.request.arrived,
            config=catalogue.version if catalogue else 0,
        )
