"""A port that answers no connection, as one behind a partition."""

import socket

#: Connections that fill the queue of a port that nobody accepts from.
_FILLING = 4

#: Connections that wait while the queue is not to be full.
_QUEUED = 128


class HangingPort:
    """Listens with a full queue.

    :ivar listener: its socket.
    :ivar address: host:port.
    """

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(_QUEUED)
        self.address = "%s:%d" % self.listener.getsockname()
        self._fillers: list[socket.socket] = []
        self.fill()

    def fill(self) -> None:
        """Fill the queue."""
        self.listener.listen(0)
        for _ in range(_FILLING):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self._fillers.append(filler)

    def release(self) -> None:
        """Close the connections that fill the queue; they wait in it."""
        self.listener.listen(_QUEUED)
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def close(self) -> None:
        """Free the port."""
        self.release()
        self.listener.close()
