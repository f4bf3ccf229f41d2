"""Interface between the handlers and the placement of requests."""

import abc
import enum
from typing import NamedTuple

from citronvalve.entry import work as works
from citronvalve.model import refusal
from citronvalve.upstreams import nextattempt

#: Starts at the beginning and may use any upstream.
FIRST_ATTEMPT = nextattempt.NextAttempt(0)


class Ending(enum.StrEnum):
    """How an attempt on an upstream ended."""

    WHOLE = "whole"
    #: No connection was established, so nothing was sent.
    NOT_RUN = "not-run"
    #: No connection was established in time, so nothing was sent.
    NOT_OPENED = "not-opened"
    #: The upstream reported that it did not run the request.
    REFUSED = "refused"
    #: The connection broke; the request may have crashed the upstream.
    BROKEN = "broken"
    #: The connection stayed open without data until the timeout.
    SILENT = "silent"
    #: The upstream sent data that could not be relayed.
    WRONG = "wrong"
    #: The text contradicted relayed text; a retry there would again.
    DIVERGED = "diverged"
    #: The caller disconnected, or its deadline passed.
    ABANDONED = "abandoned"


class Placement(NamedTuple):
    """One attempt: the upstream that runs the work."""

    work: works.Work
    upstream: str
    address: str
    fence: int = 0
    priority: int = 0


class Dispatch(abc.ABC):
    """Places work; each placement must be released exactly once."""

    @abc.abstractmethod
    def place(
        self,
        work: works.Work,
        next_attempt: nextattempt.NextAttempt = FIRST_ATTEMPT,
    ) -> Placement | refusal.Refusal:
        """Choose an upstream; waits in the queue if none has a free slot.

        :param work: what to place.
        :param next_attempt: the upstreams to exclude or avoid.
        """

    @abc.abstractmethod
    def release(self, placement: Placement, ending: Ending) -> None:
        """Report how an attempt ended.

        :param placement: as returned by ``place``.
        :param ending: how the attempt ended.
        """
