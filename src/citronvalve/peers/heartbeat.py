"""The heartbeat of a known member."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """A heartbeat counter and the table version that the member holds."""

    name: str
    incarnation: int
    counter: int
    version: int
