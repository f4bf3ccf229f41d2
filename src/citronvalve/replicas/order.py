"""Orders to runners, and what they say to them."""

import enum
from typing import NamedTuple

from citronvalve.replicas import membership


class OrderKind(enum.StrEnum):
    """What a runner is told to do."""

    #: Become a member of a group.
    JOIN = "join"
    #: As the head of a ready group, begin to serve.
    OPEN = "open"
    #: As the head, finish what runs and take no more.
    CLOSE = "close"
    #: As the head, cut what runs and take no more.
    CUT = "cut"
    #: Drop out of a group at once.
    LEAVE = "leave"
    #: Bring a model's weights to the host.
    STAGE = "stage"


class Order(NamedTuple):
    """``members`` are ids, the head first; empty but for a join."""

    kind: OrderKind
    runner: str
    key: membership.GroupKey | None = None
    model: str = ""
    members: tuple[str, ...] = ()


class Probe(NamedTuple):
    """A runner is to be asked whether it is there."""

    runner: str


class OrderResult(enum.Enum):
    """What came back of an order."""

    #: It has begun.
    ACCEPTED = enum.auto()
    #: The state holds already.
    HOLDS = enum.auto()
    #: It does not fit the runner's state, or its epoch is too low.
    REFUSED = enum.auto()
    #: No answer; it may be carried out later.
    SILENT = enum.auto()
