"""Settings by which a daemon finds its peers."""

from typing import NamedTuple

from citronvalve.peers import timing as timings


class PeerSettings(NamedTuple):
    """Identity, addresses and keys of a daemon.

    ``name`` is unique in the fleet.  ``address`` is ``tcp://IP:PORT``, where
    peers reach it; ``seeds`` are addresses of other daemons, one of which
    has to answer.  ``expected_daemons`` is how many daemons the data centre
    should have, or 0 if unknown: members that restart in a network partition
    then lend no more than their share.  ``public_key`` and ``secret_key``
    are the fleet's CURVE key pair in Z85; empty means no keys.
    ``allowed_keys`` are accepted as well while the pair is rotated.
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
