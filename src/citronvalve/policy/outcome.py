"""Outcomes of attempts and their consequences."""

import enum
from typing import NamedTuple

from citronvalve.model import ran


class Outcome(enum.StrEnum):
    """How an attempt ended."""

    #: The complete answer arrived.
    DONE = "done"
    #: Not sent, since no connection could be established.
    NOT_RUN = "not-run"
    #: Not sent, since no connection was established in time.  The upstream
    #: may be lost, or only silent for a while.
    NOT_OPENED = "not-opened"
    #: The upstream rejected it as full and did not run it.
    BUSY = "busy"
    #: The connection broke; the request may have crashed the upstream.
    BROKEN = "broken"
    #: The upstream stopped sending; the request may have run.
    SILENT = "silent"
    #: The answer is invalid and can't be forwarded.
    WRONG = "wrong"
    #: The answer contradicts an earlier part of it; the request is never
    #: sent to this upstream again.
    DIVERGED = "diverged"
    #: The upstream died while it ran the attempt.
    CRASHED = "crashed"
    #: Stopped since the caller left or another attempt won.
    CANCELLED = "cancelled"


class Traits(NamedTuple):
    """What an outcome implies for the request and for the upstream.

    ``is_failure`` counts against the upstream.  ``is_fatal`` takes the
    upstream out of service, whatever share of the others is out already.
    """

    ran: ran.Ran
    is_failure: bool
    is_fatal: bool = False


TRAITS_BY_OUTCOME: dict[Outcome, Traits] = {
    Outcome.DONE: Traits(ran.Ran.YES, is_failure=False),
    Outcome.NOT_RUN: Traits(ran.Ran.NO, is_failure=True),
    Outcome.NOT_OPENED: Traits(ran.Ran.NO, is_failure=True),
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
    Outcome.NOT_OPENED,
    Outcome.BUSY,
    Outcome.BROKEN,
    Outcome.SILENT,
    Outcome.WRONG,
    Outcome.DIVERGED,
    Outcome.CRASHED,
}
