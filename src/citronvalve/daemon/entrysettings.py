"""What a daemon that forwards for declared routes is told at its start."""

from typing import NamedTuple

from citronvalve.forward import placement
from citronvalve.model import clock
from citronvalve.policy import retrybudget


class EntrySettings(NamedTuple):
    """Addresses are ``host:port``.

    ``grace`` is the time in ms from the request to stop to the end of the
    process, ``stall`` that until a replica which stands still is broken.
    ``first_start`` tells that the whole system starts for the first time.
    """

    name: str
    datacentre: str
    callers: str
    operators: str
    peers: str
    repeats: retrybudget.RetryLimits
    cold: placement.ColdLimits
    grace: clock.Ms
    stall: clock.Ms
    first_start: bool
