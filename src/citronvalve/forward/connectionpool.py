"""A pool of idle connections to upstreams."""

import collections
from collections.abc import Callable
import socket

from eventlet.green import socket as green_socket

from citronvalve.forward import exchangeerror
from citronvalve.forward import upstreamconnection
from citronvalve.model import clock

#: A healthy upstream accepts a connection within some ms; a dropped SYN is
#: retransmitted after a second, which is too late.
_CONNECT_TIMEOUT: clock.Ms = 400

#: Used when an upstream states no keep-alive timeout.
_DEFAULT_KEEP_ALIVE: clock.Ms = 4_000

#: Upstreams may close a little before their keep-alive timeout.
_KEEP_ALIVE_MARGIN: clock.Ms = 1_000

#: A request that may not be retried uses a connection that was idle for at
#: most this long, or a new one: the upstream may be closing an older one, and
#: it would be unknown whether the request ran.
_MAX_IDLE_NON_RETRYABLE: clock.Ms = 1_000

#: Idle connections per upstream; a replica runs 13 to 24 requests at once,
#: from several daemons.
_MAX_IDLE_PER_UPSTREAM = 8

_TCP_USER_TIMEOUT: clock.Ms = 10_000


class ConnectionPool:
    """Opens connections and keeps idle ones by address.

    :param time_source: the clock.
    :ivar opened: how many connections were opened.
    :ivar on_opening: called with the result of each attempt to open one:
        ``opened``, ``refused`` or ``unreached``.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._idle_by_address: dict[str, collections.deque] = {}
        self.opened = 0
        self.on_opening: Callable[[str], None] = lambda _: None

    def acquire(
        self, address: str, retryable: bool
    ) -> upstreamconnection.UpstreamConnection:
        """Return a connection that is ready for a request.

        :param address: host:port.
        :param retryable: whether the request may be retried.
        :raises exchangeerror.ExchangeError: when the upstream can't be
            connected to; nothing was sent.
        """
        now = self._clock.now()
        idle = self._idle_by_address.get(address)
        while idle:
            connection, idle_since = idle.pop()
            is_fresh = retryable or now - idle_since <= _MAX_IDLE_NON_RETRYABLE
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
        """Return a connection after a complete exchange.

        It is closed if it can't be reused.

        :param address: host:port.
        :param connection: the connection.
        :param keep_alive: the upstream's keep-alive timeout in seconds, or 0.
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
        """Check that an address accepts connections.

        The connection that is opened for it is kept for the next request.

        :param address: host:port.
        :raises exchangeerror.ExchangeError: when it does not.
        """
        connection = self._open(address)
        connection.reusable_until = self._clock.now() + _DEFAULT_KEEP_ALIVE
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append((connection, self._clock.now()))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Called when one connection went silent: a device on the path may
        have dropped the state of all of them, while new ones work.

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
            self.on_opening("refused")
            raise exchangeerror.ExchangeError(
                exchangeerror.ExchangeFailure.REFUSED, str(error)
            ) from error
        except OSError as error:
            sock.close()
            self.on_opening("unreached")
            raise exchangeerror.ExchangeError(
                exchangeerror.ExchangeFailure.UNREACHED, str(error)
            ) from error
        self.opened += 1
        self.on_opening("opened")
        return upstreamconnection.UpstreamConnection(sock, self._clock)
