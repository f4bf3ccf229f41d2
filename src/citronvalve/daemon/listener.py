"""WSGI server on a listening socket."""

from collections.abc import Callable
import contextlib
import socket

import eventlet
import eventlet.wsgi

from citronvalve.model import clock
from citronvalve.model import errors

#: At the target load a daemon gets about 16 requests/s of tens of seconds
#: each.  This allows several times that, at about 30 KB for a connection.
MAX_CONNECTIONS = 2_048

#: Idle keep-alive connections are closed after this; the balancer reconnects.
_KEEPALIVE_SECONDS = 75

#: Holds about 200 tokens of a streamed response.
_SEND_BUFFER_BYTES = 32_768


class Listener:
    """Serves a WSGI application until it is closed.

    :param address: host:port.
    :param app: the WSGI application.
    :param timeout: socket timeout in ms, for reads and writes.
    :raises errors.SettingsError: when the address can't be listened at.
    """

    def __init__(self, address: str, app: Callable, timeout: clock.Ms) -> None:
        host, _, port = address.rpartition(":")
        self._app = app
        self._timeout = timeout
        try:
            self._socket = eventlet.listen(
                (host.strip("[]"), int(port)), reuse_port=False, backlog=512
            )
        except OSError as error:
            raise errors.SettingsError(
                str(error),
                where=address,
                remedy="free the address or give another one",
            ) from error
        # Accepted connections inherit this.  Otherwise the kernel buffers
        # megabytes for a caller that has stopped reading, and the engine
        # generates a whole response that nobody receives.
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to accept connections."""
        self._task = eventlet.spawn(self._serve)

    def close(self) -> None:
        """Stop accepting connections; requests in progress continue."""
        if self._task is None:
            return
        self._task.kill()
        # The server closes the socket only after the last request in progress
        # has ended; until then the kernel would accept connections that
        # nobody serves.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _serve(self) -> None:
        eventlet.wsgi.server(
            self._socket,
            self._app,
            max_size=MAX_CONNECTIONS,
            # Otherwise the server buffers small chunks.
            minimum_chunk_size=0,
            keepalive=_KEEPALIVE_SECONDS,
            socket_timeout=self._timeout / clock.SECOND,
            log_output=False,
            debug=False,
        )
