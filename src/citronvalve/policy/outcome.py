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
    fails: bool
    fatal: bool = False


TRAITS_BY_OUTCOME: dict[Outcome, Traits] = {
    Outcome.DONE: Traits(ran.Ran.YES, fails=False),
    Outcome.NOT_RUN: Traits(ran.Ran.NO, fails=True),
    Outcome.BUSY: Traits(ran.Ran.NO, fails=False),
    Outcome.BROKEN: Traits(ran.Ran.UNKNOWN, fails=True),
    Outcome.SILENT: Traits(ran.Ran.UNKNOWN, fails=True),
    Outcome.WRONG: Traits(ran.Ran.UNKNOWN, fails=True),
    Outcome.DIVERGED: Traits(ran.Ran.UNKNOWN, fails=True),
    Outcome.CRASHED: Traits(ran.Ran.UNKNOWN, fails=True, fatal=True),
    Outcome.CANCELLED: Traits(ran.Ran.UNKNOWN, fails=False),
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
