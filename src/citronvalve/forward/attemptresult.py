"""How one try at an upstream ended."""

import enum
from typing import NamedTuple

from citronvalve.forward import responsehead


class Ending(enum.Enum):
    """What the try comes to for the request."""

    #: The caller has the whole answer.
    DELIVERED = enum.auto()
    #: The upstream failed the request itself; its answer can be passed on.
    FAILED = enum.auto()
    #: It certainly did not run.
    NOT_RUN = enum.auto()
    #: It may have run, and there is no whole answer.
    BROKEN = enum.auto()
    #: Nothing comes; the upstream may stand still.
    STALLED = enum.auto()


class AttemptResult(NamedTuple):
    """The ending, why, and a failed answer with its body if there is one."""

    ending: Ending
    why: str = ""
    response: responsehead.ResponseHead | None = None
    body: bytes = b""
