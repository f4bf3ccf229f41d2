"""A request that was accepted, and the attempts at it."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.policy import candidate
from citronvalve.policy import decision
from citronvalve.policy import estimate
from citronvalve.policy import fairshare
from citronvalve.policy import work


class Entry:
    """One accepted request, until it has its one end.

    :param item: the request.
    :param expected: its service time.
    :param suspect: whether an upstream was already lost with it.
    """

    __slots__ = (
        "attempt_by_ticket",
        "attempts",
        "excluded_upstreams",
        "expected",
        "failed_upstreams",
        "is_long",
        "predicted_wait",
        "queue_item",
        "queued_at",
        "ran",
        "suspect",
        "work",
    )

    def __init__(
        self, item: work.Work, expected: estimate.Expected, suspect: bool
    ) -> None:
        self.work = item
        self.expected = expected
        self.suspect = suspect
        #: As it was when it last started.
        self.is_long = False
        #: The wait that was predicted when it was queued, and when it was.
        self.predicted_wait: clock.Ms | None = None
        self.queued_at: clock.Ms = 0
        self.attempts = 0
        self.ran = ran.Ran.NO
        #: Upstreams that failed it; another attempt goes elsewhere if it
        #: can, and to those that answered wrongly it never goes again.
        self.failed_upstreams: set[str] = set()
        self.excluded_upstreams: set[str] = set()
        self.queue_item: fairshare.QueuedRequest | None = None
        self.attempt_by_ticket: dict[decision.Ticket, Attempt] = {}

    def would_be_late(self, now: clock.Ms) -> bool:
        """Tell whether it would be late if it started now.

        :param now: monotonic ms.
        """
        return now + self.expected.bound > self.work.deadline


class Attempt(NamedTuple):
    """One run of a request on one upstream.

    ``suspect`` is as it was at the start: it is what was counted.
    """

    ticket: decision.Ticket
    entry: Entry
    candidate: candidate.Candidate
    started: clock.Ms
    hedge: bool
    suspect: bool
