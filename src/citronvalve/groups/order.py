"""Orders to engines."""

import enum
from typing import NamedTuple

from citronvalve.groups import member


class OrderKind(enum.StrEnum):
    """What an engine is told to do."""

    FORM = "form"
    LOAD = "load"
    ROLE = "role"
    CLOSE = "close"


class Order(NamedTuple):
    """One order to one VM; ``attempt`` is the same when it is repeated."""

    fence: int
    attempt: str
    kind: OrderKind
    group: str = ""
    members: tuple[member.Member, ...] = ()
    rank: int = 0
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
