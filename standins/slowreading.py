"""Slow reading of requests, for a scripted runner."""

import eventlet
from eventlet.green import socket

#: Bytes that the kernel holds of a request that isn't read.
_BUFFER = 4_096

#: Reads a second of a runner that reads slowly.
_READS = 10


class SlowReading:
    """Reads requests, at a stated rate if there is one.

    :ivar read_rate: bytes a second, 0 for any.
    :ivar runs_at_head: whether a request runs once its head has been read.
    :ivar answers_at_head: whether it is answered then, too.
    """

    read_rate = 0
    runs_at_head = False
    answers_at_head = False

    def read_slowly(self, rate: int) -> None:
        """Read new connections at a rate.

        :param rate: bytes a second.
        """
        self.read_rate = rate
        self.set_buffer()

    def set_buffer(self) -> None:
        """Let the kernel hold little of what is unread on new connections."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER)

    def _receive(self, sock) -> bytes:
        if not self.read_rate:
            return sock.recv(65_536)
        eventlet.sleep(1 / _READS)
        return sock.recv(max(1, self.read_rate // _READS))

    def _receive_body(self, sock, begun: bytes, length: int, fields) -> bytes:
        self.runs += self.runs_at_head
        if self.answers_at_head:
            self._whole(sock, fields)
        while len(begun) < length:
            data = self._receive(sock)
            if not data:
                raise ConnectionResetError("the request was cut")
            begun += data
        return begun
