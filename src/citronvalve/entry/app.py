"""The callers' WSGI application: authentication, dispatch and logging."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from citronvalve.entry import authentication
from citronvalve.entry import call as calls
from citronvalve.entry import environment as environments
from citronvalve.entry import handler as handlers
from citronvalve.entry import plain
from citronvalve.entry import progress as progresses
from citronvalve.entry import requestlog
from citronvalve.entry import response as responses
from citronvalve.entry import streambody
from citronvalve.entry import view as views
from citronvalve.model import clock
from citronvalve.model import refusal

_CHAT = "/v1/chat/completions"
_NOT_READY_RETRY_AFTER: clock.Ms = 2_000


class App:
    """Authenticates callers and passes requests to the handlers.

    :param env: the daemon's environment.
    :param view: holds the table in force.
    :param chat: handles chat requests.
    :param services: handles requests to plain services.
    :param progress: counts requests in progress.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        chat: handlers.Handler,
        services: handlers.Handler,
        progress: progresses.Progress,
    ) -> None:
        self._env = env
        self._view = view
        self._chat = chat
        self._services = services
        self._progress = progress

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterator[bytes]:
        call = self._make_call(environ)
        self._progress.begin()
        log = requestlog.RequestLog(self._env, self._progress, call)
        try:
            response = self._respond(call, log)
        except BaseException:
            log.end("fault")
            raise
        start_response(response.status, self._headers(response, call))
        if not response.streamed:
            log.end(response.outcome)
            return response.body
        return streambody.StreamBody(response.body, log)

    def _make_call(self, environ: dict[str, Any]) -> calls.Call:
        generated = f"{self._env.rng.getrandbits(96):024x}"
        request = calls.request_id(environ, generated)
        return calls.Call(request, self._env.clock.now(), environ)

    def _respond(
        self, call: calls.Call, log: requestlog.RequestLog
    ) -> responses.Response:
        table = self._view.table
        if self._progress.closed or not table:
            return _refuse_before_lookup(self._not_ready(), call)
        handler = self._find_handler(call)
        if handler is None:
            return responses.from_refusal(_unknown_path(call), call.request)
        log.path = handler.path
        team = authentication.authenticate(call, self._view)
        if isinstance(team, refusal.Refusal):
            return _refuse_before_lookup(team, call)
        log.team = team.name
        return handler.handle(call, team, table)

    def _find_handler(self, call: calls.Call) -> handlers.Handler | None:
        if call.path == _CHAT and call.method == "POST":
            return self._chat
        if call.path.startswith(plain.PATH_PREFIX):
            return self._services
        return None

    def _headers(
        self, response: responses.Response, call: calls.Call
    ) -> list[tuple[str, str]]:
        headers = [*response.headers, ("X-Request-Id", call.request)]
        if self._progress.stopping:
            # Stops the load balancer from reusing the connection.
            headers.append(("Connection", "close"))
        return headers

    def _not_ready(self) -> refusal.Refusal:
        detail = (
            "this daemon is stopping"
            if self._progress.closed
            else "this daemon has no table yet"
        )
        return refusal.Refusal(
            refusal.RefusalKind.STOPPING,
            detail,
            "send it again; the load balancer routes it to another daemon",
            retry_after=_NOT_READY_RETRY_AFTER,
        )


def _refuse_before_lookup(
    refused: refusal.Refusal, call: calls.Call
) -> responses.Response:
    return responses.from_refusal(
        call.before_key_lookup(refused), call.request
    )


def _unknown_path(call: calls.Call) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.NOT_FOUND,
        f"no resource at {call.method} {call.path[:80]}",
        f"use POST {_CHAT} or {plain.PATH_PREFIX}NAME/...",
    )
