"""The callers' listening socket and the connections on it."""

from collections.abc import Callable
import socket

import eventlet

from citronvalve.forward import callerconnection
from citronvalve.forward import environment as environments
from citronvalve.forward import portlistener
from citronvalve.routes import callerlimits

#: Connections that the kernel queues until they are accepted.  A burst of
#: callers must not overflow the queue, since a dropped SYN is retransmitted
#: only after a second.
_BACKLOG = 1_024

#: Bytes of a response that the kernel buffers for a slow caller.
_SEND_BUFFER = 65_536


class Acceptor:
    """Serves each connection on a green thread of its own.

    :param address: host:port.
    :param env: the daemon's environment.
    :param limits: returns the callers' limits in force.
    :param handler: answers a request.
    :raises errors.SettingsError: when the address can't be bound.
    """

    def __init__(
        self,
        address: str,
        env: environments.Environment,
        limits: Callable[[], callerlimits.CallerLimits],
        handler: callerconnection.Handler,
    ) -> None:
        self._env = env
        self._limits = limits
        self._handler = handler
        self._connections: set[callerconnection.CallerConnection] = set()
        self._listener = portlistener.PortListener(
            address, _BACKLOG, env, self._serve
        )

    @property
    def address(self) -> str:
        """Return host:port with the actual port, also if port 0 was given."""
        return self._listener.address

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        self._listener.start()

    def close(self) -> None:
        """Stop accepting, and close the connections that are idle."""
        self._listener.close()
        # Connections that were accepted last are not counted yet.
        eventlet.sleep(0)
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = callerconnection.CallerConnection(
            sock, self._env, self._limits, self._handler
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
