"""Orders to engines."""

import enum
from typing import NamedTuple

from citronvalve.groups import member


class OrderKind(enum.StrEnum):
    """The kind of an order."""

    FORM = "form"
    LOAD = "load"
    ROLE = "role"
    CLOSE = "close"


class Order(NamedTuple):
    """An order to one VM; repeats carry the same ``attempt``."""

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
