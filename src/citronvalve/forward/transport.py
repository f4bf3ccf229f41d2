"""The way on which the bytes of an exchange travel."""

import abc
import contextlib
import socket

from eventlet.green import socket as green_socket
from eventlet import hubs

from citronvalve.forward import receiving
from citronvalve.model import clock

_TCP_USER_TIMEOUT: clock.Ms = 10_000


class Transport(abc.ABC):
    """A stream of bytes to an upstream and back.

    :ivar relay: name of the daemon that relays it, empty if it is direct.
    """

    relay = ""

    def leads_to(self, upstream: str) -> bool:
        """Return whether it can carry requests for an upstream.

        A direct one carries them for whoever is at its address.

        :param upstream: its id.
        """
        return True

    def begin(self, request_id: str) -> None:
        """Announce the next request on an open transport.

        :param request_id: its id.
        :raises OSError: when the transport is closed.
        """

    def end_request(self) -> None:
        """Announce that the request has ended and the transport is kept.

        :raises OSError: when the transport is closed.
        """

    @abc.abstractmethod
    def send(self, data: bytes) -> None:
        """Send all bytes.

        :param data: the bytes.
        :raises OSError: when the transport is closed.
        """

    def send_some(self, data: bytes | memoryview) -> int:
        """Send bytes as far as they fit; return how many were sent.

        :param data: the bytes.
        :raises OSError: when the transport is closed.
        """
        self.send(bytes(data))
        return len(data)

    def wait_writable(self) -> None:
        """Wait until more bytes fit.

        :raises OSError: when the transport is closed.
        """

    @abc.abstractmethod
    def receive(self, max_bytes: int, timeout: clock.Ms | None) -> bytes:
        """Return the next bytes, or none when the upstream has closed.

        :param max_bytes: most bytes to return.
        :param timeout: ms to wait, or None.
        :raises TimeoutError: when nothing arrived in time.
        :raises OSError: when the upstream or the way to it broke.
        """

    @abc.abstractmethod
    def is_idle(self) -> bool:
        """Return whether it is open with nothing to read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close it."""


class SocketTransport(Transport):
    """A direct connection.

    The kernel reports what broke a connection to one call only, of whatever
    kind; later reads return no bytes, as after a proper end.  The error is
    therefore kept, and each read at the end raises it.

    :param sock: a connected green socket.
    """

    def __init__(self, sock: green_socket.socket) -> None:
        self._sock = sock
        self._error: OSError | None = None

    def send(self, data: bytes) -> None:
        self._sock.settimeout(None)
        try:
            self._sock.sendall(data)
        except OSError as error:
            self._keep(error)
            raise

    def send_some(self, data: bytes | memoryview) -> int:
        try:
            return self._sock.fd.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._keep(error)
            raise

    def wait_writable(self) -> None:
        hubs.trampoline(self._sock.fd, write=True)

    def receive(self, max_bytes: int, timeout: clock.Ms | None) -> bytes:
        try:
            data = receiving.receive(self._sock, max_bytes, timeout)
        except TimeoutError:
            raise
        except OSError as error:
            self._keep(error)
            raise
        if not data and self._error is not None:
            raise self._error
        return data

    def is_idle(self) -> bool:
        try:
            return not has_arrived(self._sock)
        except OSError as error:
            self._keep(error)
            return False

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.close()

    def _keep(self, error: OSError) -> None:
        """Keep the first error that broke the connection.

        A broken pipe is none: an upstream that has ended its response in order
        may have closed before it read all of the request.

        :param error: reported by the kernel.
        """
        if self._error is None and not isinstance(error, BrokenPipeError):
            self._error = receiving.broken(error)


def prepare(
    sock: green_socket.socket, send_buffer: int = 0
) -> SocketTransport:
    """Return the transport of a connected socket.

    :param sock: a green socket.
    :param send_buffer: bytes that the kernel holds unread, 0 for its choice.
    """
    # A peer that has closed already may refuse options; reading shows it.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT
        )
        if send_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    return SocketTransport(sock)


def is_quiet(sock: green_socket.socket) -> bool:
    """Return whether a socket is open with nothing to read.

    An error is reported to no later call, so this is not for a connection
    whose end tells that a response is complete.

    :param sock: a green socket.
    """
    try:
        return not has_arrived(sock)
    except OSError:
        return False


def has_arrived(sock: green_socket.socket) -> bool:
    """Return whether data or the end of it has arrived on a socket.

    :param sock: a green socket.
    :raises OSError: when the connection is broken.
    """
    try:
        sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    return True
