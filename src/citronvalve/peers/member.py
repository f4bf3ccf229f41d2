"""The membership record of a daemon."""

import enum
from typing import NamedTuple


class MemberState(enum.IntEnum):
    """State of a member; a suspicion is local and not spread."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """A daemon; a restart or being declared dead raises ``incarnation``.

    ``heartbeat`` rises while it runs, ``version`` is the version of its
    table.
    """

    name: str
    datacentre: str
    address: str
    incarnation: int
    heartbeat: int = 0
    version: int = 0
    state: MemberState = MemberState.ALIVE
