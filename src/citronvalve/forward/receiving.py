"""Reads from green sockets that report connection resets."""

from eventlet.green import socket
from eventlet import hubs

from citronvalve.model import clock


def receive(
    sock: socket.socket, max_bytes: int, timeout: clock.Ms | None
) -> bytes:
    """Return the next bytes, or none when the peer has closed properly.

    The green socket's own ``recv`` returns none for a reset, too.  A
    response without a length ends with its connection, so one that was cut
    by a reset would pass for complete.

    :param sock: a green socket.
    :param max_bytes: most bytes to return.
    :param timeout: ms to wait, or None.
    :raises TimeoutError: when nothing arrived in time.
    :raises OSError: when the connection broke; of another type, also where
        the kernel has given it up since the peer confirmed nothing.
    """
    seconds = None if timeout is None else timeout / clock.SECOND
    is_due = False
    while True:
        try:
            return sock.fd.recv(max_bytes)
        except BlockingIOError:
            if is_due:
                raise TimeoutError from None
        except TimeoutError as error:
            raise broken(error) from error
        try:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=seconds,
                timeout_exc=TimeoutError,
            )
        except TimeoutError:
            # After a pause of the process, due timers are served before
            # sockets, and bytes that arrived in the pause are unread.
            is_due = True


def broken(error: OSError) -> ConnectionError:
    """Return the error for a connection that is broken.

    The kernel's own timeout of a connection has the type of a read that got
    nothing in time, after which a caller would read on.

    :param error: reported by the kernel.
    """
    return ConnectionResetError(error.errno, str(error))
