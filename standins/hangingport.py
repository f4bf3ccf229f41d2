"""A port that answers no connection, as one behind a partition."""

import socket

#: Connections that fill the queue of a port that nobody accepts from.
_FILLING = 4


class HangingPort:
    """Listens with a full queue.

    :ivar address: host:port.
    """

    def __init__(self) -> None:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        self.address = "%s:%d" % listener.getsockname()
        self._sockets = [listener]
        for _ in range(_FILLING):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self._sockets.append(filler)

    def close(self) -> None:
        """Free the port."""
        for sock in self._sockets:
            sock.close()
