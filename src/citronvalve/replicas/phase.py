"""How far a runner has got in its group, as it says itself."""

import enum


class Phase(enum.StrEnum):
    """The phase of one member; a head serves only while it is open."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


#: A head in one of these may be running requests.
SERVING = frozenset({Phase.OPEN, Phase.CLOSING})
