"""Outcome of the only dispatch of a request."""

import enum
from typing import NamedTuple

import msgspec

from citronvalve.model import decoding
from citronvalve.once import response as responses


class Event(enum.StrEnum):
    """How a dispatch ended, as observed by the daemon."""

    #: No byte of the request was sent.
    NEVER_SENT = "never-sent"
    #: The service reports that it did not run the request.
    REFUSED = "refused"
    ANSWERED = "answered"
    #: A gateway responded in place of the service.
    GATEWAY = "gateway"
    #: The connection closed before the response was complete.
    CUT = "cut"
    #: No response arrived before the deadline.
    SILENT = "silent"


class OutcomeKind(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"


#: NOT_RUN requires proof.  The request may have reached the service before
#: a connection closed or timed out, and a gateway may respond with an error
#: after the service has run the request.
KIND_BY_EVENT: dict[Event, OutcomeKind] = {
    Event.NEVER_SENT: OutcomeKind.NOT_RUN,
    Event.REFUSED: OutcomeKind.NOT_RUN,
    Event.ANSWERED: OutcomeKind.DONE,
    Event.GATEWAY: OutcomeKind.UNKNOWN,
    Event.CUT: OutcomeKind.UNKNOWN,
    Event.SILENT: OutcomeKind.UNKNOWN,
}

#: Statuses of load balancers that lost the connection to the service.
_GATEWAY_STATUSES = frozenset({502, 503, 504})
_FIRST_ERROR = 400


class Outcome(NamedTuple):
    """Outcome of a dispatch; ``response`` is set if the service responded."""

    event: Event
    response: responses.Response | None = None

    @property
    def kind(self) -> OutcomeKind:
        """Return what is known about the execution."""
        return KIND_BY_EVENT[self.event]


class _ErrorBody(msgspec.Struct):
    ran: str = ""


def from_response(response: responses.Response) -> Outcome:
    """Return the outcome that a complete response implies.

    :param response: the response.  ``"ran": "no"`` in the JSON body of an
        error is the service's statement that it did not run the request.
    """
    if response.status >= _FIRST_ERROR and _reports_not_run(response.body):
        return Outcome(Event.REFUSED, response)
    if response.status in _GATEWAY_STATUSES:
        return Outcome(Event.GATEWAY)
    return Outcome(Event.ANSWERED, response)


def _reports_not_run(body: bytes) -> bool:
    try:
        return msgspec.json.decode(body, type=_ErrorBody).ran == "no"
    except decoding.ERRORS:
        return False
