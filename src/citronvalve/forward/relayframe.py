"""Frames between a daemon and the one that relays for it."""

from collections.abc import Iterator
import enum
import struct
from typing import NamedTuple

import msgspec

from citronvalve.model import decoding
from citronvalve.model import errors

_HEADER = struct.Struct("!BI")

#: Most bytes of a frame's content: of data, and of any other.
MAX_CONTENT = 262_144
MAX_CONTROL = 32_768


class FrameKind(enum.IntEnum):
    """What a frame carries."""

    #: The next request on this connection; its content is an ``Opening``.
    OPEN = 1
    #: The connection to the upstream is open.
    OPENED = 2
    #: It is not; nothing of the request was sent.  The content is a reason.
    REFUSED = 3
    #: Bytes to or from the upstream.
    DATA = 4
    #: The upstream has closed the connection in order.
    END = 5
    #: The connection to the upstream broke.
    BROKEN = 6
    #: The request has ended; the connection is kept for the next one.
    DONE = 7


_MAX_CONTENT_BY_KIND = {FrameKind.DATA: MAX_CONTENT}


class Reason(enum.StrEnum):
    """Why a connection is not relayed."""

    #: The upstream does not answer, though others do.
    UPSTREAM_DOWN = "upstream down"
    #: The relaying daemon has no link to any upstream either.
    NO_LINK = "no link"
    #: The relaying daemon does not list the upstream, or it is leaving or
    #: out of service.
    NOT_IN_SERVICE = "not in service"
    #: The upstream wants no request from the relaying daemon for a while; the
    #: content goes on with ``:`` and the ms.
    RESTING = "resting"
    #: The relaying daemon relays as much as it can.
    BUSY = "busy"
    #: The relaying daemon is stopping, or does not know the upstreams yet.
    NOT_SERVING = "not serving"


class Opening(msgspec.Struct, array_like=True, frozen=True):
    """A request that ``daemon`` has for an upstream."""

    daemon: str
    upstream: str
    request: str


class Frame(NamedTuple):
    """One frame."""

    kind: FrameKind
    content: bytes = b""


class FrameError(errors.UpstreamError):
    """The bytes are no frames.

    :param why: the cause.
    """

    def __init__(self, why: str) -> None:
        super().__init__(why, remedy="run the same release on all daemons")


class Refusal(NamedTuple):
    """Why a connection is not relayed, None if the reason is not known.

    ``rest`` is the ms for which the upstream wants no request from the
    relaying daemon.
    """

    reason: Reason | None
    rest: int = 0


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode the content of a frame of the kind ``REFUSED``.

    :param refusal: with a known reason.
    """
    text = refusal.reason.value
    return (f"{text}:{refusal.rest}" if refusal.rest else text).encode()


def decode_refusal(text: str) -> Refusal:
    """Decode the content of such a frame.

    :param text: from a daemon of any release.
    """
    name, _, rest = text.partition(":")
    known = {one.value: one for one in Reason}.get(name)
    return Refusal(known, int(rest) if rest.isdecimal() else 0)


def encode(kind: FrameKind, content: bytes = b"") -> bytes:
    """Encode one or more frames of a kind.

    :param kind: the kind.
    :param content: split if it is too long for one frame.
    """
    if len(content) <= MAX_CONTENT:
        return _HEADER.pack(kind, len(content)) + content
    parts = (
        content[start : start + MAX_CONTENT]
        for start in range(0, len(content), MAX_CONTENT)
    )
    return b"".join(encode(kind, part) for part in parts)


def encode_opening(opening: Opening) -> bytes:
    """Encode the announcement of a request.

    :param opening: the request.
    """
    return encode(FrameKind.OPEN, msgspec.msgpack.encode(opening))


def decode_opening(content: bytes) -> Opening:
    """Decode the announcement of a request.

    :param content: of the frame.
    :raises FrameError: when it is invalid.
    """
    try:
        return msgspec.msgpack.decode(content, type=Opening)
    except decoding.ERRORS as error:
        raise FrameError(str(error)[:200]) from error


class Decoder:
    """Splits received bytes into frames.

    Data is returned as it arrives, so that a frame of it may come as several;
    only other frames are kept until they are complete.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._data_left = 0

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Return the frames, and the parts of data, that have arrived.

        :param data: as received.
        :raises FrameError: when the bytes are no frames.
        """
        self._buffer += data
        while self._buffer:
            if self._data_left:
                yield Frame(FrameKind.DATA, self._take(self._data_left))
                continue
            if len(self._buffer) < _HEADER.size:
                return
            kind, size = _HEADER.unpack_from(self._buffer)
            if size > _MAX_CONTENT_BY_KIND.get(kind, MAX_CONTROL):
                raise FrameError(f"a frame of {size} bytes is too long")
            if kind == FrameKind.DATA:
                del self._buffer[: _HEADER.size]
                self._data_left = size
                continue
            if len(self._buffer) < _HEADER.size + size:
                return
            del self._buffer[: _HEADER.size]
            yield _frame(kind, self._cut(size))

    def _take(self, most: int) -> bytes:
        content = self._cut(most)
        self._data_left -= len(content)
        return content

    def _cut(self, most: int) -> bytes:
        content = bytes(self._buffer[:most])
        del self._buffer[:most]
        return content


def _frame(kind: int, content: bytes) -> Frame:
    try:
        return Frame(FrameKind(kind), content)
    except ValueError as error:
        raise FrameError(str(error)) from error
