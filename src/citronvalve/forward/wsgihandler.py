"""Answers requests by a WSGI application."""

from collections.abc import Callable
from collections.abc import Iterable
import io
import socket
import traceback
from typing import Any
import urllib.parse

from citronvalve.entry import broken
from citronvalve.forward import callerrequest
from citronvalve.forward import environment as environments
from citronvalve.forward import headers as headers_
from citronvalve.forward import reply as replies

#: Headers whose variables have no prefix.
_UNPREFIXED = frozenset({"CONTENT_TYPE", "CONTENT_LENGTH"})

_LENGTH = b"content-length"


class _Input(io.BytesIO):
    """A body that tells its connection, for checks of the caller.

    :param body: the complete body.
    :param sock: the caller's.
    """

    def __init__(self, body: bytes, sock: socket.socket | None) -> None:
        super().__init__(body)
        self._sock = sock

    def get_socket(self) -> socket.socket | None:
        """Return the caller's socket, None if there is none."""
        return self._sock


class _Started:
    """What an application has given to ``start_response``."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[headers_.Header] = []

    def __call__(
        self, status: str, headers: list[tuple[str, str]], _error: Any = None
    ) -> None:
        self.status = int(status.partition(" ")[0])
        self.headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]


class WsgiHandler:
    """Passes requests that were read whole to an application.

    :param app: the WSGI application.
    :param env: the daemon's environment.
    """

    def __init__(self, app: Callable, env: environments.Environment) -> None:
        self._app = app
        self._env = env

    def __call__(
        self, request: callerrequest.CallerRequest, reply: replies.Reply
    ) -> None:
        try:
            self._answer(request, reply)
        except broken.AnswerBroken:
            # The line of the request tells of it.
            reply.abort()
        except OSError as error:
            # Once it has begun, it is the caller that has left.
            if not reply.started:
                self._log_failure(error)
            reply.abort()
        except Exception as error:
            self._log_failure(error)
            if reply.started:
                reply.abort()
            else:
                reply.send_whole(500, [], b"internal error")

    def _log_failure(self, error: Exception) -> None:
        where = traceback.extract_tb(error.__traceback__)[-1]
        self._env.log.change(
            "handler failed",
            why=repr(error)[:300],
            where=f"{where.filename}:{where.lineno}",
        )

    def _answer(
        self, request: callerrequest.CallerRequest, reply: replies.Reply
    ) -> None:
        started = _Started()
        chunks = self._app(_environ(request, reply.socket), started)
        try:
            self._send(started, chunks, reply)
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def _send(
        self, started: _Started, chunks: Iterable[bytes], reply: replies.Reply
    ) -> None:
        names = {name for name, _ in started.headers}
        if _LENGTH in names or isinstance(chunks, list):
            head = [h for h in started.headers if h[0] != _LENGTH]
            reply.send_whole(started.status, head, b"".join(chunks))
            return
        reply.start(started.status, started.headers)
        for chunk in chunks:
            if chunk:
                reply.send(chunk)
        reply.finish()


def _environ(
    request: callerrequest.CallerRequest, sock: socket.socket | None
) -> dict[str, Any]:
    target = request.target.decode("latin-1")
    path, _, query = target.partition("?")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": request.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": urllib.parse.unquote(path, "latin-1"),
        "RAW_PATH_INFO": path,
        "QUERY_STRING": query,
        "SERVER_PROTOCOL": "HTTP/1.1",
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": _Input(request.body, sock),
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in request.headers:
        variable = name.decode("latin-1").upper().replace("-", "_")
        if variable not in _UNPREFIXED:
            variable = f"HTTP_{variable}"
        text = value.decode("latin-1")
        if variable in environ:
            text = f"{environ[variable]},{text}"
        environ[variable] = text
    return environ
