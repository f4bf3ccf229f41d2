"""Settings of a daemon that forwards requests for declared routes."""

from typing import NamedTuple

from citronvalve.forward import placement
from citronvalve.model import clock
from citronvalve.policy import retrybudget


class Machine(NamedTuple):
    """What the VM of a daemon has; 0 is unknown.

    ``memory`` is the most bytes of the process, ``processors`` the cores'
    time that it may take in a second, ``link`` bytes per ms.
    """

    memory: int = 0
    processors: float = 0.0
    link: float = 0.0


class Features(NamedTuple):
    """What a deployment asks for beyond the usual; names as in settings.

    ``fair_shares``: replica pools are shared among teams, and excess is
    refused by what callers get for a replica's time.
    ``even_load``: daemons spread requests by the age of what they know.
    ``local_rooms``: demand and replicas are weighed by data centre.
    ``slow_peers``: callers and upstreams may read slowly, and what is held
    for them counts.
    """

    fair_shares: bool = False
    even_load: bool = False
    local_rooms: bool = False
    slow_peers: bool = False


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
    machine: Machine = Machine()
    features: Features = Features()
