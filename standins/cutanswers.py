"""A server whose answers end early."""

import eventlet
from eventlet.green import socket

from standins import answerparts


class CutAnswers:
    """Sends a part of one answer to each request, and ends the connection.

    :ivar address: host:port.
    :ivar answer: the whole answer, as bytes.
    :ivar sent: how many of them are sent.
    :ivar is_reset: whether the connection is reset, not closed.
    """

    def __init__(self) -> None:
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._socket.getsockname()[1]
        self.answer = b""
        self.sent = 0
        self.is_reset = False
        self._task = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop listening."""
        self._task.kill()
        self._socket.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self._socket.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        if not _read_request(sock):
            sock.close()
            return
        sock.sendall(self.answer[: self.sent])
        if self.is_reset:
            # What was sent is read before the reset arrives.
            eventlet.sleep(0.002)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, answerparts.RESET
            )
        sock.close()


def _read_request(sock: socket.socket) -> bool:
    """Read a request with a length; return whether it came whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        if not (piece := sock.recv(65_536)):
            return False
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    _, found, rest = head.lower().partition(b"content-length:")
    length = int(rest.partition(b"\r\n")[0]) if found else 0
    while len(body) < length:
        if not (piece := sock.recv(65_536)):
            return False
        body += piece
    return True
