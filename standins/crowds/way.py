"""What one client of a crowd sends, by the name of its way."""

import abc
from collections.abc import Callable
from collections.abc import Iterator
import itertools
import struct
from typing import NamedTuple

#: Bytes of a piece of a body, and of a piece of an endless one.
_PIECE = 16_384
_LARGE_PIECE = 65_536

#: Part of a body, 1 / n, that comes byte by byte.
_DRIPPED_PART = 16

#: Seconds between two bytes of what never ends.
_DRIP_EVERY = 0.25

#: Bytes that a body far over the limit has.
_FAR_OVER = 1_000_000_000

#: Bytes of a head that has no end; most servers accept 16 KiB.
_LONG_HEAD = 16_000

#: Bytes that are sent behind a request before it is answered.
_PIPELINED = 65_536

#: A frame between daemons: its kind, the size of its content.
_RELAY_FRAME = struct.Struct("!BI")
_RELAY_CONTENT = 262_144

#: Parts of messages of the protocol that ZeroMQ speaks, version 3.0.
_GREETING = (
    b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
)
_READY = b"\x05READY" + b"\x0bSocket-Type" + struct.pack("!I", 6) + b"DEALER"
_HANDSHAKE = _GREETING + bytes([4, len(_READY)]) + _READY
_MESSAGE_PART = 65_536
_MESSAGE_PARTS = 2_000


class Request(NamedTuple):
    """The request that a client sends: path, further head lines, body size."""

    path: str
    lines: tuple[str, ...]
    size: int

    def head(self, framing: str, number: int) -> bytes:
        """Return the head.

        :param framing: the line that tells how long the body is.
        :param number: tells the client from the others.
        """
        lines = [
            f"POST {self.path} HTTP/1.1",
            "Host: h.example",
            f"X-Attempt-Id: crowd-{number}",
            *self.lines,
        ]
        if framing:
            lines.append(framing)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Way(abc.ABC):
    """What a client sends, piece by piece; a number is a pause in s."""

    @abc.abstractmethod
    def pieces(self, request: Request, number: int) -> Iterator[bytes | float]:
        """Yield what one client sends.

        :param request: what it sends, unless the way is no request.
        :param number: tells the client from the others.
        """


class Announced(Way):
    """A body with a length.

    :param missing: bytes of its end that are not sent.
    :param piece: bytes sent at once; 0 is all.
    """

    def __init__(self, missing: int = 0, piece: int = 0) -> None:
        self._missing = missing
        self._piece = piece

    def pieces(self, request, number):
        yield request.head(f"Content-Length: {request.size}", number)
        left = request.size - self._missing
        while left:
            size = min(left, self._piece or left)
            yield bytes(size)
            left -= size


class Chunked(Way):
    """A body in chunks.

    :param size: bytes of a chunk; 0 is the whole body.
    :param missing: bytes of the last chunk that are not sent.
    """

    def __init__(self, size: int, missing: int = 0) -> None:
        self._size = size
        self._missing = missing

    def pieces(self, request, number):
        yield request.head("Transfer-Encoding: chunked", number)
        size = self._size or request.size
        chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
        at_once = max(1, _LARGE_PIECE // len(chunk))
        whole, left = divmod(request.size // size - 1, at_once)
        yield from itertools.repeat(chunk * at_once, whole)
        yield chunk * left
        yield chunk[: -self._missing - 2] if self._missing else chunk
        if not self._missing:
            yield b"0\r\n\r\n"


class Dripping(Way):
    """Most of a body at once, and then a byte now and then, for ever.

    :param is_chunked: whether each byte is a chunk.
    """

    def __init__(self, is_chunked: bool = False) -> None:
        self._is_chunked = is_chunked

    def pieces(self, request, number):
        first = request.size - request.size // _DRIPPED_PART
        if self._is_chunked:
            yield request.head("Transfer-Encoding: chunked", number)
            yield b"%x\r\n%b\r\n" % (first, bytes(first))
        else:
            yield request.head(f"Content-Length: {request.size}", number)
            yield bytes(first)
        while True:
            yield _DRIP_EVERY
            yield b"1\r\nx\r\n" if self._is_chunked else b"x"


class TooLarge(Way):
    """A body far over any limit.

    :param is_announced: whether it has a length.
    """

    def __init__(self, is_announced: bool) -> None:
        self._is_announced = is_announced

    def pieces(self, request, number):
        framing = (
            f"Content-Length: {_FAR_OVER}"
            if self._is_announced
            else "Transfer-Encoding: chunked"
        )
        yield request.head(framing, number)
        piece = bytes(_LARGE_PIECE)
        if not self._is_announced:
            piece = b"%x\r\n%b\r\n" % (_LARGE_PIECE, piece)
        yield from itertools.repeat(piece, _FAR_OVER // _LARGE_PIECE)


class Bytes(Way):
    """The same bytes from each client, and then what drips for ever.

    :param data: returns the bytes for a request and a client's number.
    :param drip: sent now and then.
    """

    def __init__(
        self, data: Callable[[Request, int], bytes], drip: bytes = b""
    ) -> None:
        self._data = data
        self._drip = drip

    def pieces(self, request, number):
        yield self._data(request, number)
        while self._drip:
            yield _DRIP_EVERY
            yield self._drip


class Repeated(Way):
    """Bytes, and then others again and again.

    :param first: sent once.
    :param then: sent after it.
    :param times: how often.
    """

    def __init__(self, first: bytes, then: bytes, times: int) -> None:
        self._first = first
        self._then = then
        self._times = times

    def pieces(self, request, number):
        yield self._first
        # The peer takes no message before it has read the handshake.
        yield _DRIP_EVERY
        yield from itertools.repeat(self._then, self._times)


def _silence(_request: Request, _number: int) -> bytes:
    return b""


def _long_head(request: Request, number: int) -> bytes:
    head = request.head("", number)[:-2] + b"X-Long: "
    return head + b"x" * (_LONG_HEAD - len(head))


def _pipelined(request: Request, number: int) -> bytes:
    first = request.head("Content-Length: 1", number) + b"x"
    return first + first * (_PIPELINED // len(first))


def _no_request(_request: Request, number: int) -> bytes:
    return b"\x00\x01\x02" + bytes([number % 256]) * 5_000


def _unfinished_frame(_request: Request, _number: int) -> bytes:
    return _RELAY_FRAME.pack(4, _RELAY_CONTENT) + bytes(_RELAY_CONTENT - 1)


WAY_BY_NAME: dict[str, Way] = {
    "whole bodies": Announced(),
    "bodies short of a byte": Announced(missing=1),
    "bodies in pieces, short of a byte": Announced(missing=1, piece=_PIECE),
    "whole bodies in one chunk": Chunked(0),
    "bodies in one chunk, short of a byte": Chunked(0, missing=1),
    "bodies in chunks of one byte": Chunked(1),
    "bodies in chunks of one byte, unfinished": Chunked(1, missing=1),
    "bodies that drip": Dripping(),
    "chunked bodies that drip": Dripping(is_chunked=True),
    "bodies of 1 GB, announced": TooLarge(is_announced=True),
    "bodies of 1 GB, not announced": TooLarge(is_announced=False),
    "nothing": Bytes(_silence),
    "long heads without an end": Bytes(_long_head),
    "heads that drip": Bytes(_long_head, drip=b"x"),
    "requests behind an unanswered one": Bytes(_pipelined),
    "no requests": Bytes(_no_request),
    "frames short of a byte": Bytes(_unfinished_frame),
    "frames that drip": Bytes(_unfinished_frame, drip=b"\0"),
    "greetings only": Bytes(lambda _request, _number: _GREETING),
    "messages without a last part": Repeated(
        _HANDSHAKE,
        b"\x03" + struct.pack("!Q", _MESSAGE_PART) + bytes(_MESSAGE_PART),
        _MESSAGE_PARTS,
    ),
}
