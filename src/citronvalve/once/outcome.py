"""How the one dispatch of a request ended, as a table of states."""

import enum
from typing import NamedTuple

import msgspec

from citronvalve.once import response as responses


class Event(enum.StrEnum):
    """What the daemon saw of the service."""

    #: No byte of the request left this daemon.
    NEVER_SENT = "never-sent"
    #: The service itself says that it did not run it.
    REFUSED = "refused"
    ANSWERED = "answered"
    #: Something in between answered in the service's place.
    GATEWAY = "gateway"
    #: The connection ended before the answer was whole.
    CUT = "cut"
    #: The deadline passed in silence.
    SILENT = "silent"


class OutcomeKind(enum.StrEnum):
    """What may be said of the run from then on."""

    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"


#: "Not run" takes proof: a cut or silent connection may have carried the
#: request, and a gateway answers for a service that has already run it.
KIND_BY_EVENT: dict[Event, OutcomeKind] = {
    Event.NEVER_SENT: OutcomeKind.NOT_RUN,
    Event.REFUSED: OutcomeKind.NOT_RUN,
    Event.ANSWERED: OutcomeKind.DONE,
    Event.GATEWAY: OutcomeKind.UNKNOWN,
    Event.CUT: OutcomeKind.UNKNOWN,
    Event.SILENT: OutcomeKind.UNKNOWN,
}

#: Answers that balancers give when they lost the service behind them.
_GATEWAY_STATUSES = frozenset({502, 503, 504})
_FIRST_ERROR = 400


class Outcome(NamedTuple):
    """How it ended; ``answer`` only when the service answered."""

    event: Event
    response: responses.Response | None = None

    @property
    def kind(self) -> OutcomeKind:
        """Return what may be said of the run."""
        return KIND_BY_EVENT[self.event]


class _ErrorBody(msgspec.Struct):
    ran: str = ""


def from_response(response: responses.Response) -> Outcome:
    """Tell what a whole answer proves.

    :param answer: as it came back.  ``"ran": "no"`` in the JSON body of an
        error is the service's own word that it did not run the request.
    """
    if response.status >= _FIRST_ERROR and _reports_not_run(response.body):
        return Outcome(Event.REFUSED, response)
    if response.status in _GATEWAY_STATUSES:
        return Outcome(Event.GATEWAY)
    return Outcome(Event.ANSWERED, response)


def _reports_not_run(body: bytes) -> bool:
    try:
        return msgspec.json.decode(body, type=_ErrorBody).ran == "no"
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False
