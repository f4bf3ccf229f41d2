"""Kept connections to upstreams, dropped after a silence."""

import urllib3

from citronvalve.model import clock

#: Connections kept an upstream; further ones are made and closed again.
#: A replica bears some tens of requests, shared by all daemons.
_CONNECTIONS_PER_UPSTREAM = 32

#: Making a connection inside a data centre takes about a millisecond; one
#: that takes this long meets a VM that is gone.
CONNECT_TIMEOUT: clock.Ms = 1_000

#: Engines send a heartbeat each second; three missed are a silence.
IDLE_TIMEOUT: clock.Ms = 3_000


class Pools:
    """One pool of connections an address."""

    def __init__(self) -> None:
        self._pool_by_address: dict[str, urllib3.HTTPConnectionPool] = {}

    def get(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of an upstream.

        :param address: host:port.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = urllib3.HTTPConnectionPool(
                host, int(port), maxsize=_CONNECTIONS_PER_UPSTREAM, block=False
            )
            self._pool_by_address[address] = pool
        return pool

    def drop(self, address: str) -> None:
        """Forget the kept connections of an upstream.

        One silent connection shows that something between the two ends
        lost track of it.  The others of its age are in the same state and
        would each cost a caller the idle limit; new ones work.

        :param address: host:port.
        """
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()


def timeout(
    read: clock.Ms, connect: clock.Ms = CONNECT_TIMEOUT
) -> urllib3.Timeout:
    """Return the limits of one call.

    :param read: ms without a byte.
    :param connect: ms until connected.
    """
    return urllib3.Timeout(
        connect=min(connect, read) / clock.SECOND, read=read / clock.SECOND
    )
