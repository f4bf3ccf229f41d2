"""The answer of an engine that refuses an old order."""

from typing import NamedTuple


class Refused(NamedTuple):
    """The order was not taken; ``fence`` is the highest the engine saw."""

    fence: int
