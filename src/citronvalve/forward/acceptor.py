"""A listening port for HTTP and the connections on it."""

from collections.abc import Callable
import functools
import socket

import eventlet

from citronvalve.forward import callerconnection
from citronvalve.forward import environment as environments
from citronvalve.forward import portlistener
from citronvalve.policy import memoryaccount
from citronvalve.policy import stopschedule
from citronvalve.routes import callerlimits

#: Connections that the kernel queues until they are accepted.  A burst of
#: callers must not overflow the queue, since a dropped SYN is retransmitted
#: only after a second.
_BACKLOG = 1_024

#: Part of the connections, 1 / n, that are closed as idle at once when there
#: is no room for another one.
_CLOSED_PART = 16


#: Bytes that a connection takes beside bodies: its task, parser and sockets.
_CONNECTION_BYTES = 13 * 1024

_PART = memoryaccount.Part.CONNECTIONS


class Acceptor:
    """Serves each connection on a green thread of its own.

    :param address: host:port.
    :param env: the daemon's environment.
    :param limits: returns the callers' limits in force.
    :param handler: answers a request.
    :param most: connections at a time; 0 if there is no bound.
    :param watches: whether a handler is interrupted once its caller leaves.
    :param send_buffer: bytes that the kernel holds unread for a caller, 0
        for its choice.
    :raises errors.SettingsError: when the address can't be bound.
    """

    def __init__(
        self,
        address: str,
        env: environments.Environment,
        limits: Callable[[], callerlimits.CallerLimits],
        handler: callerconnection.Handler,
        most: int = 0,
        watches: bool = True,
        send_buffer: int = 0,
    ) -> None:
        self._env = env
        self._limits = limits
        self._handler = handler
        self._most = most
        self._watches = watches
        # Ordered by age.
        self._connections: dict[callerconnection.CallerConnection, None] = {}
        self._listener = portlistener.PortListener(
            address, _BACKLOG, env, self._admit, send_buffer
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
        # Connections that were accepted last have not begun to read.
        eventlet.sleep(0)
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _has_room(self) -> bool:
        """Return whether another connection fits, after others were closed.

        The files that a process may have open also serve upstreams and other
        daemons.  A caller whose new connection is closed tries another daemon.
        """
        is_within = not self._most or len(self._connections) < self._most
        if is_within and not self._env.memory.is_full:
            return True
        most = min(
            self._most or len(self._connections), len(self._connections)
        )
        wanted = max(1, most // _CLOSED_PART)
        closed = 0
        for connection in list(self._connections):
            if closed < wanted and connection.close_if_idle():
                closed += 1
        if not is_within and not closed:
            self._close_longest_reading()
        # Their tasks end once the hub has seen that the sockets are closed,
        # between the two.
        eventlet.sleep(0)
        eventlet.sleep(0)
        # Without memory a request is refused, which tells its caller more.
        return not self._most or len(self._connections) < self._most

    def _close_longest_reading(self) -> None:
        """Close the connection whose request has been incomplete longest."""
        since_by_connection = {
            connection: connection.reading_since
            for connection in self._connections
            if connection.reading_since is not None
        }
        if not since_by_connection:
            return
        longest = min(since_by_connection, key=since_by_connection.__getitem__)
        waited = self._env.clock.now() - since_by_connection[longest]
        # The rest of an ordinary request comes soon.
        if waited >= stopschedule.FIRST_REQUEST_TIME:
            longest.close()
            self._env.metrics.record_ended_reading()
            self._env.log.note(
                "connection ended", why="room for others", waited_ms=waited
            )

    def _admit(self, sock: socket.socket) -> portlistener.Serve | None:
        if not self._has_room():
            self._env.log.change(
                "not accepted", why=f"{len(self._connections)} are open"
            )
            return None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = callerconnection.CallerConnection(
            sock, self._env, self._limits, self._handler, self._watches
        )
        self._connections[connection] = None
        self._env.memory.add(_PART, _CONNECTION_BYTES)
        return functools.partial(self._serve, connection)

    def _serve(self, connection: callerconnection.CallerConnection) -> None:
        try:
            connection.run()
        finally:
            del self._connections[connection]
            self._env.memory.add(_PART, -_CONNECTION_BYTES)
