"""The two sockets of a daemon among its peers."""

import collections
from typing import NamedTuple

from eventlet.green import zmq

from citronvalve.model import clock
from citronvalve.peers import codec
from citronvalve.peers import peersettings

#: Messages queued for one peer.  A peer gets one a second, so these are some
#: seconds' worth; a slow or stopped one costs no more memory than that, and
#: no task ever waits for it.
_SEND_QUEUE = 8

#: Messages queued on arrival: ten seconds' worth of a full-size data centre.
_RECEIVE_QUEUE = 512

#: A connection that carried nothing for this long is dropped and made anew:
#: something between the two ends may have lost track of it without a word,
#: while new connections work.
_HEARTBEAT_INTERVAL = 3 * clock.SECOND
_HEARTBEAT_TIMEOUT = 9 * clock.SECOND

#: Connections are closed after this time without a message to send.
_IDLE_TIMEOUT = 2 * clock.MINUTE

_RECONNECT_INTERVAL = 200
_MAX_RECONNECT_INTERVAL = 5 * clock.SECOND


class _Connection(NamedTuple):
    """An outgoing connection's routing id and last use."""

    routing_id: bytes
    used_at: clock.Ms


class Sockets:
    """Receives on one ROUTER socket and sends on another.

    One socket sends to all peers: a socket for each of 52 costs memory
    and, on eventlet, a watcher each.  It names its connections itself,
    so that a message goes to one address and to no other.

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
        self._receiver.setsockopt(zmq.RCVHWM, _RECEIVE_QUEUE)
        self._receiver.setsockopt(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
        self._sender = self._create_socket()
        self._sender.setsockopt(zmq.SNDHWM, _SEND_QUEUE)
        self._sender.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._connection_by_address: dict[str, _Connection] = {}
        self._serial = 0
        self.dropped_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        if settings.secret_key:
            self._enable_curve()

    def bind(self) -> None:
        """Start to listen at this daemon's address."""
        self._receiver.bind(self._settings.address)

    def receive(self) -> bytes:
        """Wait for a message; other tasks run meanwhile."""
        return self._receiver.recv_multipart()[-1]

    def send(self, address: str, data: bytes) -> bool:
        """Send without ever waiting; tell whether it was queued.

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
        """Close connections to addresses that are no longer written to."""
        now = self._clock.now()
        for address, held in list(self._connection_by_address.items()):
            if now - held.used_at > _IDLE_TIMEOUT:
                del self._connection_by_address[address]
                self._sender.disconnect(address)

    def close(self) -> None:
        """Close both sockets."""
        self._receiver.close(linger=0)
        self._sender.close(linger=_RECONNECT_INTERVAL)
        self.context.term()

    def _connect(self, address: str) -> bytes:
        now = self._clock.now()
        held = self._connection_by_address.get(address)
        if held is None:
            self._serial += 1
            routing_id = b"peer-%d" % self._serial
            self._sender.setsockopt(zmq.CONNECT_ROUTING_ID, routing_id)
            self._sender.connect(address)
            held = _Connection(routing_id, now)
        self._connection_by_address[address] = held._replace(used_at=now)
        return held.routing_id

    def _create_socket(self):
        socket = self.context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL)
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
