"""A crowd of clients that send in one way, as a process of its own.

It ends by itself, and prints how many clients got an answer, were closed or
were still open.
"""

import collections
from collections.abc import Iterator
import selectors
import socket
import sys
import time

import defopt
import msgspec

from standins.crowds import way as ways

_READ_SIZE = 65_536


class Client:
    """One connection.

    :param pieces: what it sends.
    :ivar answer: what it has received.
    :ivar state: ``open`` or ``closed``.
    """

    def __init__(self, pieces: Iterator[bytes | float]) -> None:
        self._pieces = pieces
        self._rest = memoryview(b"")
        self.answer = b""
        self.state = "open"
        self.next_at = 0.0
        self.socket = socket.socket()
        self.socket.setblocking(False)

    def send(self) -> bool:
        """Send what the peer takes; return whether more follows at once."""
        try:
            while True:
                if not self._rest:
                    piece = next(self._pieces, None)
                    if piece is None:
                        return False
                    if isinstance(piece, float):
                        self.next_at = time.monotonic() + piece
                        return False
                    self._rest = memoryview(piece)
                if self._rest:
                    self._rest = self._rest[self.socket.send(self._rest) :]
        except BlockingIOError:
            return True

    def receive(self) -> bool:
        """Read what has come; return whether the connection is open."""
        data = self.socket.recv(_READ_SIZE)
        self.answer += data[: 64 - len(self.answer)]
        return bool(data)


class Crowd:
    """All clients.

    :param address: host:port to connect to.
    :param clients: the clients.
    """

    def __init__(self, address: str, clients: list[Client]) -> None:
        self._clients = clients
        self._selector = selectors.DefaultSelector()
        host, _, port = address.rpartition(":")
        for client in clients:
            client.socket.connect_ex((host, int(port)))
            both = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._selector.register(client.socket, both, client)

    def run(self, seconds: float) -> None:
        """Send, and keep the connections open, until the time is over.

        :param seconds: for how long.
        """
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < until:
            for key, events in self._selector.select(0.05):
                self._serve(key.data, events)
            for client in self._clients:
                if 0 < client.next_at <= now and client.state == "open":
                    client.next_at = 0.0
                    self._watch(client, is_sending=True)

    def _serve(self, client: Client, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not client.receive():
                raise ConnectionError
            if events & selectors.EVENT_WRITE:
                self._watch(client, is_sending=client.send())
        except BlockingIOError:
            return
        except OSError:
            client.state = "closed"
            self._selector.unregister(client.socket)
            client.socket.close()

    def _watch(self, client: Client, is_sending: bool) -> None:
        events = selectors.EVENT_READ
        if is_sending:
            events |= selectors.EVENT_WRITE
        self._selector.modify(client.socket, events, client)


def main(
    *,
    address: str,
    way: str,
    count: int,
    seconds: float,
    path: str,
    size: int,
    line: tuple[str, ...] = (),
) -> None:
    """Send in one way.

    :param address: host:port to connect to.
    :param way: name of the way.
    :param count: clients.
    :param seconds: after which all of them leave.
    :param path: of their requests.
    :param size: bytes of a body.
    :param line: further lines of a request's head.
    """
    request = ways.Request(path, tuple(line), size)
    made = ways.WAY_BY_NAME[way]
    clients = [Client(made.pieces(request, n)) for n in range(count)]
    Crowd(address, clients).run(seconds)
    outcomes = collections.Counter(
        client.answer[9:12].decode("latin-1") or client.state
        for client in clients
    )
    sys.stdout.buffer.write(msgspec.json.encode(dict(outcomes)) + b"\n")


if __name__ == "__main__":
    defopt.run(main)
