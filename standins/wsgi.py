"""What every stand-in server shares: routes, JSON, and a clean end."""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import signal
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.wsgi
import msgspec

_REASON_BY_STATUS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Reply(NamedTuple):
    """An answer; a body that is neither bytes nor iterable becomes JSON."""

    status: int
    body: Any
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


class Call(NamedTuple):
    """A request: its path, headers as WSGI gives them, and its body."""

    method: str
    path: str
    environ: dict[str, Any]
    body: bytes

    def json(self) -> Any:
        """Return the body, decoded."""
        return msgspec.json.decode(self.body) if self.body else {}


Handler = Callable[[Call], Reply]


class Routes:
    """A WSGI application made of handlers by method and path.

    :param handler_by_route: ``"GET /load"`` to its handler; a path ending
        in ``*`` takes every path below.
    """

    def __init__(self, handler_by_route: dict[str, Handler]) -> None:
        self._handler_by_route = handler_by_route

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        handler = self._find(method, path)
        body = environ["wsgi.input"].read()
        call = Call(method, path, environ, body)
        reply = handler(call) if handler else Reply(404, {"no": path})
        line = f"{reply.status} {_REASON_BY_STATUS[reply.status]}"
        head = [("Content-Type", reply.content_type), *reply.headers]
        start_response(line, head)
        if isinstance(reply.body, bytes):
            return [reply.body]
        if hasattr(reply.body, "__next__"):
            return reply.body
        return [msgspec.json.encode(reply.body)]

    def _find(self, method: str, path: str) -> Handler | None:
        exact = self._handler_by_route.get(f"{method} {path}")
        if exact:
            return exact
        for route, handler in self._handler_by_route.items():
            wanted, _, prefix = route.partition(" ")
            below = prefix.endswith("*") and path.startswith(prefix[:-1])
            if below and wanted in {method, "ANY"}:
                return handler
        return None


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    :param address: an IP number and a port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def serve(address: str, routes: Routes) -> None:
    """Serve until SIGTERM; open answers are cut off, as a crash would.

    :param address: host:port to listen at.
    :param routes: the application.
    """
    signal.signal(signal.SIGTERM, lambda *_: _leave())
    listener = eventlet.listen(split_address(address), reuse_port=False)
    eventlet.wsgi.server(
        listener,
        routes,
        log_output=False,
        minimum_chunk_size=0,
        max_size=4_096,
        debug=False,
    )


def _leave() -> None:
    raise SystemExit(0)


def parser(doc: str) -> argparse.ArgumentParser:
    """Return a parser that knows ``--listen``.

    :param doc: what the stand-in is.
    """
    made = argparse.ArgumentParser(description=doc)
    made.add_argument("--listen", required=True, help="host:port")
    return made
