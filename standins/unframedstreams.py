"""Streams without a length, for a scripted runner."""

import eventlet
from eventlet.green import socket
from eventlet import patcher

from standins import answerparts


# The monkey-patched modules would let others go on meanwhile.
_time = patcher.original("time")

#: Seconds for which the whole process stands still.
_STANDSTILL = 0.6


def stand_still(sock) -> None:
    """End a connection in a standstill of its process, peers included.

    :param sock: the connection.
    """
    sock.shutdown(socket.SHUT_RDWR)
    _time.sleep(_STANDSTILL)


class UnframedStreams:
    """Streams that end with their connection; the runner makes the heads."""

    def _unframed_events(self, sock, fields, until=6) -> None:
        self.runs += 1
        extra = "Content-Type: text/event-stream\r\nConnection: close\r\n"
        sock.sendall(self._head(fields, extra=extra))
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, until + 1):
            sock.sendall(answerparts.event(number))
            eventlet.sleep(0.005)

    def _unframed_stream(self, sock, fields) -> bool:
        self._unframed_events(sock, fields)
        return False

    def _unframed_cut_in_an_event(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=3)
        sock.sendall(answerparts.event(4)[:7])
        return False

    def _unframed_cut_before_the_blank_line(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=5)
        sock.sendall(answerparts.event(6)[:-1])
        return False

    def _unframed_pauses_and_is_cut(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=3)
        eventlet.sleep(answerparts.PAUSE)
        sock.sendall(answerparts.event(4)[:7])
        return False

    def _unframed_crashes(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=3)
        self.close()
        return False

    def _unframed_pauses_and_crashes(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=3)
        eventlet.sleep(answerparts.PAUSE)
        self.close()
        return False

    def _unframed_writes_on_and_crashes(self, sock, fields) -> bool:
        self.runs += 1
        extra = "Content-Type: text/event-stream\r\nConnection: close\r\n"
        sock.sendall(self._head(fields, extra=extra))
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, first + 8):
            sock.sendall(answerparts.event(number))
            eventlet.sleep(0.1)
        self.close()
        return False

    def _pauses_at_first_and_crashes(self, sock, fields) -> bool:
        self.runs += 1
        eventlet.sleep(answerparts.PAUSE)
        self.close()
        return False

    def _unframed_restarts_in_a_pause(self, sock, fields) -> bool:
        """Crash in the middle, and be back when its caller goes on."""
        self._unframed_events(sock, fields, until=3)
        stand_still(sock)
        return False

    def _unframed_resets(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=3)
        eventlet.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, answerparts.RESET)
        return False

    def _unframed_rests_and_resets(self, sock, fields) -> bool:
        self._unframed_events(sock, fields, until=3)
        eventlet.sleep(answerparts.PAUSE)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, answerparts.RESET)
        return False
