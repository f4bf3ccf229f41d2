"""What daemons know of each other."""

import enum
from typing import NamedTuple


class MemberState(enum.IntEnum):
    """How a member is seen; suspicion stays with who holds it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """One daemon in one life; a restart or a death raises ``incarnation``.

    ``beat`` rises while it lives, ``version`` is the table it confirms.
    """

    name: str
    datacentre: str
    address: str
    incarnation: int
    heartbeat: int = 0
    version: int = 0
    state: MemberState = MemberState.ALIVE
