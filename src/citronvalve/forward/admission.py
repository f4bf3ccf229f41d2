"""Admission of callers' requests."""

from citronvalve.forward import callerrequest
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import routedrequest
from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.routes import catalogue as catalogues
from citronvalve.routes import keyholder
from citronvalve.routes import route as routes_

#: Time in which a daemon that has just started learns its upstreams.
_NOT_READY_RETRY: clock.Ms = 500

#: Another daemon serves the request.
_OTHER_DAEMON_RETRY: clock.Ms = 1

#: A caller that comes back within this time finds room, or another daemon.
_FULL_RETRY: clock.Ms = 300

#: While the store is reachable, the catalogue is confirmed at least every
#: 2.5 s (a long poll of 1 s that times out 1.5 s later).  A much older one may
#: lack a route or a key that is in force elsewhere, so a final "not found"
#: would be wrong.
_MAX_CATALOGUE_AGE: clock.Ms = 4_500

_Kind = refusal.RefusalKind


class Admission:
    """Resolves the route, team and service of a request.

    :param env: the daemon's environment.
    :param directory: the catalogue and the upstreams.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
    ) -> None:
        self._env = env
        self._directory = directory

    def admit(
        self, request: callerrequest.CallerRequest
    ) -> routedrequest.RoutedRequest | refusal.Refusal:
        """Return the routed request, or the refusal if it can't be served.

        :param request: the caller's.
        """
        if self._env.memory.is_full:
            return memory_refusal()
        if not self._env.takes_requests():
            return _refused(
                _Kind.STOPPING, "this daemon stops, and may end before it"
            )._replace(retry_after=_OTHER_DAEMON_RETRY)
        catalogue = self._directory.catalogue
        if catalogue is None or not self._directory.ready:
            return _refused(
                _Kind.STOPPING,
                "this daemon has not loaded its configuration yet",
            )._replace(retry_after=_NOT_READY_RETRY)
        names = self._env.header_names
        request_id = request.header(names.request_id)
        if not request_id:
            return _refused(_Kind.MALFORMED, "the request has no request id")
        route = catalogue.find_route(request.host, request.path)
        if not route:
            return self._refuse_missing(_Kind.NOT_FOUND, route.reason)
        key_holder = self._find_key_holder(catalogue, route, request)
        if isinstance(key_holder, refusal.Refusal):
            return key_holder
        service = catalogue.service_by_name.get(
            route.pick_service(self._env.rng)
        )
        if service is None:
            return self._refuse_missing(
                _Kind.NO_UPSTREAM, "the service is unknown"
            )
        prompt_tokens, response_tokens = routedrequest.token_counts(
            request, names
        )
        return routedrequest.RoutedRequest(
            request_id.decode("latin-1"),
            request,
            route,
            service,
            key_holder,
            routedrequest.deadline(request, route, names),
            request.header(names.model).decode("latin-1"),
            prompt_tokens,
            response_tokens,
            routedrequest.shared_parts(request, names),
        )

    def _find_key_holder(
        self,
        catalogue: catalogues.Catalogue,
        route: routes_.Route,
        request: callerrequest.CallerRequest,
    ) -> keyholder.KeyHolder | refusal.Refusal | None:
        if route.public or not catalogue.needs_key:
            return None
        key = request.header(self._env.header_names.api_key).decode("latin-1")
        holder = catalogue.holder_by_key.get(key)
        if holder is None:
            return self._refuse_missing(
                _Kind.UNKNOWN_TOKEN, "no team has this key"
            )
        return holder

    def _refuse_missing(
        self, kind: refusal.RefusalKind, why: str
    ) -> refusal.Refusal:
        # A caller whose route or key was added while this daemon could not
        # reach the store would take "not found" as final.
        age = self._env.clock.now() - self._directory.confirmed_at
        if age <= _MAX_CATALOGUE_AGE:
            return _refused(kind, why)
        return _refused(
            _Kind.NO_UPSTREAM, f"{why}, as of {age} ms ago"
        )._replace(retry_after=_NOT_READY_RETRY)


def memory_refusal() -> refusal.Refusal:
    """Return the refusal of a request for which there is no memory."""
    return refusal.Refusal(
        _Kind.NO_MEMORY,
        "this daemon holds as many bytes as it may",
        "send the request again, to another daemon if there is one",
        retry_after=_FULL_RETRY,
    )


def late_refusal(why: str) -> refusal.Refusal:
    """Return the refusal of a request whose body took too long.

    :param why: the cause.
    """
    return refusal.Refusal(
        _Kind.TOO_SLOW, why, "send the body within the time for its answer"
    )


def size_refusal(why: str) -> refusal.Refusal:
    """Return the refusal of a request whose body is too large.

    :param why: the cause.
    """
    return refusal.Refusal(_Kind.TOO_LARGE, why, "send a shorter body")


def _refused(kind: refusal.RefusalKind, why: str) -> refusal.Refusal:
    return refusal.Refusal(
        kind, why, "correct the request or send it again later"
    )
