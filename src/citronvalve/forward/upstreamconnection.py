"""One connection to an upstream, for one exchange at a time."""

import contextlib
import socket

import eventlet
import h11

from citronvalve.forward import exchangeerror
from citronvalve.forward import headers
from citronvalve.forward import receiving
from citronvalve.model import clock

_READ_SIZE = 65_536

#: Bodies up to this fit into a socket's buffer and are sent in one go.
#: Longer ones are sent beside the reading, since an upstream may answer
#: before it has read them.
_MAX_INLINE_SEND = 16_384

_Failure = exchangeerror.ExchangeFailure


class UpstreamConnection:
    """An h11 client on one socket.

    :param sock: connected.
    :param now: the clock.
    :ivar kept_until: monotonic ms until which it may be used again.
    :ivar used: whether an exchange on it has ended well.
    """

    def __init__(self, sock: socket.socket, time_source: clock.Clock) -> None:
        self._sock = sock
        self._clock = time_source
        self._parser = h11.Connection(h11.CLIENT)
        self._method = b"GET"
        self._sender: eventlet.greenthread.GreenThread | None = None
        self.reusable_until: clock.Ms = 0
        self.used = False

    def send(
        self,
        method: bytes,
        target: bytes,
        head: list[headers.Header],
        body: bytes,
    ) -> None:
        """Send a request with our own framing.

        :param method: as the caller sent it.
        :param target: path and query, as the caller sent them.
        :param head: without framing.
        :param body: the whole body.
        :raises linkerror.LinkError: when the connection is gone.
        """
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            head = [*head, (b"content-length", b"%d" % len(body))]
        self._method = method
        data = self._parser.send(
            h11.Request(method=method, target=target, headers=head)
        )
        if body:
            data += self._parser.send(h11.Data(body))
        data += self._parser.send(h11.EndOfMessage())
        if len(data) <= _MAX_INLINE_SEND:
            self._send(data)
        else:
            self._sender = eventlet.spawn(self._send_in_background, data)

    def next_event(self, deadline: clock.Ms) -> h11.Event:
        """Return the next part of the answer.

        :param until: monotonic ms.
        :raises linkerror.LinkError: silent, broken or no HTTP.
        """
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise exchangeerror.ExchangeError(
                    _failure_of(error), str(error)
                ) from error
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.ConnectionClosed):
                raise exchangeerror.ExchangeError(
                    _Failure.BROKEN, "closed without an answer"
                )
            if event is not h11.NEED_DATA:
                return event
            self._parser.receive_data(self._receive(deadline))

    def expect_next_response(self) -> None:
        """Expect the answer once more, after one that was not ours.

        An upstream may send a late second answer to an earlier request
        where the answer to this one is due.

        :raises linkerror.LinkError: when nothing more can come.
        """
        if self._parser.their_state is not h11.DONE:
            raise exchangeerror.ExchangeError(
                _Failure.GARBLED, "not our answer"
            )
        trailing, closed = self._parser.trailing_data
        if closed:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, "closed after another"
            )
        # The request is on its way already; of it only the method matters
        # to a parser that reads the next answer.
        self._parser = h11.Connection(h11.CLIENT)
        host = [(b"host", b"-")]
        self._parser.send(
            h11.Request(method=self._method, target=b"/", headers=host)
        )
        self._parser.send(h11.EndOfMessage())
        if trailing:
            self._parser.receive_data(trailing)

    def prepare_reuse(self) -> bool:
        """Make ready for another request; False when it must be closed."""
        sent = self._sender is None or self._sender.dead
        parser = self._parser
        if not sent or parser.trailing_data[0]:
            return False
        if parser.our_state is not h11.DONE:
            return False
        if parser.their_state is not h11.DONE:
            return False
        parser.start_next_cycle()
        self._sender = None
        self.used = True
        return True

    def is_idle(self) -> bool:
        """Tell whether an unused connection is open with nothing to read.

        Whatever comes between two exchanges belongs to no request.
        """
        try:
            self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close it; an upstream drops the request that it was running."""
        if self._sender is not None:
            self._sender.kill()
        with contextlib.suppress(OSError):
            self._sock.close()

    def _send(self, data: bytes) -> None:
        try:
            self._sock.settimeout(None)
            self._sock.sendall(data)
        except OSError as error:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, str(error)
            ) from error

    def _send_in_background(self, data: bytes) -> None:
        # What goes wrong here shows as a broken answer to the reader.
        with contextlib.suppress(exchangeerror.ExchangeError):
            self._send(data)

    def _receive(self, deadline: clock.Ms) -> bytes:
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise exchangeerror.ExchangeError(
                _Failure.SILENT, "nothing came in time"
            )
        try:
            return receiving.receive(self._sock, _READ_SIZE, remaining)
        except TimeoutError as error:
            raise exchangeerror.ExchangeError(
                _Failure.SILENT, "nothing came in time"
            ) from error
        except OSError as error:
            raise exchangeerror.ExchangeError(
                _Failure.BROKEN, str(error)
            ) from error


def _failure_of(
    error: h11.RemoteProtocolError,
) -> exchangeerror.ExchangeFailure:
    # The parser reports an end in the middle and bytes that are no answer
    # by the same type.
    cut = "closed" in str(error).lower()
    return _Failure.BROKEN if cut else _Failure.GARBLED
