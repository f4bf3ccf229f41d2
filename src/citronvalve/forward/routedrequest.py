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


class RoutedRequest(NamedTuple):
    """An admitted request.

    ``deadline`` is monotonic ms: the caller's deadline or the route's
    timeout, whichever comes first.  ``key_holder`` is None on public routes.
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
