"""Orders to runners and their results."""

import enum
from typing import NamedTuple

from citronvalve.replicas import membership


class OrderKind(enum.StrEnum):
    """What a runner is ordered to do."""

    #: Become a member of a group.
    JOIN = "join"
    #: As the head of a ready group, start to serve.
    OPEN = "open"
    #: As the head, finish running requests and accept no more.
    CLOSE = "close"
    #: As the head, abort running requests and accept no more.
    CUT = "cut"
    #: Leave a group at once.
    LEAVE = "leave"
    #: Load a model's weights to the host.
    STAGE = "stage"


class Reason(enum.StrEnum):
    """Why an order is given, for the log."""

    #: A new replica is formed, or opened once all members are ready.
    FORMED = "formed"
    #: A host gets weights that it may need next.
    STAGED = "staged"
    #: The head is leaving or has left the list.
    HEAD_LEAVES = "head leaves"
    #: A member is leaving, and a spare can take its place.
    MEMBER_LEAVES = "member leaves"
    #: A member is lost or has left the list.
    MEMBER_GONE = "member gone"
    #: The head is lost.
    HEAD_LOST = "head lost"
    #: Its runners are to form a replica of another model.
    EXCHANGED = "exchanged"
    #: It is being closed, by this leader or an earlier one.
    CLOSING = "closing"
    #: It was closed before it opened.
    RELEASED = "released"
    #: It did not form in time.
    ABANDONED = "abandoned"


class Order(NamedTuple):
    """An order to one runner.

    ``runner`` is its id.  ``members`` are ids, the head first; only a join
    has them.  ``why`` stays with the leader.
    """

    kind: OrderKind
    runner: str
    key: membership.GroupKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()
    why: Reason = Reason.FORMED


class Probe(NamedTuple):
    """A check whether a runner, given by its id, is alive."""

    runner: str


class OrderResult(enum.Enum):
    """The result of an order."""

    #: The runner has started to carry it out.
    ACCEPTED = enum.auto()
    #: The runner is in the ordered state already.
    HOLDS = enum.auto()
    #: The order does not fit the runner's state, or its epoch is too low.
    REFUSED = enum.auto()
    #: No answer; the order may still be carried out later.
    SILENT = enum.auto()
