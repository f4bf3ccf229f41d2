"""Connection pools for upstreams."""

from collections.abc import Callable
from collections.abc import Mapping

import urllib3

from citronvalve.connections import pool as pools
from citronvalve.model import clock

#: Further connections are opened and not reused.  A replica has a capacity
#: of some tens of requests, shared by all daemons.
_CONNECTIONS_PER_UPSTREAM = 32

#: Connecting within a data centre takes about a millisecond; after this
#: time the VM counts as unreachable.
CONNECT_TIMEOUT: clock.Ms = 1_000

#: Engines send a heartbeat each second; three may be missed.
IDLE_TIMEOUT: clock.Ms = 3_000


#: Called with the headers of an answer.
OnAnswer = Callable[[Mapping[str, str], int], None]


class Pools:
    """Holds one connection pool per address.

    :ivar on_sending: called with an address before a request is sent there;
        returns what is called with the headers and status of the answer.
    """

    def __init__(self) -> None:
        self.on_sending: Callable[[str], OnAnswer] = lambda _: lambda *_: None
        self._pool_by_address: dict[str, pools.ConnectionPool] = {}

    def get(self, address: str) -> pools.ConnectionPool:
        """Return the pool of an upstream, creating it on first use.

        :param address: host:port.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = pools.ConnectionPool(
                host, int(port), maxsize=_CONNECTIONS_PER_UPSTREAM, block=False
            )
            self._pool_by_address[address] = pool
        return pool

    def drop(self, address: str) -> None:
        """Close the idle connections of an upstream.

        A silent connection means that an intermediary has lost its state.
        Other connections of the same age are then dead too, and each would
        cost a caller the idle timeout; new ones work.

        :param address: host:port.
        """
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()


def timeout(
    read: clock.Ms, connect: clock.Ms = CONNECT_TIMEOUT
) -> urllib3.Timeout:
    """Return the timeouts of one HTTP call.

    :param read: longest time without a byte, in ms.
    :param connect: longest time to connect, in ms.
    """
    return urllib3.Timeout(
        connect=min(connect, read) / clock.SECOND, read=read / clock.SECOND
    )
