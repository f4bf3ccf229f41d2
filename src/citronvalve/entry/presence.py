"""Whether a caller is still there while it waits."""

from typing import Any

from eventlet import patcher

# The patched socket would wait for something to read instead of telling
# that there is nothing.
_socket = patcher.original("socket")

_PEEK_FLAGS = _socket.MSG_PEEK | _socket.MSG_DONTWAIT


def has_left(environ: dict[str, Any]) -> bool:
    """Tell whether a caller has closed its connection.

    A caller that waits for an answer sends nothing, so that a readable
    connection with nothing to read is one that was closed.

    :param environ: as WSGI gives it.
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
        # The descriptor belongs to the server's own socket.
        peer.detach()
