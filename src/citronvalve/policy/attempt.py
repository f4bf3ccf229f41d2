"""Requests in progress and the attempts at them."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import ran
from citronvalve.policy import candidate
from citronvalve.policy import decision
from citronvalve.policy import estimate
from citronvalve.policy import fairshare
from citronvalve.policy import work


class Entry:
    """The state of one request from its arrival to its end.

    :param item: the request.
    :param expected: its expected service time.
    :param suspect: whether it may have crashed an upstream.
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
        #: Whether it counted as long work when it last started.
        self.is_long = False
        #: The predicted wait, and when it was queued.
        self.predicted_wait: clock.Ms | None = None
        self.queued_at: clock.Ms = 0
        self.attempts = 0
        self.ran = ran.Ran.NO
        #: Upstreams where an attempt failed, which a retry avoids if there
        #: is an alternative; and those with a diverged answer, which it
        #: never uses again.
        self.failed_upstreams: set[str] = set()
        self.excluded_upstreams: set[str] = set()
        self.queue_item: fairshare.QueuedRequest | None = None
        self.attempt_by_ticket: dict[decision.Ticket, Attempt] = {}

    def would_be_late(self, now: clock.Ms) -> bool:
        """Return whether it would miss its deadline if it started now.

        :param now: monotonic ms.
        """
        return now + self.expected.bound > self.work.deadline


class Attempt(NamedTuple):
    """One run of a request on one upstream.

    ``suspect`` keeps the value at the start, since the upstream's count of
    suspects has to be lowered by the same value.
    """

    ticket: decision.Ticket
    entry: Entry
    candidate: candidate.Candidate
    started: clock.Ms
    hedge: bool
    suspect: bool
