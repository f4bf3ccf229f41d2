"""Handler of callers' requests from arrival to end."""

from citronvalve.forward import admission as admissions
from citronvalve.forward import callergone
from citronvalve.forward import callerrequest
from citronvalve.forward import dependencies
from citronvalve.forward import dispatch as dispatches
from citronvalve.forward import reply as replies
from citronvalve.forward import routedrequest
from citronvalve.model import refusal


class Forwarder:
    """Admits a request, dispatches it and records its end.

    :param deps: the daemon's components.
    :param admission: resolves route, team and service.
    :ivar in_progress: number of requests that have not ended.
    :ivar received: number of requests received.
    """

    def __init__(
        self, deps: dependencies.Dependencies, admission: admissions.Admission
    ) -> None:
        self._deps = deps
        self._admission = admission
        self._routed_by_dispatch: dict[
            dispatches.Dispatch, routedrequest.RoutedRequest
        ] = {}
        self.in_progress = 0
        self.received = 0

    def handle(
        self, request: callerrequest.CallerRequest, reply: replies.Reply
    ) -> None:
        """Answer a request.

        :param request: the caller's.
        :param reply: receives the response.
        """
        self.in_progress += 1
        self.received += 1
        try:
            routed = self._admission.admit(request)
            if isinstance(routed, refusal.Refusal):
                self._reject(request, reply, routed)
            else:
                self._dispatch(routed, reply)
        finally:
            self.in_progress -= 1

    def log_cut(self) -> None:
        """Log all requests in progress as cut, since the process exits."""
        for dispatch, routed in self._routed_by_dispatch.items():
            dispatch.outcome, dispatch.reason = "broken", "stopped"
            self._record_end(routed, dispatch)
        self._routed_by_dispatch.clear()

    def _reject(
        self,
        request: callerrequest.CallerRequest,
        reply: replies.Reply,
        refused: refusal.Refusal,
    ) -> None:
        env = self._deps.env
        request_id = request.header(env.header_names.request_id).decode(
            "latin-1"
        )
        env.metrics.record_request("unknown", "refused", refused.kind)
        env.log.note(
            "turned away", request_id, kind=refused.kind, why=refused.detail
        )
        reply.send_refusal(refused, request_id)

    def _dispatch(
        self, routed: routedrequest.RoutedRequest, reply: replies.Reply
    ) -> None:
        env = self._deps.env
        self._deps.retry_budgets.record_request(routed.service.name)
        dispatch = dispatches.Dispatch(self._deps, routed, reply)
        self._routed_by_dispatch[dispatch] = routed
        try:
            dispatch.run()
            reply.wait_written()
        except callergone.CallerGoneError:
            dispatch.outcome, dispatch.reason = "left", "caller closed"
            reply.abort()
        except OSError as error:
            dispatch.outcome, dispatch.reason = "left", "caller unreachable"
            env.log.note("caller lost", routed.id, why=str(error))
            reply.abort()
        finally:
            if self._routed_by_dispatch.pop(dispatch, None) is not None:
                self._record_end(routed, dispatch)

    def _record_end(
        self,
        routed: routedrequest.RoutedRequest,
        dispatch: dispatches.Dispatch,
    ) -> None:
        env = self._deps.env
        catalogue = self._deps.directory.catalogue
        env.metrics.record_request(
            routed.route.kind, dispatch.outcome, dispatch.reason
        )
        # A response that was cut is logged even if other lines are dropped.
        is_cut = dispatch.outcome == "broken"
        log = env.log.change if is_cut else env.log.note
        log(
            "request ended",
            request=routed.id,
            outcome=dispatch.outcome,
            reason=dispatch.reason,
            route=routed.route.name,
            model=routed.model,
            upstreams=dispatch.tried,
            endings=dispatch.endings,
            took_ms=env.clock.now() - routed.request.arrived_at,
            config=catalogue.version if catalogue else 0,
        )
