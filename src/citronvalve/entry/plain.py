"""Handles ``/v1/services/{name}/...``."""

import http
import urllib.parse

import xxhash

from citronvalve.entry import call as calls
from citronvalve.entry import dispatch as dispatches
from citronvalve.entry import environment as environments
from citronvalve.entry import handler
from citronvalve.entry import keyedrunner
from citronvalve.entry import response as responses
from citronvalve.entry import work as works
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import ran
from citronvalve.model import refusal
from citronvalve.once import fingerprint
from citronvalve.upstreams import failure
from citronvalve.upstreams import plainclient
from citronvalve.upstreams import plainrequest

PATH_PREFIX = "/v1/services/"

#: After three failures the service counts as unavailable for the request;
#: more attempts would only load the remaining upstreams.
MAX_ATTEMPTS = 3

_RETRY_AFTER: clock.Ms = 1_000

_ENDING_BY_KIND = {
    failure.FailureKind.UNREACHED: dispatches.Ending.NOT_RUN,
    failure.FailureKind.NOT_OPENED: dispatches.Ending.NOT_OPENED,
    failure.FailureKind.REFUSED: dispatches.Ending.REFUSED,
    failure.FailureKind.SILENT: dispatches.Ending.SILENT,
}


class ServiceHandler(handler.Handler):
    """Forwards requests to plain services and returns whole responses.

    :param env: the daemon's environment.
    :param dispatch: places each attempt on an upstream.
    :param client: sends attempts to the services.
    :param keyed: runs a request with a key at most once.
    """

    path = "service"

    def __init__(
        self,
        env: environments.Environment,
        dispatch: dispatches.Dispatch,
        client: plainclient.PlainClient,
        keyed: keyedrunner.KeyedRunner,
    ) -> None:
        super().__init__(env, dispatch)
        self._client = client
        self._keyed = keyed

    def handle(
        self,
        call: calls.Call,
        team: declared.Team,
        table: declared.Declared,
    ) -> responses.Response:
        name, _, rest = call.path[len(PATH_PREFIX) :].partition("/")
        key = call.idempotency_key()
        if isinstance(key, refusal.Refusal):
            return responses.from_refusal(key, call.request)
        service = table.service_by_name.get(name)
        if service is None:
            return _refuse_before_lookup(_unknown_service(name), call)
        deadline = call.deadline(
            service.deadline, self._env.limits.max_deadline
        )
        if isinstance(deadline, refusal.Refusal):
            return _refuse_before_lookup(deadline, call)
        body = call.body(self._env.limits.max_body_size)
        if isinstance(body, refusal.Refusal):
            return _refuse_before_lookup(body, call)
        work = self._make_work(call, team, service, deadline, body)
        return self._respond(call, work, f"/{rest}", body)

    def _make_work(
        self,
        call: calls.Call,
        team: declared.Team,
        service: declared.PlainService,
        deadline: clock.Ms,
        body: bytes,
    ) -> works.Work:
        return works.Work(
            call.request,
            team.name,
            service.name,
            call.arrived_at,
            deadline,
            prompt_tokens=0,
            max_tokens=0,
            fingerprint=xxhash.xxh3_128_hexdigest(body),
            repeatable=call.method in service.repeatable,
        )

    def _respond(
        self, call: calls.Call, work: works.Work, path: str, body: bytes
    ) -> responses.Response:
        result = self._run_keyed(call, work, path, body)
        if isinstance(result, refusal.Refusal):
            return responses.from_refusal(result, call.request)
        line = f"{result.status} {_reason_phrase(result.status)}"
        return responses.from_body(result.body, result.content_type, line)

    def _run_keyed(
        self, call: calls.Call, work: works.Work, path: str, body: bytes
    ) -> plainrequest.PlainResponse | refusal.Refusal:
        # Without a key, a repeated request can't be matched to the first
        # one: it is never retried after it may have run.
        key = call.idempotency_key()
        if work.repeatable or not key:
            return self._run_attempts(call, work, path, body)
        digest = fingerprint.digest(call.method, _path_and_query(call), body)
        keyed_call = keyedrunner.make_call(
            work, key, digest, self._env.clock.now()
        )
        return self._keyed.run(
            keyed_call, lambda: self._run_attempts(call, work, path, body)
        )

    def _run_attempts(
        self, call: calls.Call, work: works.Work, path: str, body: bytes
    ) -> plainrequest.PlainResponse | refusal.Refusal:
        next_attempt = dispatches.FIRST_ATTEMPT
        outcome = ran.Ran.NO
        if self._remaining(work) <= 0:
            # Claiming the key took until the deadline.
            return _deadline_passed(outcome)
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            placement = self._dispatch.place(work, next_attempt)
            if isinstance(placement, refusal.Refusal):
                return placement._replace(ran=outcome)
            timeout = self._attempt_timeout(work, attempts_left)
            result = self._client.send(
                placement.address,
                _make_request(call, work, path, body, timeout),
            )
            self._dispatch.release(placement, _ending(result))
            if not isinstance(result, failure.Failure):
                return result
            if result.kind not in failure.NOT_RUN:
                outcome = ran.Ran.UNKNOWN
                if not work.repeatable:
                    return _outcome_unknown(result)
            if self._remaining(work) <= 0:
                return _deadline_passed(outcome)
            next_attempt = next_attempt._replace(
                avoided=(*next_attempt.avoided, placement.upstream)
            )
        return _attempts_failed(outcome, result)

    def _attempt_timeout(
        self, work: works.Work, attempts_left: int
    ) -> clock.Ms:
        # A repeatable request on a silent connection must leave time for an
        # attempt on a new one; one that can't be retried gets all the time.
        remaining = max(1, self._remaining(work))
        if work.repeatable and attempts_left:
            return max(1, remaining // 2)
        return remaining

    def _remaining(self, work: works.Work) -> clock.Ms:
        return work.deadline - self._env.clock.now()


def _make_request(
    call: calls.Call,
    work: works.Work,
    path: str,
    body: bytes,
    timeout: clock.Ms,
) -> plainrequest.PlainRequest:
    query = call.environ.get("QUERY_STRING", "")
    quoted = urllib.parse.quote(path.encode("latin-1"))
    headers = {
        "Content-Type": call.header("Content-Type"),
        "Accept": call.header("Accept"),
        "Idempotency-Key": call.header("Idempotency-Key"),
        "X-Request-Id": work.request,
        "X-Deadline-Ms": str(timeout),
    }
    return plainrequest.PlainRequest(
        call.method,
        f"{quoted}?{query}" if query else quoted,
        {name: value for name, value in headers.items() if value},
        body,
        timeout,
        new_connection=not work.repeatable,
    )


def _path_and_query(call: calls.Call) -> str:
    return f"{call.path}?{call.environ.get('QUERY_STRING', '')}"


def _ending(
    result: plainrequest.PlainResponse | failure.Failure,
) -> dispatches.Ending:
    if isinstance(result, failure.Failure):
        return _ENDING_BY_KIND.get(result.kind, dispatches.Ending.BROKEN)
    return dispatches.Ending.WHOLE


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _refuse_before_lookup(
    refused: refusal.Refusal, call: calls.Call
) -> responses.Response:
    return responses.from_refusal(
        call.before_key_lookup(refused), call.request
    )


def _unknown_service(name: str) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.NOT_FOUND,
        f"service {name[:80]!r} is not declared",
        "use the name of a declared service",
    )


def _deadline_passed(outcome: ran.Ran) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.DEADLINE_PASSED,
        "the deadline passed before the service answered",
        "set a later deadline",
        outcome,
    )


def _attempts_failed(
    outcome: ran.Ran, cause: failure.Failure
) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.UPSTREAM_FAILED,
        f"{MAX_ATTEMPTS} attempts failed, the last one: {cause.reason}",
        "send it again later",
        outcome,
        _RETRY_AFTER,
    )


def _outcome_unknown(cause: failure.Failure) -> refusal.Refusal:
    return refusal.Refusal(
        refusal.RefusalKind.OUTCOME_UNKNOWN,
        f"the request was sent but not answered: {cause.reason}",
        "check whether the request took effect before sending it again",
        ran.Ran.UNKNOWN,
    )
