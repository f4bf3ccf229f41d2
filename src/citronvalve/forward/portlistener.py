"""A listening port whose connections are served on green threads."""

from collections.abc import Callable
import contextlib
import socket

import eventlet
from eventlet.green import socket as green_socket

from citronvalve.forward import environment as environments
from citronvalve.model import errors

#: Time in s after a failure to accept, as with too many open files.
_FAILURE_PAUSE = 0.05

#: Serves a connection until it ends.
Serve = Callable[[], None]


class PortListener:
    """Accepts connections and serves each on a green thread of its own.

    :param address: host:port.
    :param backlog: connections that the kernel queues until they are
        accepted.
    :param env: the daemon's environment.
    :param admit: returns how an accepted connection is served, or None if it
        is to be closed.  It is called before the next one is accepted.
    :param send_buffer: bytes that the kernel holds unread for each, 0 for its
        choice.
    :raises errors.SettingsError: when the address can't be bound.
    """

    def __init__(
        self,
        address: str,
        backlog: int,
        env: environments.Environment,
        admit: Callable[[green_socket.socket], Serve | None],
        send_buffer: int = 0,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._env = env
        self._admit = admit
        self._task: eventlet.greenthread.GreenThread | None = None
        try:
            self._socket = eventlet.listen(
                (host.strip("[]"), int(port)), backlog=backlog
            )
        except OSError as error:
            raise errors.SettingsError(
                str(error),
                where=address,
                remedy="free the address or give another one",
            ) from error
        if send_buffer:
            # Accepted connections inherit it.
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer
            )

    @property
    def address(self) -> str:
        """Return host:port with the actual port, also if port 0 was given."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to accept connections."""
        self._task = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting; connections that are open go on.

        Those that wait to be accepted are served: closing would reset them.
        """
        if self._task is not None:
            self._task.kill()
            self._accept_waiting()
        with contextlib.suppress(OSError):
            self._socket.close()

    def _accept_waiting(self) -> None:
        # The listening socket does not block, so an error ends it.
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._socket.fd.accept()
                self._serve(green_socket.socket(sock))

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                self._env.log.change("not accepted", why=str(error))
                eventlet.sleep(_FAILURE_PAUSE)
                continue
            self._serve(sock)

    def _serve(self, sock: green_socket.socket) -> None:
        serve = None
        try:
            serve = self._admit(sock)
        except OSError as error:
            # A peer that has closed already may refuse options.
            self._env.log.change("not accepted", why=str(error))
        if serve is None:
            sock.close()
        else:
            eventlet.spawn(serve)
