"""The result of one attempt at an upstream."""

import enum
from typing import NamedTuple

from citronvalve.forward import responsehead


class Ending(enum.Enum):
    """How an attempt ended, and whether the request may have run."""

    #: The caller has the complete response.
    DELIVERED = enum.auto()
    #: The upstream answered with an error, which can be relayed.
    FAILED = enum.auto()
    #: The request certainly did not run.
    NOT_RUN = enum.auto()
    #: The same, since no link leads to the upstream.
    UNLINKED = enum.auto()
    #: The same, and those that relay were asked for rest by the upstream.
    RESTING = enum.auto()
    #: The request may have run; there is no complete response.
    BROKEN = enum.auto()
    #: Nothing arrived in time; the upstream may be stalled.
    STALLED = enum.auto()
    #: An earlier upstream went on first; the request may have run.
    OVERTAKEN = enum.auto()


class AttemptResult(NamedTuple):
    """The ending, its cause, and an error response with its body, if any."""

    ending: Ending
    why: str = ""
    response: responsehead.ResponseHead | None = None
    body: bytes = b""
