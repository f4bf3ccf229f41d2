"""The result of one attempt at an upstream."""

import enum
from typing import NamedTuple

from citronvalve.forward import notrun
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


#: All other proofs end an attempt as ``NOT_RUN``.
_ENDING_BY_PROOF = {
    notrun.Proof.NO_LINK: Ending.UNLINKED,
    notrun.Proof.RESTING: Ending.RESTING,
}


class AttemptResult(NamedTuple):
    """The ending, its cause, and an error response with its body, if any.

    ``proof`` is None if the request may have run.
    """

    ending: Ending
    why: str = ""
    response: responsehead.ResponseHead | None = None
    body: bytes = b""
    proof: notrun.Proof | None = None


def not_run(proof: notrun.Proof, why: str) -> AttemptResult:
    """Return the result of an attempt that did not run the request.

    :param proof: what shows it.
    :param why: the cause, as text.
    """
    ending = _ENDING_BY_PROOF.get(proof, Ending.NOT_RUN)
    return AttemptResult(ending, why, proof=proof)
