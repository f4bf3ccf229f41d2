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
_ANSWER = 128


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
        own = self.key_holder.priority if self.key_holder else None
        return self.route.priority if own is None else own


def deadline(
    request: callerrequest.CallerRequest,
    route: routes_.Route,
    dialect: headernames.HeaderNames,
) -> clock.Ms:
    """Return the moment after which no answer is of use.

    :param request: the caller's.
    :param route: its route.
    :param dialect: names of headers.
    """
    given = headers.parse_number(request.header(dialect.deadline))
    span = route.timeout if given is None else min(given, route.timeout)
    return request.arrived_at + span


def token_counts(
    request: callerrequest.CallerRequest, dialect: headernames.HeaderNames
) -> tuple[int, int]:
    """Return the prompt's tokens and those expected of the answer.

    :param request: the caller's.
    :param dialect: names of headers.
    """
    first, _, most = request.header(dialect.token_counts).partition(b",")
    hint = headers.parse_number(request.header(dialect.length_hint))
    most_tokens = headers.parse_number(most)
    answer = hint or most_tokens or _ANSWER
    if most_tokens:
        answer = min(answer, most_tokens)
    return headers.parse_number(first) or 0, answer
