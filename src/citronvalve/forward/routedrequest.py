"""A caller's request with its route, service and deadline."""

from typing import NamedTuple

from citronvalve.forward import callerrequest
from citronvalve.forward import headernames
from citronvalve.forward import headers
from citronvalve.model import clock
from citronvalve.routes import keyholder
from citronvalve.routes import route as routes_
from citronvalve.routes import service as services

#: Assumed response tokens of a request that states no limit.
_DEFAULT_RESPONSE_TOKENS = 128

#: Parts of a prompt that are looked at; the header of a longer list is bounded
#: by the limits of callers only.
_MAX_SHARED_PARTS = 64


class RoutedRequest(NamedTuple):
    """An admitted request.

    ``deadline`` is monotonic ms: the caller's deadline or the route's
    timeout, whichever comes first.  ``key_holder`` is None on public routes.
    ``shared_parts`` are the ids of the prompt's parts without the last one,
    which belongs to the request itself or to its session.
    """

    id: str
    request: callerrequest.CallerRequest
    route: routes_.Route
    service: services.Service
    key_holder: keyholder.KeyHolder | None
    deadline: clock.Ms
    model: str
    prompt_tokens: int
    response_tokens: int
    shared_parts: tuple[bytes, ...] = ()

    @property
    def priority(self) -> int:
        """Return the team's priority, or else the route's; 0 is first."""
        team_priority = self.key_holder.priority if self.key_holder else None
        return self.route.priority if team_priority is None else team_priority


def deadline(
    request: callerrequest.CallerRequest,
    route: routes_.Route,
    names: headernames.HeaderNames,
) -> clock.Ms:
    """Return the request's deadline in monotonic ms.

    :param request: the caller's.
    :param route: its route.
    :param names: the header names.
    """
    caller_timeout = headers.parse_number(request.header(names.deadline))
    timeout = (
        route.timeout
        if caller_timeout is None
        else min(caller_timeout, route.timeout)
    )
    return request.arrived_at + timeout


def token_counts(
    request: callerrequest.CallerRequest, names: headernames.HeaderNames
) -> tuple[int, int]:
    """Return the prompt tokens and the expected response tokens.

    :param request: the caller's.
    :param names: the header names.
    """
    prompt, _, limit = request.header(names.token_counts).partition(b",")
    hint = headers.parse_number(request.header(names.length_hint))
    max_tokens = headers.parse_number(limit)
    response_tokens = hint or max_tokens or _DEFAULT_RESPONSE_TOKENS
    if max_tokens:
        response_tokens = min(response_tokens, max_tokens)
    return headers.parse_number(prompt) or 0, response_tokens


def shared_parts(
    request: callerrequest.CallerRequest, names: headernames.HeaderNames
) -> tuple[bytes, ...]:
    """Return the ids of the prompt's parts that other requests may share.

    :param request: the caller's.
    :param names: the header names.
    """
    entries = request.header(names.prompt_parts).split(b",")
    ids = (entry.partition(b":")[0].strip() for entry in entries[:-1])
    return tuple(part for part in ids if part)[:_MAX_SHARED_PARTS]
