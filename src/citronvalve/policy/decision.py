"""What the daemon is told to do."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import refusal
from citronvalve.policy import work

#: Names one attempt at one request.
Ticket = int


class Start(NamedTuple):
    """Send the work to an upstream now.

    ``attempt`` counts from 1.  ``priority`` is for engines that honour one:
    the slack in ms, so that a smaller one goes first.  A ``hedge`` runs
    beside an earlier attempt; the first whole answer wins.
    """

    ticket: Ticket
    work: work.Work
    upstream: str
    attempt: int
    priority: int
    hedge: bool = False


class Queued(NamedTuple):
    """Accepted, and waiting; ``wait`` is the predicted wait in ms."""

    request: str
    wait: clock.Ms


class Refuse(NamedTuple):
    """Give an accepted request its final answer now."""

    request: str
    refusal: refusal.Refusal


class Cancel(NamedTuple):
    """Stop an attempt that nobody waits for any more."""

    ticket: Ticket
    upstream: str


Decision = Start | Refuse | Cancel

#: What becomes of a request that has just arrived.
Verdict = Start | Queued | refusal.Refusal
