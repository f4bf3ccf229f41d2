"""A connection to an upstream that another daemon relays."""

from collections.abc import Callable
import contextlib

from eventlet.green import socket as green_socket

from citronvalve.forward import receiving
from citronvalve.forward import relayframe
from citronvalve.forward import transport
from citronvalve.model import clock

_READ_SIZE = 65_536

_Kind = relayframe.FrameKind


class RelayRefusedError(ConnectionError):
    """The other daemon did not pass the request on; it has not run.

    :param reason: why.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"the relay refused: {reason}")
        self.reason = reason


class RelayTransport(transport.Transport):
    """Carries bytes in frames, so that a relay that dies ends no response.

    The end of the connection to the relay says nothing about the upstream:
    only a frame says that it has closed in order.

    :param sock: connected to the other daemon.
    :param relay: its name.
    :param opening: the first request.
    :param on_close: called once when it is closed.
    """

    def __init__(
        self,
        sock: green_socket.socket,
        relay: str,
        opening: relayframe.Opening,
        on_close: Callable[[], None],
    ) -> None:
        self.relay = relay
        self._sock = sock
        self._opening = opening
        self._on_close = on_close
        self._decoder = relayframe.Decoder()
        self._data = bytearray()
        self._ended = False
        self._error: OSError | None = None
        self._confirmed = False
        self._closed = False

    def leads_to(self, upstream: str) -> bool:
        return upstream == self._opening.upstream

    def begin(self, request_id: str) -> None:
        opening = relayframe.Opening(
            self._opening.daemon, self._opening.upstream, request_id
        )
        self._confirmed = False
        self._write(relayframe.encode_opening(opening))

    def end_request(self) -> None:
        self._write(relayframe.encode(_Kind.DONE))

    def wait_opened(self, time_source: clock.Clock, timeout: clock.Ms) -> None:
        """Announce the first request and wait until it can be sent.

        :param time_source: the clock.
        :param timeout: ms.
        :raises RelayRefusedError: when the other daemon can't relay.
        :raises OSError: when it does not answer.
        """
        self._write(relayframe.encode_opening(self._opening))
        end = time_source.now() + timeout
        while not self._confirmed:
            self._check()
            left = end - time_source.now()
            if left <= 0:
                raise TimeoutError("the relay does not answer")
            self._read(left)

    def send(self, data: bytes) -> None:
        self._write(relayframe.encode(_Kind.DATA, data))

    def receive(self, max_bytes: int, timeout: clock.Ms | None) -> bytes:
        while not self._data and not self._ended:
            self._check()
            self._read(timeout)
        data = bytes(self._data[:max_bytes])
        del self._data[:max_bytes]
        return data

    def is_idle(self) -> bool:
        if self._data or self._ended or self._error:
            return False
        return transport.is_quiet(self._sock)

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._on_close()
        with contextlib.suppress(OSError):
            self._sock.close()

    def _write(self, data: bytes) -> None:
        self._sock.settimeout(None)
        self._sock.sendall(data)

    def _read(self, timeout: clock.Ms | None) -> None:
        data = receiving.receive(self._sock, _READ_SIZE, timeout)
        if not data:
            raise ConnectionResetError("the relay closed the connection")
        try:
            for frame in self._decoder.feed(data):
                self._apply(frame)
        except relayframe.FrameError as error:
            self._error = ConnectionResetError(str(error))

    def _apply(self, frame: relayframe.Frame) -> None:
        match frame.kind:
            case _Kind.OPENED:
                self._confirmed = True
            case _Kind.DATA:
                self._data += frame.content
            case _Kind.END:
                self._ended = True
            case _Kind.REFUSED if not self._confirmed:
                reason = frame.content.decode("latin-1")
                self._error = RelayRefusedError(reason)
            case _:
                self._error = ConnectionResetError(
                    "the upstream's connection broke"
                )

    def _check(self) -> None:
        """Raise what broke the connection, once its data has been read."""
        if self._error is not None:
            raise self._error
