"""Detects callers that disconnect while they wait."""

from typing import Any

from eventlet import patcher

# The patched socket would wait for data instead of raising
# BlockingIOError.
_socket = patcher.original("socket")

_PEEK_FLAGS = _socket.MSG_PEEK | _socket.MSG_DONTWAIT


def has_left(environ: dict[str, Any]) -> bool:
    """Return whether a caller has closed its connection.

    A caller sends nothing while it waits, so an end of file means that it
    closed the connection.

    :param environ: the WSGI environment.
    """
    get_socket = getattr(environ["wsgi.input"], "get_socket", None)
    if get_socket is None:
        return False
    peer = _socket.socket(fileno=get_socket().fileno())
    try:
        return peer.recv(1, _PEEK_FLAGS) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        # The file descriptor is owned by the server's socket.
        peer.detach()
