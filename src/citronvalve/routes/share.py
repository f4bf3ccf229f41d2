"""One part of a split between services."""

from typing import NamedTuple


class Share(NamedTuple):
    """A service and its weight against the other shares of the route."""

    service: str
    weight: float
