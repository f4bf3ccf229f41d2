"""The decisions that a handler asks for, and what it reports back."""

import abc
import enum
from typing import NamedTuple

from citronvalve.entry import work as works
from citronvalve.model import refusal
from citronvalve.upstreams import nextattempt

#: What a first try asks for.
FIRST_ATTEMPT = nextattempt.NextAttempt(0)


class Ending(enum.StrEnum):
    """How a try on an upstream ended, as the decisions need to know it."""

    WHOLE = "whole"
    #: Never sent, since no connection was made.
    NOT_RUN = "not-run"
    #: The upstream said that it did not run it.
    REFUSED = "refused"
    #: The connection broke: the upstream may have crashed of it.
    BROKEN = "broken"
    #: The upstream fell silent.
    SILENT = "silent"
    #: It answered something that could not be passed on.
    WRONG = "wrong"
    #: It contradicted what was passed on, and would do so again.
    DIVERGED = "diverged"
    #: The caller left, or its deadline passed.
    ABANDONED = "abandoned"


class Placement(NamedTuple):
    """One try: which upstream runs the work."""

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
        """Choose an upstream, after waiting in the queue if need be.

        :param work: what to place.
        :param after: which upstreams it was on before, and must never or
            should rather not go to again.
        """

    @abc.abstractmethod
    def release(self, placement: Placement, ending: Ending) -> None:
        """Report how a try ended.

        :param placement: as it was given.
        :param ending: how it ended.
        """
