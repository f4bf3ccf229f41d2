"""A loopback relay that harms the connections that pass through it."""

import contextlib
import enum
import socket as plain_socket

import eventlet
from eventlet.green import socket
from eventlet import hubs

from standins import process

_PIECE = 65_536

#: Seconds between two looks whether what is held back may pass.
_HELD_LOOK = 0.02
_BACKLOG = 50
_RESET = b"\1\0\0\0\0\0\0\0"


class Harm(enum.StrEnum):
    """What a relay does to connections."""

    #: Nothing.
    NONE = "none"
    #: Open and new connections carry nothing and stay open.
    SILENT = "silent"
    #: Open connections carry nothing any more; new ones work.
    FORGOTTEN = "forgotten"
    #: What the server sends does not arrive.
    ONE_WAY = "one way"
    #: Each piece is held back.
    DELAYED = "delayed"
    #: Open connections are reset, and new ones too.
    RESET = "reset"
    #: Nobody listens.
    REFUSED = "refused"


class Relay:
    """Passes bytes between callers and one server.

    :param target: host:port of the server.
    :ivar address: host:port to connect to.
    :ivar delay: seconds that each piece is held back while ``DELAYED``.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._open: set[socket.socket] = set()
        self._forgotten: set[socket.socket] = set()
        self._source_by_socket: dict[socket.socket, str] = {}
        self._held_sources: set[str] = set()
        self._harm = Harm.NONE
        self.delay = 0.2
        self._listener = process.listen(_BACKLOG)
        self._port = self._listener.getsockname()
        self.address = "127.0.0.1:%d" % self._port[1]
        self._task = eventlet.spawn(self._accept)
        self._reserved: socket.socket | None = None

    def do(self, harm: Harm) -> None:
        """Harm connections from now on, or stop to.

        :param harm: in which way.
        """
        if harm is Harm.FORGOTTEN:
            self._forgotten |= self._open
            return
        if harm in (Harm.RESET, Harm.REFUSED):
            self.reset()
        self._harm = harm

    def end(self) -> None:
        """Close all connections and refuse new ones, as a process that ends.

        The port stays bound, so that no other process gets it.
        """
        if self._reserved is not None:
            return
        self._task.kill()
        _close(self._listener)
        self._reserved = _bind(self._port)
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(plain_socket.SHUT_RDWR)

    def begin(self) -> None:
        """Accept connections again."""
        if self._reserved is None:
            return
        self._reserved.listen(_BACKLOG)
        self._listener, self._reserved = self._reserved, None
        self._task = eventlet.spawn(self._accept)

    def hold(self, source: str) -> None:
        """Hold back what connections from an address carry.

        :param source: the address.
        """
        self._held_sources.add(source)

    def release(self, source: str) -> None:
        """Pass on what was held back.

        :param source: the address.
        """
        self._held_sources.discard(source)

    def reset(self, source: str = "") -> None:
        """Reset the open connections.

        :param source: only those from this address, if one is given.
        """
        for sock in list(self._open):
            if source and self._source_by_socket.get(sock) != source:
                continue
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _RESET
                )
                _forget(sock)
                sock.close()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._task.kill()
        _close(self._reserved or self._listener)
        self.reset()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            if self._harm in (Harm.RESET, Harm.REFUSED):
                # The port itself stays bound, so that nobody else gets it.
                near.setsockopt(
                    plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _RESET
                )
                near.close()
                continue
            eventlet.spawn(self._serve, near)

    def _serve(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target, 2)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
        self._open |= {near, far}
        source = near.getpeername()[0]
        self._source_by_socket |= {near: source, far: source}
        back = eventlet.spawn(self._pass, far, near, True)
        self._pass(near, far, False)
        back.wait()
        self._open -= {near, far}
        self._forgotten -= {near, far}
        del self._source_by_socket[near], self._source_by_socket[far]
        _close(near)
        _close(far)

    def _pass(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        # A socket that another task closes ends the waiting with EOFError.
        with contextlib.suppress(OSError, EOFError):
            while data := source.recv(_PIECE):
                if self._is_lost(source, is_answer):
                    continue
                if self._harm is Harm.DELAYED:
                    eventlet.sleep(self.delay)
                self._wait_released(source)
                sink.sendall(data)
        self._wait_released(source)
        with contextlib.suppress(OSError):
            if source not in self._forgotten:
                sink.shutdown(plain_socket.SHUT_WR)

    def _wait_released(self, source: socket.socket) -> None:
        while self._source_by_socket.get(source) in self._held_sources:
            eventlet.sleep(_HELD_LOOK)

    def _is_lost(self, source: socket.socket, is_answer: bool) -> bool:
        if source in self._forgotten or self._harm is Harm.SILENT:
            return True
        return is_answer and self._harm is Harm.ONE_WAY


def _bind(port: tuple[str, int]) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1)
    sock.bind(port)
    return sock


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        _forget(sock)
        sock.close()


def _forget(sock: socket.socket) -> None:
    """Wake whoever reads a socket that is about to be closed.

    Its number goes to whatever is opened next.  If that is a pipe to a
    daemon that starts, the hub still has the old reader under the number,
    refuses the new one, and the start fails in the middle.  Telling the hub
    now ends the old reader first.
    """
    if sock.fileno() >= 0:
        hubs.notify_opened(sock.fileno())
