"""Settings of a daemon that forwards requests for declared routes."""

from typing import NamedTuple

from citronvalve.forward import placement
from citronvalve.model import clock
from citronvalve.policy import retrybudget


class EntrySettings(NamedTuple):
    """Startup settings; addresses are ``host:port``.

    ``grace`` is the time in ms from the request to stop to the end of the
    process, ``stall`` the time in ms without progress after which a replica
    counts as broken.  ``first_start`` is set when the whole system starts
    for the first time.  Other daemons reach this one at ``peers``, and at
    ``relay`` with requests for upstreams that they have no link to; without
    that address none is relayed.  Requests leave the region for no relay:
    ``region`` names its data centres, none if there is only one region.
    ``connections`` is how many of callers may be open, 0 for any number.
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
    relay: str = ""
    region: frozenset[str] = frozenset()
    connections: int = 0
