"""Long answers of a scripted runner, which sees when they aren't read."""

import time

import eventlet
from eventlet.green import socket

from standins import answerparts

#: Bytes that the kernel holds of an answer that isn't read.
_BUFFER = 4_096


class LongAnswers:
    """Answers of a stated size and pace.

    :ivar events: of a stream.
    :ivar interval: seconds between two.
    :ivar size: bytes of an event, and of a whole answer.
    :ivar longest_unread: seconds for which a part of an answer waited.
    :ivar whole: answers that were taken whole.
    """

    events = 50
    interval = 0.02
    size = 4_096
    longest_unread = 0.0
    whole = 0

    def _long_stream(self, sock, fields) -> bool:
        self.runs += 1
        self._limit(sock)
        sock.sendall(self._stream_head(fields))
        first = int(fields.get("last-event-id", 0)) + 1
        began = time.monotonic()
        for turn, number in enumerate(range(first, self.events + 1), 1):
            event = answerparts.event(number, self.size)
            self._send(sock, answerparts.chunk(event))
            rest = began + turn * self.interval - time.monotonic()
            eventlet.sleep(max(0.0, rest))
        self._send(sock, b"0\r\n\r\n")
        self.whole += 1
        return True

    def _large(self, sock, fields) -> bool:
        self.runs += 1
        self._limit(sock)
        extra = f"Content-Length: {self.size}\r\n"
        self._send(sock, self._head(fields, extra=extra) + b"x" * self.size)
        self.whole += 1
        return True

    def _limit(self, sock) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER)

    def _send(self, sock, data) -> None:
        began = time.monotonic()
        try:
            sock.sendall(data)
        finally:
            took = time.monotonic() - began
            self.longest_unread = max(self.longest_unread, took)
