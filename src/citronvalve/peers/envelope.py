"""What every message between daemons is wrapped in."""

import enum
from typing import NamedTuple

import msgspec

#: Raised when a message changes its meaning.  Fields may be added at the end
#: with a default without raising it.
PROTOCOL = 1


class Kind(enum.IntEnum):
    """Which type the body has."""

    GOSSIP = 0
    TABLE_ASK = 1
    TABLE_PAGE = 2
    NOTICE = 3
    ASK = 4
    LENT = 5


class Sender(NamedTuple):
    """Who speaks, from which life, and where answers go."""

    name: str
    datacentre: str
    incarnation: int
    address: str


class Envelope(NamedTuple):
    """A message as it travels; the body is decoded once the rest is good."""

    protocol: int
    kind: Kind
    sender: Sender
    body: msgspec.Raw
