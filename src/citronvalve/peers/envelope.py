"""The envelope of every message between daemons."""

import enum
from typing import NamedTuple

import msgspec

#: Protocol version.  It is raised when the meaning of a message changes;
#: fields with a default may be added at the end without raising it.
PROTOCOL = 1


class Kind(enum.IntEnum):
    """Type of a message's body.

    The numbers are sent, and the lower-case names are part of the reasons
    under which invalid messages are counted.
    """

    GOSSIP = 0
    TABLE_ASK = 1
    TABLE_PAGE = 2
    NOTICE = 3
    ASK = 4
    LENT = 5


class Sender(NamedTuple):
    """The sending daemon; replies go to ``address``."""

    name: str
    datacentre: str
    incarnation: int
    address: str


class Envelope(NamedTuple):
    """A message on the wire; the body is decoded after the envelope."""

    protocol: int
    kind: Kind
    sender: Sender
    body: msgspec.Raw
