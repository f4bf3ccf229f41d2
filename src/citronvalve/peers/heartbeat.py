"""The short form in which a known member's heartbeat travels."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """A heartbeat, with the table version that its sender confirms."""

    name: str
    incarnation: int
    counter: int
    version: int
