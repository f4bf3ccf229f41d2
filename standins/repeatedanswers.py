"""Ways of a scripted runner that answers a request a second time, late."""

import eventlet

#: Seconds after which an answer comes again.
_LATE = 0.02

#: Seconds that a run takes; a repeated answer comes within it.
_WORK = 0.15


class RepeatedAnswers:
    """What such runners send; mixed into the scripted runner."""

    def _is_another_twice(self, sock, fields) -> bool:
        again = self._head(fields, 421, "Content-Length: 0\r\n")
        eventlet.spawn_after(_LATE, _send_again, sock, again)
        return self._is_another(sock, fields)

    def _turns_away_twice(self, sock, fields) -> bool:
        extra = "X-Not-Run: 1\r\nContent-Length: 0\r\n"
        again = self._head(fields, 503, extra)
        eventlet.spawn_after(_LATE, _send_again, sock, again)
        return self._turns_away(sock, fields)

    def _accepts_an_order_twice(self, sock, fields) -> bool:
        answer = self._head(fields, 202, "Content-Length: 0\r\n")
        return self._send_twice(sock, answer)

    def _refuses_an_order_twice(self, sock, fields) -> bool:
        body = b'{"accepted":false,"fence":7}'
        extra = f"Content-Length: {len(body)}\r\n"
        return self._send_twice(sock, self._head(fields, 409, extra) + body)

    def _send_twice(self, sock, answer: bytes) -> bool:
        eventlet.spawn_after(_LATE, _send_again, sock, answer)
        sock.sendall(answer)
        return True

    def _works_a_moment(self, sock, fields) -> bool:
        self.runs += 1
        body = b"answer of " + self._name.encode()
        eventlet.sleep(_WORK)
        extra = f"Content-Length: {len(body)}\r\n"
        sock.sendall(self._head(fields, extra=extra) + body)
        return True


def _send_again(sock, answer: bytes) -> None:
    try:
        sock.sendall(answer)
    except OSError:
        # Its caller has closed the connection.
        return
