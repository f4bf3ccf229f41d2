"""Lets in only those peers that hold the fleet's own key."""

from collections.abc import Iterable

import eventlet
from eventlet.green import zmq
from zmq.utils import z85

#: Where libzmq asks, by the ZeroMQ authentication protocol (RFC 27).
_ENDPOINT = "inproc://zeromq.zap.01"


class Authenticator:
    """Answers libzmq's question whether a client's key is known.

    CURVE alone lets anyone in who knows the server's public key, which is
    no secret.  A client proves here that it holds the fleet's secret key,
    since its public one is the fleet's.

    :param context: the context of the sockets to guard.
    :param keys: the public keys in Z85 that are let in.
    """

    def __init__(self, context: zmq.Context, keys: Iterable[str]) -> None:
        self._keys = {z85.decode(key.encode()) for key in keys}
        self._socket = context.socket(zmq.REP)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.bind(_ENDPOINT)
        self.refused = 0
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop answering."""
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
