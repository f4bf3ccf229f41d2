"""What a daemon must be told to find its peers."""

from typing import NamedTuple

from citronvalve.peers import timing as timings


class PeerSettings(NamedTuple):
    """A daemon among its peers.

    ``name`` is unique in the fleet.  ``address`` is ``tcp://IP:PORT``, where
    peers reach it; ``seeds`` are addresses of any other daemons, of which
    one that answers is enough.  ``expected`` is how many daemons the data
    centre should have, 0 when nobody says: a part of them that starts anew
    behind a cut then lends no more than its part.  ``public_key`` and
    ``secret_key`` are the fleet's CURVE pair in Z85; empty means no keys.
    ``allowed_keys`` are let in beside it, while the pair is being changed.
    """

    name: str
    datacentre: str
    address: str
    seeds: tuple[str, ...] = ()
    timing: timings.Timing = timings.Timing()
    expected_daemons: int = 0
    public_key: str = ""
    secret_key: str = ""
    allowed_keys: tuple[str, ...] = ()
