"""Feeds a parser with the heads of requests."""

import h11

_END = b"\r\n\r\n"


class HeadFeed:
    """Gives a parser the bytes of a head, and none of those that follow.

    The parser would keep a copy of what it does not parse.  After a head that
    does not end in the usual way, some of what follows is fed as well; the
    parser tells it as trailing data.

    :param parser: parses the head.
    :ivar size: bytes that were fed.
    """

    def __init__(self, parser: h11.Connection) -> None:
        self._parser = parser
        self._last = b""
        self.size = 0

    def feed(self, data: bytes) -> bytes:
        """Feed bytes; return those that were not fed.

        :param data: as received; empty at the end of the connection.
        """
        seen = self._last + data
        found = seen.find(_END)
        fed = len(data)
        if found >= 0:
            fed = found + len(_END) - len(self._last)
        self._last = seen[1 - len(_END) :] if found < 0 else b""
        self._parser.receive_data(data[:fed])
        self.size += fed
        return data[fed:]
