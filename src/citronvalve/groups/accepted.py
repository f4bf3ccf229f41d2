"""An engine's answer that accepts an order."""

from typing import NamedTuple

from citronvalve.groups import holding


class Accepted(NamedTuple):
    """The order was accepted; ``holding`` is the state after it."""

    holding: holding.Holding
