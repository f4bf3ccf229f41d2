"""How an attempt ended, and what may follow from it."""

import enum
from typing import NamedTuple

from citronvalve.model import ran


class Outcome(enum.StrEnum):
    """What the task that carried an attempt saw."""

    #: The whole answer arrived.
    DONE = "done"
    #: Never sent, since no connection came about.
    NOT_RUN = "not-run"
    #: The upstream was full, said so, and did not run it.
    BUSY = "busy"
    #: The connection broke: the upstream may have died of it.
    BROKEN = "broken"
    #: The upstream fell silent; it may have run.
    SILENT = "silent"
    #: It answered what can't be passed on.
    WRONG = "wrong"
    #: It contradicted its answer; this request never goes there again.
    DIVERGED = "diverged"
    #: The upstream died with the attempt on it.
    CRASHED = "crashed"
    #: Stopped because its caller left or another attempt won.
    CANCELLED = "cancelled"


class Traits(NamedTuple):
    """What an outcome says of the work and of the upstream.

    ``fails`` counts against the upstream; ``fatal`` means that it is gone,
    whatever share of the others is gone too.
    """

    ran: ran.Ran
    is_failure: bool
    is_fatal: bool = False


TRAITS_BY_OUTCOME: dict[Outcome, Traits] = {
    Outcome.DONE: Traits(ran.Ran.YES, is_failure=False),
    Outcome.NOT_RUN: Traits(ran.Ran.NO, is_failure=True),
    Outcome.BUSY: Traits(ran.Ran.NO, is_failure=False),
    Outcome.BROKEN: Traits(ran.Ran.UNKNOWN, is_failure=True),
    Outcome.SILENT: Traits(ran.Ran.UNKNOWN, is_failure=True),
    Outcome.WRONG: Traits(ran.Ran.UNKNOWN, is_failure=True),
    Outcome.DIVERGED: Traits(ran.Ran.UNKNOWN, is_failure=True),
    Outcome.CRASHED: Traits(ran.Ran.UNKNOWN, is_failure=True, is_fatal=True),
    Outcome.CANCELLED: Traits(ran.Ran.UNKNOWN, is_failure=False),
}

#: Outcomes after which the caller still waits for an answer.
UNANSWERED = {
    Outcome.NOT_RUN,
    Outcome.BUSY,
    Outcome.BROKEN,
    Outcome.SILENT,
    Outcome.WRONG,
    Outcome.DIVERGED,
    Outcome.CRASHED,
}
