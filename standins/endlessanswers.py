"""Answers without end, for a scripted runner."""

import time

from standins import answerparts

#: Seconds after which a runner ends such an answer by itself.
_LONGEST = 30

#: Bytes that are sent at once.
_FLOOD = 65_536


class EndlessAnswers:
    """Sends bytes until the caller closes; the runner makes the heads."""

    def _flood(self, sock, piece: bytes, seconds: float = _LONGEST) -> bool:
        """Send the same bytes until the caller closes."""
        many = piece * (1 + _FLOOD // len(piece))
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            sock.sendall(many)
        return False

    def _endless_head(self, sock, fields) -> bool:
        sock.sendall(self._head(fields)[:-2])
        return self._flood(sock, b"X-More: and more\r\n")

    def _endless_preliminary(self, sock, fields) -> bool:
        return self._flood(sock, b"HTTP/1.1 103 Early Hints\r\n\r\n")

    def _endless_others(self, sock, fields) -> bool:
        extra = "Content-Length: 5\r\n"
        other = self._head(fields, extra=extra, number="old") + b"other"
        return self._flood(sock, other)

    def _endless_body(self, sock, fields) -> bool:
        extra = "Content-Length: 99999999999\r\n"
        sock.sendall(self._head(fields, extra=extra))
        return self._flood(sock, b"more")

    def _endless_unframed(self, sock, fields) -> bool:
        sock.sendall(self._head(fields, extra="Connection: close\r\n"))
        return self._flood(sock, b"more")

    def _endless_chunk_size(self, sock, fields) -> bool:
        extra = "Transfer-Encoding: chunked\r\n"
        sock.sendall(self._head(fields, extra=extra) + b"5;")
        return self._flood(sock, b"more")

    def _endless_trailers(self, sock, fields) -> bool:
        extra = "Transfer-Encoding: chunked\r\n"
        sock.sendall(self._head(fields, extra=extra) + b"0\r\n")
        return self._flood(sock, b"X-More: and more\r\n")

    def _endless_failure(self, sock, fields) -> bool:
        extra = "Content-Length: 99999999999\r\n"
        sock.sendall(self._head(fields, 500, extra))
        return self._flood(sock, b"more")

    def _endless_rejection(self, sock, fields) -> bool:
        extra = "X-Not-Run: 1\r\nContent-Length: 99999999999\r\n"
        sock.sendall(self._head(fields, 503, extra))
        return self._flood(sock, b"more")

    def _endless_event(self, sock, fields) -> bool:
        sock.sendall(self._stream_head(fields))
        return self._flood(sock, answerparts.chunk(b"data: more\n"))

    def _three_then_endless(self, sock, fields) -> bool:
        sock.sendall(self._stream_head(fields))
        sock.sendall(b"".join(self._events(fields, until=3)))
        return self._flood(sock, answerparts.chunk(b"more" * 1_000))

    def _endless_returns(self, sock, fields) -> bool:
        sock.sendall(self._stream_head(fields))
        return self._flood(sock, answerparts.chunk(b"\r"))

    def _endless_events_for_a_second(self, sock, fields) -> bool:
        extra = "X-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n"
        sock.sendall(self._head(fields, 503, extra))
        return self._flood(sock, answerparts.chunk(b"m"), seconds=1.0)
