"""The decisions that the daemon carries out."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import work

#: Identifies one attempt at one request.
Ticket = int


class Start(NamedTuple):
    """Send the work to an upstream now.

    ``attempt`` counts from 1.  ``priority`` is for engines that support
    one: the slack in ms, the smallest first.  A ``hedge`` runs in parallel
    with an earlier attempt; the first complete answer wins.
    """

    ticket: Ticket
    work: work.Work
    upstream: str
    attempt: int
    priority: int
    hedge: bool = False


class Queued(NamedTuple):
    """Accepted and queued; ``wait`` is the predicted wait in ms."""

    request: str
    wait: clock.Ms


class Refuse(NamedTuple):
    """Reject an accepted request now."""

    request: str
    refusal: refusal.Refusal


class Cancel(NamedTuple):
    """Stop an attempt whose answer is no longer needed."""

    ticket: Ticket
    upstream: str


Decision = Start | Refuse | Cancel

#: The result of submitting a request.
Verdict = Start | Queued | refusal.Refusal
