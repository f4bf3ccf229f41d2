"""Receives from a green socket without hiding how a connection ended."""

from eventlet.green import socket
from eventlet import hubs

from citronvalve.model import clock


def receive(
    sock: socket.socket, max_bytes: int, timeout: clock.Ms | None
) -> bytes:
    """Return the next bytes, or none at the other side's proper end.

    The green socket's own call returns none for a reset, too.  An answer
    without a length ends with its connection, so one that was cut by a
    reset passed for whole.

    :param sock: a green socket.
    :param most: bytes.
    :param timeout: ms to wait, or None.
    :raises TimeoutError: when nothing came.
    :raises OSError: when the connection was reset.
    """
    seconds = None if timeout is None else timeout / clock.SECOND
    while True:
        try:
            return sock.fd.recv(max_bytes)
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=seconds,
                timeout_exc=TimeoutError,
            )
