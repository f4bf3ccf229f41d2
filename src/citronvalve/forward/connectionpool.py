"""Connections to upstreams that are kept between exchanges."""

import collections
import socket

from eventlet.green import socket as green_socket

from citronvalve.forward import exchangeerror
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock

#: A connection to a sound upstream opens within some ms; a first packet that
#: was dropped is sent again after a second, which is too late.
_CONNECT_TIMEOUT: clock.Ms = 400

#: Kept when an upstream does not say how long it keeps its side.
_DEFAULT_KEEP_ALIVE: clock.Ms = 4_000

#: Upstreams may close a little sooner than they say.
_KEEP_ALIVE_MARGIN: clock.Ms = 1_000

#: What may not be repeated goes on a connection that was used this lately,
#: or on a new one: on an older one the other side's close may be on its way,
#: and then nobody could say whether the request was run.
_MAX_IDLE_NON_RETRYABLE: clock.Ms = 1_000

#: Connections kept to one upstream; a replica runs 13 to 24 at once and
#: several daemons share it.
_MAX_IDLE_PER_UPSTREAM = 8

_TCP_USER_TIMEOUT: clock.Ms = 10_000


class ConnectionPool:
    """Opens connections and keeps idle ones by address.

    :param now: the clock.
    :ivar opened: how many were opened.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._idle_by_address: dict[str, collections.deque] = {}
        self.opened = 0

    def acquire(
        self, address: str, repeatable: bool
    ) -> upstreamconnection.UpstreamConnection:
        """Return a connection that is ready for a request.

        :param address: host:port.
        :param repeatable: whether the request may be sent again.
        :raises linkerror.LinkError: unreached; nothing was sent.
        """
        now = self._clock.now()
        idle = self._idle_by_address.get(address)
        while idle:
            connection, idle_since = idle.pop()
            is_fresh = (
                repeatable or now - idle_since <= _MAX_IDLE_NON_RETRYABLE
            )
            if (
                is_fresh
                and now < connection.reusable_until
                and connection.is_idle()
            ):
                return connection
            connection.close()
        return self._open(address)

    def release(
        self,
        address: str,
        connection: upstreamconnection.UpstreamConnection,
        keep_alive: int,
    ) -> None:
        """Keep a connection after a whole exchange, if it can be kept.

        :param address: host:port.
        :param link: the connection.
        :param kept: seconds that the upstream says it keeps it, or 0.
        """
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if (
            len(idle) >= _MAX_IDLE_PER_UPSTREAM
            or not connection.prepare_reuse()
        ):
            connection.close()
            return
        now = self._clock.now()
        lifetime = (
            keep_alive * clock.SECOND - _KEEP_ALIVE_MARGIN
            if keep_alive
            else _DEFAULT_KEEP_ALIVE
        )
        connection.reusable_until = now + max(
            lifetime, _KEEP_ALIVE_MARGIN // 2
        )
        idle.append((connection, now))

    def check_listening(self, address: str) -> None:
        """Find out whether anybody still listens at an address.

        The connection that is opened for it is kept for the next request.

        :param address: host:port.
        :raises linkerror.LinkError: when nobody does.
        """
        connection = self._open(address)
        connection.reusable_until = self._clock.now() + _DEFAULT_KEEP_ALIVE
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append((connection, self._clock.now()))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        One that went silent tells of the others: something between may
        have lost track of all of them, while new ones work.

        :param address: host:port.
        """
        for connection, _ in self._idle_by_address.pop(address, ()):
            connection.close()

    def _open(self, address: str) -> upstreamconnection.UpstreamConnection:
        host, _, port = address.rpartition(":")
        sock = green_socket.socket()
        sock.settimeout(_CONNECT_TIMEOUT / clock.SECOND)
        try:
            sock.connect((host, int(port)))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT
            )
        except ConnectionRefusedError as error:
            sock.close()
            raise exchangeerror.ExchangeError(
                exchangeerror.ExchangeFailure.REFUSED, str(error)
            ) from error
        except OSError as error:
            sock.close()
            raise exchangeerror.ExchangeError(
                exchangeerror.ExchangeFailure.UNREACHED, str(error)
            ) from error
        self.opened += 1
        return upstreamconnection.UpstreamConnection(sock, self._clock)
