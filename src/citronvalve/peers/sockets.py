"""The two sockets by which a daemon reaches its peers."""

import collections
from typing import NamedTuple

from eventlet.green import zmq

from citronvalve.model import clock
from citronvalve.peers import codec
from citronvalve.peers import peersettings

#: Messages queued for one peer.  A peer gets one a second, so this covers
#: some seconds; a slow or stopped peer takes no more memory, and no task
#: waits for it.
_MAX_SEND_QUEUE = 8

#: Received messages queued; ten seconds' worth in the largest data centre.
_MAX_RECEIVE_QUEUE = 512

#: A connection without traffic for the timeout is closed and reopened.  A
#: middlebox may have dropped its state silently while new connections work.
_HEARTBEAT_INTERVAL_MS = 3 * clock.SECOND
_HEARTBEAT_TIMEOUT_MS = 9 * clock.SECOND

#: Connections are closed after this time without a message to send.
_IDLE_TIMEOUT_MS = 2 * clock.MINUTE

_RECONNECT_INTERVAL_MS = 200
_MAX_RECONNECT_INTERVAL_MS = 5 * clock.SECOND


class _Connection(NamedTuple):
    """Routing id and last use of an outgoing connection."""

    routing_id: bytes
    last_used_at: clock.Ms


class Sockets:
    """Receives on one ROUTER socket and sends on another.

    One socket sends to all peers, since a socket for each of 52 costs
    memory and, on eventlet, a watcher each.  The socket sets the routing ids
    of its connections, so that a message goes to exactly one address.

    :param settings: addresses and keys.
    :param clock_: the clock.
    """

    def __init__(
        self, settings: peersettings.PeerSettings, clock_: clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock_
        self.context = zmq.Context()
        self._receiver = self._create_socket()
        self._receiver.setsockopt(zmq.RCVHWM, _MAX_RECEIVE_QUEUE)
        self._receiver.setsockopt(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
        self._sender = self._create_socket()
        self._sender.setsockopt(zmq.SNDHWM, _MAX_SEND_QUEUE)
        self._sender.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._connection_by_address: dict[str, _Connection] = {}
        self._serial = 0
        self.dropped_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        if settings.secret_key:
            self._enable_curve()

    def bind(self) -> None:
        """Listen on this daemon's address."""
        self._receiver.bind(self._settings.address)

    def receive(self) -> bytes:
        """Wait for a message while other tasks run."""
        return self._receiver.recv_multipart()[-1]

    def send(self, address: str, data: bytes) -> bool:
        """Send without blocking; return whether the message was queued.

        :param address: a peer's address.
        :param data: an encoded message.
        """
        try:
            routing_id = self._connect(address)
            self._sender.send_multipart([routing_id, data], zmq.NOBLOCK)
        except zmq.Again:
            self.dropped_by_reason["queue full"] += 1
        except zmq.ZMQError:
            self.dropped_by_reason["no connection"] += 1
        else:
            return True
        return False

    def close_idle(self) -> None:
        """Close connections that were not used lately."""
        now = self._clock.now()
        for address, connection in list(self._connection_by_address.items()):
            if now - connection.last_used_at > _IDLE_TIMEOUT_MS:
                del self._connection_by_address[address]
                self._sender.disconnect(address)

    def close(self) -> None:
        """Close both sockets."""
        self._receiver.close(linger=0)
        self._sender.close(linger=_RECONNECT_INTERVAL_MS)
        self.context.term()

    def _connect(self, address: str) -> bytes:
        now = self._clock.now()
        connection = self._connection_by_address.get(address)
        if connection is None:
            self._serial += 1
            routing_id = b"peer-%d" % self._serial
            self._sender.setsockopt(zmq.CONNECT_ROUTING_ID, routing_id)
            self._sender.connect(address)
            connection = _Connection(routing_id, now)
        self._connection_by_address[address] = connection._replace(
            last_used_at=now
        )
        return connection.routing_id

    def _create_socket(self):
        socket = self.context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        return socket

    def _enable_curve(self) -> None:
        public = self._settings.public_key.encode()
        secret = self._settings.secret_key.encode()
        for socket in (self._receiver, self._sender):
            socket.curve_publickey = public
            socket.curve_secretkey = secret
        self._receiver.curve_server = True
        self._receiver.zap_domain = b"peers"
        self._sender.curve_serverkey = public
