"""A caller's request as the decisions see it."""

from typing import NamedTuple

from citronvalve.forward import callerrequest
from citronvalve.forward import headernames
from citronvalve.forward import headers
from citronvalve.model import clock
from citronvalve.routes import keyholder
from citronvalve.routes import route as routes_
from citronvalve.routes import service as services

#: What a request without a size is taken to write, in tokens.
_DEFAULT_RESPONSE_TOKENS = 128


class RoutedRequest(NamedTuple):
    """``until`` is monotonic ms: the caller's deadline or the route's
    timeout, whichever comes first.  ``holder`` is None on public routes.
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
        """Return the rank, 0 first; a team's goes before the route's."""
        team_priority = self.key_holder.priority if self.key_holder else None
        return self.route.priority if team_priority is None else team_priority


def deadline(
    request: callerrequest.CallerRequest,
    route: routes_.Route,
    names: headernames.HeaderNames,
) -> clock.Ms:
    """Return the moment after which no answer is of use.

    :param request: the caller's.
    :param route: its route.
    :param dialect: names of headers.
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
    """Return the prompt's tokens and those expected of the answer.

    :param request: the caller's.
    :param dialect: names of headers.
    """
    prompt, _, limit = request.header(names.token_counts).partition(b",")
    hint = headers.parse_number(request.header(names.length_hint))
    max_tokens = headers.parse_number(limit)
    response_tokens = hint or max_tokens or _DEFAULT_RESPONSE_TOKENS
    if max_tokens:
        response_tokens = min(response_tokens, max_tokens)
    return headers.parse_number(prompt) or 0, response_tokens
