"""An engine's answer that refuses an outdated order."""

from typing import NamedTuple


class Refused(NamedTuple):
    """The order was refused; ``fence`` is the highest the engine has seen."""

    fence: int
