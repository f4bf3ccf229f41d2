"""Phase of a runner in its group, as it reports itself."""

import enum


class Phase(enum.StrEnum):
    """Phase of one member; a head accepts requests only while open."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


#: Phases in which a head may be running requests.
SERVING = frozenset({Phase.OPEN, Phase.CLOSING})
