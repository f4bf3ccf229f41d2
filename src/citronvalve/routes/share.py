"""Shares of a route that is split between services."""

from typing import NamedTuple


class Share(NamedTuple):
    """A service and its weight relative to the route's other shares."""

    service: str
    weight: float
