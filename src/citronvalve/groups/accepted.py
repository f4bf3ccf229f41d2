"""The answer of an engine that took an order."""

from typing import NamedTuple

from citronvalve.groups import holding


class Accepted(NamedTuple):
    """The order was taken; ``holding`` is what the engine holds now."""

    holding: holding.Holding
