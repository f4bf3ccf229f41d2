"""Accepts only peers that hold a key of the fleet."""

from collections.abc import Iterable

import eventlet
from eventlet.green import zmq
from zmq.utils import z85

#: Address of the handler in the ZeroMQ Authentication Protocol (RFC 27).
_ENDPOINT = "inproc://zeromq.zap.01"


class Authenticator:
    """Handles libzmq's authentication requests by the client's key.

    CURVE alone accepts any client that knows the server's public key, which
    is not secret.  A client with the fleet's public key has proved that it
    holds the secret key.

    :param context: the context of the sockets to protect.
    :param keys: the accepted public keys in Z85.
    :ivar refused: number of connections refused.
    """

    def __init__(self, context: zmq.Context, keys: Iterable[str]) -> None:
        self._keys = {z85.decode(key.encode()) for key in keys}
        self._socket = context.socket(zmq.REP)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.bind(_ENDPOINT)
        self.refused = 0
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop handling requests."""
        self._thread.kill()
        self._socket.close()

    def _run(self) -> None:
        while True:
            frames = self._socket.recv_multipart()
            self._socket.send_multipart(self._answer(frames))

    def _answer(self, frames: list[bytes]) -> list[bytes]:
        version, request = frames[0], frames[1]
        known = frames[5] == b"CURVE" and frames[6] in self._keys
        if known:
            return [version, request, b"200", b"OK", b"fleet", b""]
        self.refused += 1
        return [version, request, b"400", b"unknown key", b"", b""]
